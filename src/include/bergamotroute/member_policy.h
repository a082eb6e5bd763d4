#pragma once

/// @file
/// Decides how the leader of the control hosts changes the membership of the quorum without an operator: discovered
/// hosts are added, an odd number of running ones vote, lost ones are removed. One change at a time.

#include "bergamotroute/clock.h"
#include "bergamotroute/voter_balance.h"

#include "configuration.pb.h"
#include "directory.pb.h"

#include <map>
#include <optional>
#include <span>
#include <string>

namespace bergamotroute {

struct AnnouncedControlHost {
    std::string identity;
    std::string host;
    std::string rpcEndpoint;
    std::string dataCentre;
    /// Time since its last announcement.
    Duration age { 0 };
    /// It has been told to stop, so that it counts as lost although it still runs.
    bool isStopping = false;
};

struct MemberPolicyOptions {
    /// A host whose last announcement is at least this old does not count as running.
    Duration announcementTimeout { 2000 };
    /// Silence after which a member without a vote is removed. Longer than a usual restart.
    Duration removeAfter { 10'000 };
    /// Time for which a new member is known before it takes the vote of a running host. Longer than the first start of
    /// a deployment takes to find all hosts, shorter than the time after which a successor may count.
    Duration settleTime { 2000 };
    /// Time for which a member whose promotion was refused is not promoted.
    Duration refusalPause { 1000 };
    /// Minimum time between two changes, except after a promotion.
    Duration minChangeInterval { 300 };
};

/// A membership change that the leader should make.
struct MembershipChange {
    schema::Change change;
    /// For the log.
    std::string reason;
};

/// Policy of the leader. Its only state is when each identity was first and last seen and when the next change may
/// come.
class MemberPolicy {
public:
    explicit MemberPolicy(MemberPolicyOptions options = {})
        : m_options(options)
    {
    }

    /// @param members current members in the order in which they joined.
    /// @param announced hosts that announce themselves, including this one.
    /// @param self identity of the leader.
    /// @return the next change, if one is due.
    std::optional<MembershipChange> advance(std::span<const schema::ControlMember> members,
        std::span<const AnnouncedControlHost> announced, const std::string& self, TimePoint now);

    /// Records that a change that advance() returned was refused. A member that could not be promoted, for example
    /// because its disk is full, does not stand in the way of another one.
    void handleRefusal(const schema::Change& change, TimePoint now);

    /// Clears the state; to be called when leadership ends.
    void reset();

private:
    struct SeenTimes {
        TimePoint first;
        TimePoint last;
    };

    void updateSeenTimes(
        std::span<const schema::ControlMember> members, std::span<const AnnouncedControlHost> announced, TimePoint now);
    std::optional<MembershipChange> removeReplaced(std::span<const schema::ControlMember> members,
        std::span<const AnnouncedControlHost> announced, const std::string& self, TimePoint now) const;
    std::optional<MembershipChange> removeSilent(std::span<const schema::ControlMember> members, TimePoint now) const;
    std::optional<MembershipChange> add(std::span<const schema::ControlMember> members,
        std::span<const AnnouncedControlHost> announced, TimePoint now) const;
    VoterBalance makeBalance(std::span<const schema::ControlMember> members,
        std::span<const AnnouncedControlHost> announced, TimePoint now) const;
    /// Keeps the number of voters odd, and running hosts among them.
    static std::optional<MembershipChange> balanceVoters(const VoterBalance& balance);
    std::optional<MembershipChange> findChange(std::span<const schema::ControlMember> members,
        std::span<const AnnouncedControlHost> announced, const std::string& self, TimePoint now) const;
    bool isAlive(const std::string& identity, TimePoint now) const;
    bool isPassedOver(const schema::ControlMember& member, TimePoint now) const;

    MemberPolicyOptions m_options;
    std::map<std::string, SeenTimes> m_seen;
    /// Members whose promotion was refused, and until when they are passed over.
    std::map<std::string, TimePoint> m_passedOverUntil;
    TimePoint m_nextChange {};
};

}
