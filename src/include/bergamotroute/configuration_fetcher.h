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
class AcceptedConfiguration {
public:
    /// @param initial the configuration kept on disk, or an empty one.
    explicit AcceptedConfiguration(schema::Configuration initial = {})
        : m_current(std::move(initial))
    {
    }

    /// Takes a configuration if it is committed and newer.
    /// @return ResultCode::Ok, RevisionOlderRefused for an older, equal or uncommitted one or for one of an earlier
    /// term, or InvalidValue if its entries do not lead to its revision.
    ResultCode update(const schema::ConfigurationAnswer& answer);

    const schema::Configuration& current() const { return m_current; }

private:
    ResultCode replace(schema::Configuration candidate);

    schema::Configuration m_current;
};

/// Parameters of the fetcher.
struct FetcherOptions {
    std::vector<std::string> controlEndpoints;
    std::uint64_t seed = 0;
    /// How long a source may hold a request until a newer revision comes.
    Duration longPollTimeout { 10'000 };
    /// Added to the wait; then the source counts as failed.
    Duration answerMargin { 2000 };
    /// First and longest pause after all control hosts have failed.
    Duration backoffMin { 200 };
    Duration backoffMax { 2000 };
    /// How long a neighbour may be ahead before it is asked.
    Duration peerDelay { 500 };
};

/// A request to send as POST /rpc/configuration.
struct FetchRequest {
    std::uint64_t id = 0;
    std::string endpoint;
    std::uint64_t haveRevision = 0;
    Duration longPollTimeout { 0 };
    /// Time from now after which the request fails.
    Duration timeout { 0 };
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
    void handlePeerRevision(const std::string& endpoint, std::uint64_t revision, TimePoint now);

    void handleAnswer(std::uint64_t id, const schema::ConfigurationAnswer& answer, TimePoint now);
    void handleFailure(std::uint64_t id, TimePoint now);

    /// Runs timers that are due.
    void advance(TimePoint now);

    /// @return when advance() must be called next.
    TimePoint nextDeadline() const;

    /// @return the newest accepted configuration; answers to neighbours are made from it.
    const schema::Configuration& configuration() const { return m_accepted.current(); }

private:
    struct Peer {
        std::uint64_t revision = 0;
        /// Since when it has been ahead of this host.
        TimePoint aheadSince {};
    };

    void requestFromControlHost(TimePoint now);
    void requestFromPeer(const std::string& endpoint);
    std::string bestPeer(TimePoint now) const;
    FetchRequest makeRequest(const std::string& endpoint, Duration longPollTimeout);

    FetcherOptions m_options;
    AcceptedConfiguration m_accepted;
    FetchSink& m_sink;
    std::mt19937_64 m_random;
    std::map<std::string, Peer> m_peers;
    std::size_t m_controlIndex = 0;
    std::size_t m_consecutiveFailures = 0;
    std::uint64_t m_nextRequestId = 1;
    std::uint64_t m_controlRequestId = 0;
    std::uint64_t m_peerRequestId = 0;
    std::string m_requestedPeer;
    bool m_needsFullConfiguration = false;
    Duration m_backoff;
    TimePoint m_controlDue;
    TimePoint m_peerDue;
};

}
