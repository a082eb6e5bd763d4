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
    /// Make the choices of flows for minimum traffic and of the targets that a flow compares independent of each other
    /// and of the choice of a route's service.
    constexpr std::uint64_t minimumTrafficSeed = 1;
    constexpr std::uint64_t sampleSeed = 2;

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
    const PlacementChoice choice
        = m_placement.choose(m_pool.targetsOf(service), excluded, now, hashFlow(packet.flow, sampleSeed));
    if (!choice.target) {
        SteeringDecision decision = refuse(packet, ResultCode::FlowNoTarget);
        // A host that knows no target at all has just started, so the packet is held.
        if (m_pool.all().empty())
            decision.action = SteeringAction::Hold;
        else
            ++m_counters.noTarget;
        decision.service = service;
        return decision;
    }
    SteeringDecision decision = assign(packet, *choice.target, now);
    decision.cost = choice.cost;
    decision.candidates = choice.candidates;
    return decision;
}

SteeringDecision FirstPacketSteering::assign(const FlowPacket& packet, PooledTarget& target, TimePoint now)
{
    m_flows.assign(packet.flow, target, now);
    ++m_counters.placed;
    return forwardTo(target, ResultCode::FlowPlaced);
}

PooledTarget* FirstPacketSteering::chooseForMinimumTraffic(
    const FlowPacket& packet, const Route& route, const std::string& service, TimePoint now)
{
    // A client may retry an idempotent request if the target is worse than slow.
    if (!m_learning || !isIdempotent(route.kind))
        return nullptr;
    return m_learning->chooseForMinimumTraffic(
        m_pool.targetsOf(service), hashFlow(packet.flow, minimumTrafficSeed), now);
}

SteeringDecision FirstPacketSteering::placeAgain(
    const FlowPacket& packet, const std::string& service, FlowState& existing, TimePoint now)
{
    PooledTarget& previous = *existing.target;
    const bool isUnresponsive = previous.reachability.lastResponse() < existing.lastPlaced;
    if (isUnresponsive) {
        avoid(previous, now);
        m_reachability.suspect(previous, now);
    }
    const bool keepsTarget = !isUnresponsive && packet.acknowledgement <= maxRetransmissionsToSameTarget
        && previous.takesNewFlows() && previous.service == service;
    if (keepsTarget) {
        existing.lastSeen = now;
        return forwardTo(previous, ResultCode::FlowPlaced);
    }
    SteeringDecision decision = place(packet, service, &previous, now);
    if (decision.action == SteeringAction::Forward) {
        decision.code = ResultCode::FlowPlacedAgain;
        ++m_counters.placedAgain;
    }
    return decision;
}

SteeringDecision FirstPacketSteering::handle(const FlowPacket& packet, TimePoint now)
{
    ++m_counters.firstPackets;
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
    PooledTarget* tested = isRetransmission ? nullptr : chooseForMinimumTraffic(packet, *route, service, now);
    SteeringDecision decision = tested ? assign(packet, *tested, now)
        : isRetransmission             ? placeAgain(packet, service, *existing, now)
                                       : place(packet, service, nullptr, now);
    decision.route = route->name;
    decision.retransmission = packet.acknowledgement;
    return decision;
}

}
