#pragma once

/// @file
/// Fetches the accepted configuration for an entry host and makes sure that its revision never decreases.

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

/// Holds the latest accepted configuration. Its revision never decreases.
class AcceptedConfiguration {
public:
    /// @param initial the configuration that was stored on disk, or an empty one.
    explicit AcceptedConfiguration(schema::Configuration initial = {})
        : m_current(std::move(initial))
    {
    }

    /// Replaces the configuration if the received one is committed and newer.
    /// @return ResultCode::Ok; RevisionOlderRefused if the received one is older, equal, uncommitted or from an earlier
    /// term; or InvalidValue if its entries or its full configuration do not match its revision.
    ResultCode update(const schema::ConfigurationAnswer& answer);

    const schema::Configuration& current() const { return m_current; }

private:
    ResultCode replace(schema::Configuration candidate);

    schema::Configuration m_current;
};

struct FetcherOptions {
    std::vector<std::string> controlEndpoints;
    std::uint64_t seed = 0;
    /// How long a source may hold a request open until it has a newer revision.
    Duration longPollTimeout { 10'000 };
    /// Time after the long-poll timeout at which a request without an answer has failed.
    Duration answerMargin { 2000 };
    /// First and maximum delay before the next request after all control hosts have failed, or after an
    /// outdated or invalid answer.
    Duration backoffMin { 200 };
    Duration backoffMax { 2000 };
    /// How long another entry host may have a newer revision before a request is sent to it.
    Duration peerDelay { 500 };
};

/// A request to send as POST /rpc/configuration.
struct FetchRequest {
    std::uint64_t id = 0;
    std::string endpoint;
    std::uint64_t haveRevision = 0;
    /// How long the source may hold the request open; zero asks for an immediate answer.
    Duration longPollTimeout { 0 };
    /// Time from sending after which the request fails.
    Duration timeout { 0 };
};

/// Interface through which a ConfigurationFetcher sends requests and delivers configurations.
class FetchSink {
public:
    virtual ~FetchSink() = default;

    /// Sends a request, then calls handleAnswer() or handleFailure() exactly once, but not from inside this call.
    virtual void fetch(const FetchRequest& request) = 0;

    /// Called with a newer accepted configuration, which must be stored on disk and activated.
    virtual void apply(const schema::Configuration& configuration) = 0;

    virtual void logEvent(ResultCode code, std::string_view detail) = 0;
};

/// Keeps one long-poll request open to a control host. If another entry host (a peer) has had a newer revision for
/// FetcherOptions::peerDelay, the configuration is requested from that peer as well. The host therefore stays up to
/// date when its control host is on the other side of a partition or when no control host answers.
class ConfigurationFetcher {
public:
    /// @param initial the configuration that was stored on disk, or an empty one.
    /// @param sink must outlive the fetcher.
    ConfigurationFetcher(FetcherOptions options, schema::Configuration initial, FetchSink& sink, TimePoint now);

    /// Reports the revision of a peer, taken from its heartbeat.
    void handlePeerRevision(const std::string& endpoint, std::uint64_t revision, TimePoint now);

    void handleAnswer(std::uint64_t id, const schema::ConfigurationAnswer& answer, TimePoint now);
    void handleFailure(std::uint64_t id, TimePoint now);

    /// Handles all timers that have expired.
    void advance(TimePoint now);

    /// @return the time at which advance() must be called next.
    TimePoint nextDeadline() const;

    /// @return the latest accepted configuration, which is also served to peers.
    const schema::Configuration& configuration() const { return m_accepted.current(); }

private:
    struct Peer {
        std::uint64_t revision = 0;
        /// Time since which its revision has been newer than this host's.
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
    /// Zero if no request is open.
    std::uint64_t m_controlRequestId = 0;
    /// Zero if no request is open.
    std::uint64_t m_peerRequestId = 0;
    std::string m_requestedPeer;
    /// The last answer was invalid, so the next request asks for the full configuration.
    bool m_needsFullConfiguration = false;
    Duration m_backoff;
    TimePoint m_controlDue;
    TimePoint m_peerDue;
};

}
