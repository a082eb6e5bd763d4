#pragma once

/// @file
/// Forms the first quorum from hosts whose data folders are empty.

#include "bergamotroute/clock.h"

#include "control.pb.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bergamotroute {

/// One host of the first quorum, from the settings.
struct InitialMember {
    std::string host;
    std::string rpcEndpoint;
};

/// Parameters of the bootstrap.
struct BootstrapOptions {
    std::string identity;
    std::string host;
    std::vector<InitialMember> members;
    Duration retryInterval { 200 };
    /// Random number from which the key of the flow hash is made.
    std::uint64_t seed = 0;
};

/// Asks all initial members for their identity. The first of them by name forms the quorum once every one has answered
/// and none has a log. A host whose disk was replaced therefore cannot form a second quorum: the others have a log.
class QuorumBootstrap {
public:
    explicit QuorumBootstrap(BootstrapOptions options);

    /// @return true if this host is the one that forms the quorum.
    bool isInitiator() const;

    /// @return endpoints to ask now; empty if it is not time.
    std::vector<std::string> advance(TimePoint now);

    /// @return when advance() must be called next.
    TimePoint nextDeadline() const;

    /// Handles the answer of the member with an endpoint.
    /// @return the first snapshot, when every member has answered.
    std::optional<schema::Snapshot> handleAnswer(const std::string& endpoint, const schema::IdentityAnswer& answer);

    /// @return true if an initial member has a log already: this host must be added as a new member.
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
