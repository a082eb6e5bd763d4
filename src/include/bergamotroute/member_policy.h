#pragma once

/// @file
/// Decides how the leader of the control hosts changes the members of the quorum on its own: hosts that were found are
/// added and promoted, hosts that were replaced are removed. One change at a time.

#include "bergamotroute/clock.h"

#include "configuration.pb.h"
#include "directory.pb.h"

#include <map>
#include <optional>
#include <span>
#include <string>

namespace bergamotroute {

/// A control host that announces itself.
struct AnnouncedControlHost {
    std::string identity;
    std::string host;
    std::string rpcEndpoint;
    std::string dataCentre;
    /// Time since its last announcement.
    Duration age { 0 };
};

/// Parameters of the policy.
struct MemberPolicyOptions {
    /// Announcements older than this do not show that a host runs.
    Duration announcementTimeout { 2000 };
    /// Silence after which a voter may be removed once another host has taken its place. Longer than a usual restart.
    Duration replaceAfter { 10'000 };
    /// The same when the other host runs in the data centre of the silent one and joined later: it is a replacement,
    /// and another host may be lost as soon as it has caught up.
    Duration replaceInDataCentreAfter { 3000 };
    /// Shortest time between two changes.
    Duration minChangeInterval { 300 };
};

/// What the leader does next.
struct MembershipChange {
    schema::Change change;
    /// Why, for the log.
    std::string reason;
};

/// Policy of the leader. Keeps only when it last heard of each identity.
class MemberPolicy {
public:
    explicit MemberPolicy(MemberPolicyOptions options = {})
        : m_options(options)
    {
    }

    /// @param members members in force.
    /// @param announced hosts that announce themselves, this one included.
    /// @param self identity of the leader.
    /// @return the next change, if one is due.
    std::optional<MembershipChange> advance(std::span<const schema::ControlMember> members,
        std::span<const AnnouncedControlHost> announced, const std::string& self, TimePoint now);

    /// Forgets what was learned, when leadership ends.
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
    std::optional<MembershipChange> removeSilent(std::span<const schema::ControlMember> members,
        std::span<const AnnouncedControlHost> announced, const std::string& self, TimePoint now) const;
    bool hasReplacement(std::span<const schema::ControlMember> members, std::span<const AnnouncedControlHost> announced,
        std::size_t silent, TimePoint now) const;
    bool isAlive(const std::string& identity, TimePoint now) const;

    MemberPolicyOptions m_options;
    std::map<std::string, SeenTimes> m_seen;
    TimePoint m_nextChange {};
};

}
