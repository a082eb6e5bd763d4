#pragma once

/// @file
/// How an entry host gets the accepted configuration, and why it never goes back to an older one.

#include "bergamotroute/clock.h"
#include "bergamotroute/result_code.h"

#include "configuration.pb.h"
#include "entry.pb.h"

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace bergamotroute {

/// Holds the newest accepted configuration. Revisions never fall.
class RevisionGuard {
public:
    /// @param initial the configuration kept on disk, or an empty one.
    explicit RevisionGuard(schema::Configuration initial = {})
        : m_current(std::move(initial))
    {
    }

    /// Takes a configuration if it is committed and newer.
    /// @return ResultCode::Ok, RevisionOlderRefused for an older, equal or uncommitted one or for one of an earlier
    /// term, or InvalidValue if its entries do not lead to its revision.
    ResultCode offer(const schema::ConfigurationAnswer& answer);

    const schema::Configuration& current() const { return m_current; }

private:
    ResultCode take(schema::Configuration candidate);

    schema::Configuration m_current;
};

/// Parameters of the fetcher.
struct FetcherOptions {
    std::vector<std::string> controlEndpoints;
    std::uint64_t seed = 0;
    /// How long a source may hold a request until a newer revision comes.
    Duration wait { 10'000 };
    /// Added to the wait; then the source counts as failed.
    Duration answerMargin { 2000 };
    /// First and longest pause after all control hosts have failed.
    Duration backoffMin { 200 };
    Duration backoffMax { 2000 };
    /// How long a neighbour may be ahead before it is asked.
    Duration neighbourDelay { 500 };
};

/// A request to send as POST /rpc/configuration.
struct FetchRequest {
    std::uint64_t id = 0;
    std::string endpoint;
    std::uint64_t haveRevision = 0;
    Duration wait { 0 };
    /// Time from now after which the request fails.
    Duration deadline { 0 };
};

/// Receives the actions of a fetcher.
class FetchSink {
public:
    virtual ~FetchSink() = default;

    /// Sends a request, then calls handleAnswer() or handleFailure() once; not from inside this call.
    virtual void fetch(const FetchRequest& request) = 0;

    /// A newer accepted configuration; keep it on disk and put it into force.
    virtual void apply(const schema::Configuration& configuration) = 0;

    virtual void logEvent(ResultCode code, std::string_view detail) = 0;
};

/// Keeps one request open at a control host. Asks a neighbour when that one is ahead, so that a control host on the
/// far side of a partition does not hold this host back, or when no control host answers.
class ConfigurationFetcher {
public:
    /// @param initial the configuration kept on disk, or an empty one.
    /// @param sink outlives the fetcher.
    ConfigurationFetcher(FetcherOptions options, schema::Configuration initial, FetchSink& sink, TimePoint now);

    /// Reports the revision that a neighbour has, from its heartbeat.
    void handleNeighbour(const std::string& endpoint, std::uint64_t revision, TimePoint now);

    void handleAnswer(std::uint64_t id, const schema::ConfigurationAnswer& answer, TimePoint now);
    void handleFailure(std::uint64_t id, TimePoint now);

    /// Runs timers that are due.
    void advance(TimePoint now);

    /// @return when advance() must be called next.
    TimePoint nextDeadline() const;

    /// @return the newest accepted configuration; answers to neighbours are made from it.
    const schema::Configuration& configuration() const { return m_guard.current(); }

private:
    struct Neighbour {
        std::uint64_t revision = 0;
        /// Since when it has been ahead of this host.
        TimePoint aheadSince {};
    };

    void askControl(TimePoint now);
    void askNeighbour(const std::string& endpoint);
    std::string bestNeighbour(TimePoint now) const;
    FetchRequest makeRequest(const std::string& endpoint, Duration wait);

    FetcherOptions m_options;
    RevisionGuard m_guard;
    FetchSink& m_sink;
    std::mt19937_64 m_random;
    std::map<std::string, Neighbour> m_neighbours;
    std::size_t m_nextControl = 0;
    std::size_t m_failuresInRow = 0;
    std::uint64_t m_nextId = 1;
    std::uint64_t m_controlRequest = 0;
    std::uint64_t m_neighbourRequest = 0;
    std::string m_askedNeighbour;
    bool m_needWhole = false;
    Duration m_backoff;
    TimePoint m_controlDue;
    TimePoint m_neighbourDue;
};

}
