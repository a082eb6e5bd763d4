#pragma once

/// @file
/// Bootstraps a new quorum from hosts whose data folders are empty.

#include "bergamotroute/clock.h"

#include "control.pb.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bergamotroute {

/// One initial member of the quorum, from the settings.
struct InitialMember {
    std::string host;
    std::string rpcEndpoint;
};

struct BootstrapOptions {
    std::string identity;
    std::string host;
    std::vector<InitialMember> members;
    Duration retryInterval { 200 };
    /// Random number that becomes the flow hash key.
    std::uint64_t seed = 0;
};

/// Requests the identity of every initial member. The member whose name sorts first bootstraps the quorum once all of
/// them have answered and none has a log. A host whose disk was replaced therefore cannot bootstrap a second quorum,
/// because the other members have a log.
class QuorumBootstrap {
public:
    explicit QuorumBootstrap(BootstrapOptions options);

    /// @return true if this host is the one that bootstraps the quorum.
    bool isInitiator() const;

    /// @return endpoints to send identity requests to; empty before nextDeadline().
    std::vector<std::string> advance(TimePoint now);

    /// @return the time at which advance() must be called next.
    TimePoint nextDeadline() const;

    /// Handles the identity answer from a member's endpoint.
    /// @return the initial snapshot once every member has answered.
    std::optional<schema::Snapshot> handleAnswer(const std::string& endpoint, const schema::IdentityAnswer& answer);

    /// @return true if an initial member already has a log; this host must then be added as a new member.
    bool foundExistingLog() const { return m_foundExistingLog; }

private:
    schema::Snapshot makeSnapshot() const;

    BootstrapOptions m_options;
    std::map<std::string, std::string> m_identities;
    TimePoint m_nextAttempt {};
    bool m_foundExistingLog = false;
    bool m_complete = false;
};

}
