#pragma once

/// @file
/// Which members of a quorum can gain or lose their vote. An even number of voters needs a larger majority than one
/// voter less, and tolerates no more losses: with four voters, of which one is lost, no other one may be lost.

#include "configuration.pb.h"

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace bergamotroute {

/// A member of the quorum as its leader sees it.
struct ObservedMember {
    const schema::ControlMember* member = nullptr;
    /// Empty if it is not known.
    std::string dataCentre;
    /// It announces itself, has not been told to stop, and can vote as far as the leader knows.
    bool isRunning = false;
    /// It has been known long enough to take the vote of a running host.
    bool isSettled = false;
};

/// The members in the order in which they joined.
class VoterBalance {
public:
    explicit VoterBalance(std::vector<ObservedMember> members)
        : m_members(std::move(members))
    {
    }

    std::size_t voterCount() const;

    /// @return number of running members without a vote.
    std::size_t candidateCount() const;

    /// @return a voter that does not run, or null.
    const ObservedMember* findSilentVoter() const;

    /// @return the running member without a vote whose data centre has the fewest running voters, of these the one that
    /// joined last, or null.
    const ObservedMember* findCandidate() const;

    /// @return the voter that joined first in the data centre with the most voters, of these the data centre that a
    /// host joined last; null unless the data centres of all voters are known.
    const ObservedMember* findSurplusVoter() const;

    /// @return whether the settled member joined after all voters of its data centre, of which there is at least one:
    /// it may be there to replace that one.
    bool isReplacement(const ObservedMember& candidate) const;

private:
    std::size_t countVoters(const std::string& dataCentre, bool onlyRunning) const;

    std::vector<ObservedMember> m_members;
};

}
