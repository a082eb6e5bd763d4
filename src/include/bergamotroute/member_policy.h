#pragma once

/// @file
/// Decides how the leader of the control hosts changes the membership of the quorum without an operator: discovered
/// hosts are added, all running ones vote, lost ones are removed. One change at a time. docs/design/control_quorum.md
/// compares this with fewer votes.

#include "bergamotroute/clock.h"
#include "bergamotroute/voter_balance.h"

#include "configuration.pb.h"
#include "directory.pb.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>

namespace bergamotroute {

struct AnnouncedControlHost {
    std::string identity;
    std::string host;
    std::string rpcEndpoint;
    std::string dataCentre;
    /// Time since it was last heard.
    Duration age { 0 };
    /// It has been told to stop, so that it counts as lost although it still runs.
    bool isStopping = false;
};

struct MemberPolicyOptions {
    /// A host that was not heard for this long does not count as running. The others tolerate at least as many losses
    /// without its vote, so that little is lost when it was only slow; it gets the vote back as soon as it is heard.
    Duration silenceTimeout { 1000 };
    /// Time by which the silence of a member counts later if a new leader has never heard of it.
    Duration firstContactAllowance { 1000 };
    /// Silence after which a member without a vote is removed. Longer than a usual restart.
    Duration removeAfter { 10'000 };
    /// Time for which a member whose promotion was refused is not promoted.
    Duration refusalPause { 1000 };
    /// Minimum time between two changes, except after a promotion.
    Duration minChangeInterval { 300 };
};

/// With no more voters, a silent one keeps its vote: it counts again as soon as it is back.
inline constexpr std::size_t fewestVoters = 3;

/// A membership change that the leader should make.
struct MembershipChange {
    schema::Change change;
    /// For the log.
    std::string reason;
};

/// Policy of the leader. Its only state is when each identity was last seen and when the next change may come.
class MemberPolicy {
public:
    explicit MemberPolicy(MemberPolicyOptions options = {})
        : m_options(options)
    {
    }

    /// @param members current members in the order in which they joined.
    /// @param announced hosts that announce themselves, including this one.
    /// @param self identity of the leader.
    /// @param lostVoters voters whose log is proven to be gone (QuorumLog::lostVoters()); they are removed first.
    /// @return the next change, if one is due.
    std::optional<MembershipChange> advance(std::span<const schema::ControlMember> members,
        std::span<const AnnouncedControlHost> announced, const std::string& self, TimePoint now,
        const std::set<std::string>& lostVoters = {});

    /// Records that a change that advance() returned was refused. A member that could not be promoted, for example
    /// because its disk is full, does not stand in the way of another one.
    void handleRefusal(const schema::Change& change, TimePoint now);

    /// Clears the state; to be called when leadership ends.
    void reset();

private:
    void updateSeenTimes(
        std::span<const schema::ControlMember> members, std::span<const AnnouncedControlHost> announced, TimePoint now);
    static std::optional<MembershipChange> removeLost(
        std::span<const schema::ControlMember> members, const std::set<std::string>& lostVoters);
    std::optional<MembershipChange> removeReplaced(std::span<const schema::ControlMember> members,
        std::span<const AnnouncedControlHost> announced, const std::string& self, TimePoint now) const;
    std::optional<MembershipChange> removeSilent(std::span<const schema::ControlMember> members, TimePoint now) const;
    std::optional<MembershipChange> add(std::span<const schema::ControlMember> members,
        std::span<const AnnouncedControlHost> announced, TimePoint now) const;
    VoterBalance makeBalance(std::span<const schema::ControlMember> members,
        std::span<const AnnouncedControlHost> announced, TimePoint now) const;
    /// Gives running members a vote and takes it from silent ones.
    static std::optional<MembershipChange> balanceVoters(const VoterBalance& balance);
    std::optional<MembershipChange> findChange(std::span<const schema::ControlMember> members,
        std::span<const AnnouncedControlHost> announced, const std::string& self, TimePoint now,
        const std::set<std::string>& lostVoters) const;
    bool isAlive(const std::string& identity, TimePoint now) const;
    bool isPassedOver(const schema::ControlMember& member, TimePoint now) const;

    MemberPolicyOptions m_options;
    std::map<std::string, TimePoint> m_lastSeen;
    /// Members whose promotion was refused, and until when they are passed over.
    std::map<std::string, TimePoint> m_passedOverUntil;
    TimePoint m_nextChange {};
};

}
