#include "bergamotroute/voter_balance.h"

#include <algorithm>

namespace bergamotroute {

namespace {

    bool isVoter(const VoterCandidate& candidate) { return candidate.member->voter(); }

    bool canBePromoted(const VoterCandidate& candidate) { return !isVoter(candidate) && candidate.isRunning; }

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
        std::count_if(m_members.begin(), m_members.end(), [&dataCentre, onlyRunning](const VoterCandidate& candidate) {
            return isVoter(candidate) && candidate.dataCentre == dataCentre && (candidate.isRunning || !onlyRunning);
        }));
}

const VoterCandidate* VoterBalance::findSilentVoter() const
{
    const auto found = std::find_if(m_members.begin(), m_members.end(),
        [](const VoterCandidate& candidate) { return isVoter(candidate) && !candidate.isRunning; });
    return found == m_members.end() ? nullptr : &*found;
}

const VoterCandidate* VoterBalance::findCandidate() const
{
    const VoterCandidate* best = nullptr;
    std::size_t fewest = 0;
    for (const VoterCandidate& candidate : m_members) {
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

const VoterCandidate* VoterBalance::findSurplusVoter() const
{
    const VoterCandidate* latest = nullptr;
    std::size_t most = 0;
    for (const VoterCandidate& candidate : m_members) {
        if (!isVoter(candidate))
            continue;
        if (candidate.dataCentre.empty())
            return nullptr;
        const std::size_t voters = countVoters(candidate.dataCentre, false);
        if (voters < most)
            continue;
        latest = &candidate;
        most = voters;
    }
    if (!latest)
        return nullptr;
    const auto first = std::find_if(m_members.begin(), m_members.end(), [latest](const VoterCandidate& candidate) {
        return isVoter(candidate) && candidate.dataCentre == latest->dataCentre;
    });
    return &*first;
}

bool VoterBalance::isReplacement(const VoterCandidate& candidate) const
{
    if (!candidate.isSettled || candidate.dataCentre.empty())
        return false;
    bool hasVoter = false;
    bool hasCandidateJoined = false;
    for (const VoterCandidate& other : m_members) {
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
