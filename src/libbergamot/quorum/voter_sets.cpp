#include "quorum/voter_sets.h"

namespace bergamotroute {

void VoterSets::add(std::span<const schema::ControlMember> members)
{
    Voters voters;
    for (const schema::ControlMember& member : members) {
        if (member.voter())
            voters.push_back(member.identity());
    }
    if (!voters.empty())
        m_sets.push_back(std::move(voters));
}

bool VoterSets::contains(const std::string& identity) const
{
    return std::any_of(m_sets.begin(), m_sets.end(), [&identity](const Voters& voters) {
        return std::find(voters.begin(), voters.end(), identity) != voters.end();
    });
}

bool VoterSets::hasQuorum(const std::set<std::string>& identities) const
{
    return reachedByQuorum<bool>(
        [&identities](const std::string& identity) { return identities.contains(identity); }, false);
}

std::size_t VoterSets::quorumSize(const Voters& voters) const
{
    const bool isEven = voters.size() % 2 == 0;
    const bool hasLostVoter
        = std::any_of(voters.begin(), voters.end(), [this](const std::string& identity) { return isLost(identity); });
    return isEven && hasLostVoter ? voters.size() / 2 : voters.size() / 2 + 1;
}

}
