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

std::size_t VoterBalance::candidateCount() const
{
    return static_cast<std::size_t>(std::count_if(m_members.begin(), m_members.end(), canBePromoted));
}

std::size_t VoterBalance::countVoters(const std::string& dataCentre, bool onlyRunning) const
{
    return static_cast<std::size_t>(
        std::count_if(m_members.begin(), m_members.end(), [&dataCentre, onlyRunning](const ObservedMember& member) {
            return isVoter(member) && member.dataCentre == dataCentre && (member.isRunning || !onlyRunning);
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
        const std::size_t voters = countVoters(candidate.dataCentre, true);
        if (best && voters > fewest)
            continue;
        best = &candidate;
        fewest = voters;
    }
    return best;
}

const ObservedMember* VoterBalance::findSurplusVoter() const
{
    const ObservedMember* latest = nullptr;
    std::size_t most = 0;
    for (const ObservedMember& member : m_members) {
        if (!isVoter(member))
            continue;
        if (member.dataCentre.empty())
            return nullptr;
        const std::size_t voters = countVoters(member.dataCentre, false);
        if (voters < most)
            continue;
        latest = &member;
        most = voters;
    }
    if (!latest)
        return nullptr;
    const auto first = std::find_if(m_members.begin(), m_members.end(),
        [latest](const ObservedMember& member) { return isVoter(member) && member.dataCentre == latest->dataCentre; });
    return &*first;
}

bool VoterBalance::isReplacement(const ObservedMember& candidate) const
{
    if (!candidate.isSettled || candidate.dataCentre.empty())
        return false;
    bool hasVoter = false;
    bool hasCandidateJoined = false;
    for (const ObservedMember& other : m_members) {
        hasCandidateJoined = hasCandidateJoined || other.member == candidate.member;
        if (!isVoter(other) || other.dataCentre != candidate.dataCentre)
            continue;
        if (hasCandidateJoined)
            return false;
        hasVoter = true;
    }
    return hasVoter;
}

}
