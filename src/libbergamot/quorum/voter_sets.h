#pragma once

/// @file
/// Which voters decide: a majority, or half of an even number of them once the log of another one is known to be gone.
/// docs/design/control_quorum.md gives the argument.

#include "configuration.pb.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace bergamotroute {

/// The voters that decide at a moment: those of the latest members and, while the last change of members is not known
/// to be committed, also those before it. A decision needs a quorum of each.
class VoterSets {
public:
    /// @param lost identities whose log is proven to be gone for good; they never count.
    explicit VoterSets(std::set<std::string> lost = {})
        : m_lost(std::move(lost))
    {
    }

    /// Adds the voters among some members as one more set of which a quorum is needed. A list without voters adds none.
    void add(std::span<const schema::ControlMember> members);

    /// @return whether the identity votes in any of the sets.
    bool contains(const std::string& identity) const;

    /// @return whether the identities contain a quorum of each set.
    bool hasQuorum(const std::set<std::string>& identities) const;

    /// @param valueOf progress of a voter, for example the index up to which its log is durable.
    /// @param none result if there is no voter.
    /// @return the highest value that a quorum of each set has reached.
    template <typename Value>
    Value reachedByQuorum(const std::function<Value(const std::string&)>& valueOf, Value none) const
    {
        if (m_sets.empty())
            return none;
        Value lowest = reachedInSet(m_sets.front(), valueOf, none);
        for (const Voters& voters : m_sets)
            lowest = std::min(lowest, reachedInSet(voters, valueOf, none));
        return lowest;
    }

private:
    using Voters = std::vector<std::string>;

    /// Half of an even number of voters, one of them lost, meets every majority and every other half without a lost
    /// voter.
    std::size_t quorumSize(const Voters& voters) const;
    bool isLost(const std::string& identity) const { return m_lost.contains(identity); }

    template <typename Value>
    Value reachedInSet(const Voters& voters, const std::function<Value(const std::string&)>& valueOf, Value none) const
    {
        std::vector<Value> values;
        for (const std::string& identity : voters) {
            if (!isLost(identity))
                values.push_back(valueOf(identity));
        }
        const std::size_t needed = quorumSize(voters);
        if (values.size() < needed)
            return none;
        std::sort(values.begin(), values.end(), std::greater<>());
        return values[needed - 1];
    }

    std::set<std::string> m_lost;
    std::vector<Voters> m_sets;
};

}
