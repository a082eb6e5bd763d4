#pragma once

/// @file
/// Judges leaves of targets that name no incarnation. Such a call may have been delayed by a partition while the target
/// has started again under its id, so what is known of the target decides which incarnation it speaks of: a target that
/// still sends heartbeats has not left.

#include "bergamotroute/clock.h"

#include "directory.pb.h"

namespace bergamotroute {

/// Which other control hosts a control host is in contact with.
enum class ControlContact {
    /// No majority: the host may lack what the others know.
    None,
    /// A majority, which knows the earlier incarnations of a target.
    Majority,
    /// All that are known to run, so that the host knows of every heartbeat.
    All,
};

/// Variation of the times at which hosts place one arrival, from rounding and the time of the message.
inline constexpr Duration leaveTimeTolerance { 250 };

/// Time between the news that a target is gone and the first reset of its flows; its last responses may still be in
/// transit.
inline constexpr Duration resetDelayAfterGone { 300 };

/// Maximum wait for other control hosts before a leave is acknowledged. The target lives until then, so no flow may be
/// reset before; no new flow waits for it, since the target has drained.
inline constexpr Duration leaveReplicationTimeout { 200 };
static_assert(leaveReplicationTimeout < resetDelayAfterGone);

enum class LeaveVerdict {
    /// No evidence yet, or not on this host.
    Undecided,
    /// A heartbeat has arrived after the leave, so an earlier incarnation sent it.
    Contradicted,
    /// The target has sent no heartbeat since: it should get no new flows, but open flows may live.
    StopNewFlows,
    /// The target is gone.
    Confirmed,
};

/// What a host knows when it judges a leave.
struct LeaveEvidence {
    TimePoint leaveTime;
    /// Arrival of the last heartbeat at any control host that this host has heard of.
    TimePoint lastHeartbeat;
    schema::TargetPhase phase = schema::TARGET_READY;
    /// An earlier incarnation of the id is known.
    bool restarted = false;
    ControlContact contact = ControlContact::None;
};

/// Times of the deployment by which leaves are judged.
struct LeaveTimes {
    Duration heartbeatInterval;
    /// Time without a heartbeat after which a target counts as silent.
    Duration silentAfter;
};

/// @return what a leave means for the target. Without an earlier incarnation that could have sent the call, it is
/// Confirmed at once for a draining target, since a target drains before it leaves. Otherwise it is Confirmed when the
/// target has been silent since.
LeaveVerdict judgeLeave(const LeaveEvidence& evidence, const LeaveTimes& times, TimePoint now);

}
