#include "bergamotroute/voter_balance.h"

#include <algorithm>

namespace bergamotroute {

namespace {

    bool isVoter(const ObservedMember& observed) { return observed.member->voter(); }

    bool canBePromoted(const ObservedMember& observed) { return !isVoter(observed) && observed.isRunning; }

}

std::size_t VoterBalance::voterCount() const
{
    return static_cast<std::size_t>(std::count_if(m_members.begin(), m_members.end(), isVoter));
}

std::size_t VoterBalance::countRunningVoters(const std::string& dataCentre) const
{
    return static_cast<std::size_t>(
        std::count_if(m_members.begin(), m_members.end(), [&dataCentre](const ObservedMember& member) {
            return isVoter(member) && member.isRunning && member.dataCentre == dataCentre;
        }));
}

const ObservedMember* VoterBalance::findSilentVoter() const
{
    const auto found = std::find_if(m_members.begin(), m_members.end(),
        [](const ObservedMember& member) { return isVoter(member) && !member.isRunning; });
    return found == m_members.end() ? nullptr : &*found;
}

const ObservedMember* VoterBalance::findCandidate() const
{
    const ObservedMember* best = nullptr;
    std::size_t fewest = 0;
    for (const ObservedMember& candidate : m_members) {
        if (!canBePromoted(candidate))
            continue;
        const std::size_t voters = countRunningVoters(candidate.dataCentre);
        if (best && voters > fewest)
            continue;
        best = &candidate;
        fewest = voters;
    }
    return best;
}

}
