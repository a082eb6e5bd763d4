#include "bergamotroute/target_leave.h"

namespace bergamotroute {

namespace {

    /// A running target sends a heartbeat within this many intervals, also when its first call is lost.
    constexpr unsigned intervalsWithoutHeartbeat = 2;

}

LeaveVerdict judgeLeave(const LeaveEvidence& evidence, const LeaveTimes& times, TimePoint now)
{
    if (evidence.lastHeartbeat > evidence.leaveTime + leaveTimeTolerance)
        return LeaveVerdict::Contradicted;
    const Duration age = now - evidence.leaveTime;
    const bool isDraining = evidence.phase == schema::TARGET_DRAINING;
    const bool isOnlyIncarnation = !evidence.restarted && evidence.contact != ControlContact::None;
    const bool isSilent = evidence.contact == ControlContact::All && age >= times.silentAfter;
    if ((isOnlyIncarnation && isDraining) || isSilent)
        return LeaveVerdict::Confirmed;
    if (age >= times.heartbeatInterval * intervalsWithoutHeartbeat)
        return LeaveVerdict::StopNewFlows;
    return LeaveVerdict::Undecided;
}

}
