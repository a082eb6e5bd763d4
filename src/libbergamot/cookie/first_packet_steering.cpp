#include "cookie/first_packet_steering.h"

#include "cookie/steering_decisions.h"

#include <algorithm>

namespace bergamotroute {

namespace {

    /// Minimum and maximum time for which a target that does not answer first packets gets no new flows; doubles
    /// each time in between.
    constexpr Duration minAvoidance { 600 };
    constexpr Duration maxAvoidance { 4800 };
    /// Further retransmissions of a first packet go to another target in any case.
    constexpr std::uint32_t maxRetransmissionsToSameTarget = 1;

}

void FirstPacketSteering::avoid(PooledTarget& target, TimePoint now)
{
    if (target.avoidUntil > now)
        return;
    const Duration duration = std::min(maxAvoidance, minAvoidance * (1 << std::min(target.avoidCount, 8U)));
    target.avoidUntil = now + duration;
    ++target.avoidCount;
    ++m_counters.avoidedTargets;
}

SteeringDecision FirstPacketSteering::place(
    const FlowPacket& packet, const std::string& service, const PooledTarget* excluded, TimePoint now)
{
    const PlacementChoice choice = m_placement.choose(m_pool.targetsOf(service), excluded, now);
    if (!choice.target) {
        SteeringDecision decision = refuse(packet, ResultCode::FlowNoTarget);
        // A host that knows no target at all has just started, so the packet is held.
        if (m_pool.all().empty()) {
            decision.action = SteeringAction::Hold;
        } else if (choice.notPermitted > 0) {
            // Another entry host may own a target of the service, and the client tries again through another host.
            decision.code = ResultCode::FlowSlowStartLimited;
        } else {
            ++m_counters.noTarget;
        }
        decision.service = service;
        return decision;
    }
    FlowState* flow = m_flows.assign(packet.flow, *choice.target, now);
    m_slowStartLimit.recordFirstPacket(*choice.target, flow, now);
    SteeringDecision decision = forwardTo(*choice.target, ResultCode::FlowPlaced);
    decision.cost = choice.cost;
    decision.candidates = choice.candidates;
    ++m_counters.placed;
    return decision;
}

bool FirstPacketSteering::mayRepeat(const FlowState& flow, const std::string& service, TimePoint now) const
{
    const PooledTarget& target = *flow.target;
    const bool isCounted = flow.targetStartTimeMs == target.startTimeMs || !m_slowStartLimit.isLimited(target, now);
    return isCounted && target.takesNewFlows() && target.service == service;
}

bool FirstPacketSteering::keepsTarget(const FlowPacket& packet, const PooledTarget& previous, bool isUnresponsive) const
{
    if (m_isOverloaded)
        return !previous.reachability.isUnreachable();
    return !isUnresponsive && packet.acknowledgement <= maxRetransmissionsToSameTarget;
}

SteeringDecision FirstPacketSteering::placeAgain(
    const FlowPacket& packet, const std::string& service, FlowState& existing, TimePoint now)
{
    PooledTarget& previous = *existing.target;
    const bool isUnresponsive = previous.reachability.lastResponse() < existing.lastPlaced;
    if (isUnresponsive) {
        if (!m_isOverloaded)
            avoid(previous, now);
        m_reachability.suspect(previous, now);
    }
    const bool isUsable = mayRepeat(existing, service, now);
    bool keepsPrevious = isUsable && keepsTarget(packet, previous, isUnresponsive);
    if (!keepsPrevious && m_controlsOverload && !m_retryBudget.take(now) && isUsable) {
        ++m_counters.secondChoicesDenied;
        keepsPrevious = true;
    }
    if (keepsPrevious) {
        existing.lastSeen = now;
        return forwardTo(previous, ResultCode::FlowPlaced);
    }
    const bool isRepeatable = mayRepeat(existing, service, now);
    SteeringDecision decision = place(packet, service, &previous, now);
    if (decision.code == ResultCode::FlowSlowStartLimited && isRepeatable) {
        existing.lastSeen = now;
        return forwardTo(previous, ResultCode::FlowPlaced);
    }
    if (decision.action == SteeringAction::Forward) {
        decision.code = ResultCode::FlowPlacedAgain;
        ++m_counters.placedAgain;
    }
    return decision;
}

SteeringDecision FirstPacketSteering::handle(const FlowPacket& packet, TimePoint now)
{
    ++m_counters.firstPackets;
    if (m_controlsOverload && packet.acknowledgement == 0)
        m_retryBudget.countFirstPacket(now);
    const Route* route = m_routes.find(packet.flow.serviceAddress, packet.flow.servicePort);
    if (!route) {
        SteeringDecision unknown = refuse(packet, ResultCode::FlowRouteUnknown);
        // A host without a routing document cannot tell that a route does not exist.
        if (m_routes.version() == 0)
            unknown.action = SteeringAction::Hold;
        else
            ++m_counters.routeUnknown;
        return unknown;
    }
    const std::string& service = RouteTable::chooseService(*route, hashFlow(packet.flow, 0));
    FlowState* existing = m_flows.find(packet.flow);
    // The acknowledgement field of a first packet counts its retransmissions.
    const bool isRetransmission = existing && !existing->established && !existing->closed && packet.acknowledgement > 0;
    SteeringDecision decision
        = isRetransmission ? placeAgain(packet, service, *existing, now) : place(packet, service, nullptr, now);
    if (decision.code == ResultCode::FlowSlowStartLimited)
        ++m_counters.slowStartLimited;
    decision.route = route->name;
    decision.retransmission = packet.acknowledgement;
    return decision;
}

}
