#include "bergamotroute/quorum_bootstrap.h"

#include <algorithm>

namespace bergamotroute {

QuorumBootstrap::QuorumBootstrap(BootstrapOptions options)
    : m_options(std::move(options))
{
    std::sort(m_options.members.begin(), m_options.members.end(),
        [](const InitialMember& left, const InitialMember& right) { return left.host < right.host; });
}

bool QuorumBootstrap::isInitiator() const
{
    return !m_options.members.empty() && m_options.members.front().host == m_options.host;
}

std::vector<std::string> QuorumBootstrap::advance(TimePoint now)
{
    if (now < nextDeadline())
        return {};
    m_nextAttempt = now + m_options.retryInterval;
    std::vector<std::string> endpoints;
    for (const InitialMember& member : m_options.members)
        endpoints.push_back(member.rpcEndpoint);
    return endpoints;
}

TimePoint QuorumBootstrap::nextDeadline() const
{
    return !isInitiator() || m_complete || m_foundExistingLog ? noDeadline : m_nextAttempt;
}

std::optional<schema::Snapshot> QuorumBootstrap::handleAnswer(
    const std::string& endpoint, const schema::IdentityAnswer& answer)
{
    if (m_complete || m_foundExistingLog || !isInitiator())
        return std::nullopt;
    const auto member = std::find_if(m_options.members.begin(), m_options.members.end(),
        [&endpoint](const InitialMember& candidate) { return candidate.rpcEndpoint == endpoint; });
    if (member == m_options.members.end() || answer.host() != member->host || answer.identity().empty())
        return std::nullopt;
    if (answer.formed()) {
        m_foundExistingLog = true;
        return std::nullopt;
    }
    m_identities[endpoint] = answer.identity();
    if (m_identities.size() < m_options.members.size())
        return std::nullopt;
    m_complete = true;
    return makeSnapshot();
}

schema::Snapshot QuorumBootstrap::makeSnapshot() const
{
    schema::Snapshot snapshot;
    snapshot.set_last_index(1);
    snapshot.set_last_term(1);
    schema::Configuration& configuration = *snapshot.mutable_configuration();
    configuration.set_revision(1);
    configuration.set_term(1);
    configuration.set_flow_hash_key(m_options.seed == 0 ? 1 : m_options.seed);
    for (const InitialMember& member : m_options.members) {
        schema::ControlMember& added = *configuration.add_control_members();
        added.set_identity(m_identities.at(member.rpcEndpoint));
        added.set_host(member.host);
        added.set_rpc_endpoint(member.rpcEndpoint);
        added.set_voter(true);
    }
    return snapshot;
}

}
