#pragma once

/// @file
/// Which members of a quorum can gain or lose their vote. An even number of voters needs a larger majority than one
/// voter less, and tolerates no more silent ones: with four voters, of which one is silent, no other one may be.

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
};

/// The members in the order in which they joined.
class VoterBalance {
public:
    explicit VoterBalance(std::vector<ObservedMember> members)
        : m_members(std::move(members))
    {
    }

    std::size_t voterCount() const;

    /// @return a voter that does not run, or null.
    const ObservedMember* findSilentVoter() const;

    /// @return the running member without a vote whose data centre has the fewest running voters, of these the one that
    /// joined last, or null.
    const ObservedMember* findCandidate() const;

private:
    std::size_t countRunningVoters(const std::string& dataCentre) const;

    std::vector<ObservedMember> m_members;
};

}
