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

    schema::TargetCostState describe(const WeighedTarget& weighed)
    {
        const PooledTarget& target = *weighed.target;
        const TargetCost& cost = weighed.cost;
        schema::TargetCostState state;
        state.set_target(target.id);
        state.set_data_centre(target.dataCentre);
        state.set_slots(target.slots);
        state.set_outstanding_requests(target.requests());
        state.set_slowness(target.capacity.slowness());
        if (target.capacity.limit())
            state.set_limit(*target.capacity.limit());
        state.set_cost(cost.total);
        state.set_requests(cost.requests);
        state.set_idle_flows(cost.idleFlows);
        state.set_extra_time(cost.extraTime);
        state.set_spread(cost.spread);
        state.set_slow_start(cost.slowStart);
        state.set_other_data_centre(cost.remote);
        state.set_other_group(cost.otherGroup);
        state.set_silent(cost.silent);
        state.set_avoided(cost.avoided);
        state.set_not_compared(cost.unsampled);
        return state;
    }

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

FirstPacketSteering::Plan FirstPacketSteering::findService(const FlowPacket& packet) const
{
    Plan plan;
    plan.route = m_routes.find(packet.flow.serviceAddress, packet.flow.servicePort);
    if (plan.route) {
        plan.service = &RouteTable::chooseService(*plan.route, hashFlow(packet.flow, 0));
        return plan;
    }
    plan.code = ResultCode::FlowRouteUnknown;
    // A host without a routing document cannot tell that a route does not exist.
    plan.isHeld = m_routes.version() == 0;
    return plan;
}

PooledTarget* FirstPacketSteering::chooseForMinimumTraffic(
    const FlowPacket& packet, const Plan& plan, TimePoint now) const
{
    // A client may retry an idempotent request if the target is worse than slow.
    if (!m_learning || !isIdempotent(plan.route->kind))
        return nullptr;
    return m_learning->chooseForMinimumTraffic(
        m_pool.targetsOf(*plan.service), hashFlow(packet.flow, minimumTrafficSeed), now);
}

void FirstPacketSteering::chooseTarget(const FlowPacket& packet, Plan& plan, const PooledTarget* excluded,
    TimePoint now, std::vector<WeighedTarget>* weighed) const
{
    if (!m_isRegistryLoaded) {
        plan.code = ResultCode::FlowNoTarget;
        plan.isHeld = true;
        return;
    }
    plan.choice = m_placement.choose(
        m_pool.targetsOf(*plan.service), excluded, now, hashFlow(packet.flow, sampleSeed), weighed);
    PooledTarget* tested = excluded ? nullptr : chooseForMinimumTraffic(packet, plan, now);
    if (tested && !m_slowStartLimit.isLimited(*tested, now)) {
        plan.choice.target = tested;
        plan.choice.isMinimumTraffic = true;
    }
    if (plan.choice.target)
        return;
    // Another entry host may own a target in slow start, and the client tries again through another host.
    plan.code = plan.choice.notPermitted > 0 ? ResultCode::FlowSlowStartLimited : ResultCode::FlowNoTarget;
    // A host that knows no target at all has just started, so the packet is held.
    plan.isHeld = m_pool.all().empty();
}

SteeringDecision FirstPacketSteering::carryOut(const FlowPacket& packet, const Plan& plan, TimePoint now)
{
    if (plan.code == ResultCode::FlowPlaced) {
        FlowState* flow = m_flows.assign(packet.flow, *plan.choice.target, now);
        m_slowStartLimit.recordFirstPacket(*plan.choice.target, flow, now);
        ++m_counters.placed;
        SteeringDecision decision = forwardTo(*plan.choice.target, ResultCode::FlowPlaced);
        decision.cost = plan.choice.cost;
        decision.candidates = plan.choice.candidates;
        return decision;
    }
    SteeringDecision decision = refuse(packet, plan.code);
    if (plan.service)
        decision.service = *plan.service;
    if (plan.isHeld)
        decision.action = SteeringAction::Hold;
    else
        countRefusal(plan.code);
    return decision;
}

void FirstPacketSteering::countRefusal(ResultCode code)
{
    if (code == ResultCode::FlowNoTarget)
        ++m_counters.noTarget;
    else if (code == ResultCode::FlowSlowStartLimited)
        ++m_counters.slowStartLimited;
    else
        ++m_counters.routeUnknown;
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
    const FlowPacket& packet, Plan& plan, FlowState& existing, TimePoint now)
{
    PooledTarget& previous = *existing.target;
    const bool isUnresponsive = previous.reachability.lastResponse() < existing.lastPlaced;
    if (isUnresponsive) {
        if (!m_isOverloaded)
            avoid(previous, now);
        m_reachability.suspect(previous, now);
    }
    const bool isRepeatable = mayRepeat(existing, *plan.service, now);
    bool keepsPrevious = isRepeatable && keepsTarget(packet, previous, isUnresponsive);
    if (!keepsPrevious && m_controlsOverload && !m_retryBudget.take(now) && isRepeatable) {
        ++m_counters.secondChoicesDenied;
        keepsPrevious = true;
    }
    if (!keepsPrevious) {
        chooseTarget(packet, plan, &previous, now);
        keepsPrevious = plan.code == ResultCode::FlowSlowStartLimited && isRepeatable;
    }
    if (keepsPrevious) {
        existing.lastSeen = now;
        return forwardTo(previous, ResultCode::FlowPlaced);
    }
    SteeringDecision decision = carryOut(packet, plan, now);
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
    Plan plan = findService(packet);
    if (!plan.route)
        return carryOut(packet, plan, now);
    FlowState* existing = m_flows.find(packet.flow);
    // The acknowledgement field of a first packet counts its retransmissions.
    const bool isRetransmission = existing && !existing->established && !existing->closed && packet.acknowledgement > 0;
    if (!isRetransmission)
        chooseTarget(packet, plan, nullptr, now);
    SteeringDecision decision
        = isRetransmission ? placeAgain(packet, plan, *existing, now) : carryOut(packet, plan, now);
    decision.route = plan.route->name;
    decision.retransmission = packet.acknowledgement;
    return decision;
}

schema::PlacementExplanation FirstPacketSteering::explain(const FlowPacket& packet, TimePoint now) const
{
    std::vector<WeighedTarget> weighed;
    Plan plan = findService(packet);
    if (plan.route)
        chooseTarget(packet, plan, nullptr, now, &weighed);
    schema::PlacementExplanation explanation;
    explanation.set_document_version(m_routes.version());
    explanation.set_code(static_cast<std::uint32_t>(plan.code));
    explanation.set_held(plan.isHeld);
    if (plan.route) {
        explanation.set_route(plan.route->name);
        explanation.set_service(*plan.service);
    }
    if (plan.choice.target)
        explanation.set_target(plan.choice.target->id);
    explanation.set_minimum_traffic(plan.choice.isMinimumTraffic);
    explanation.set_all_at_limit(plan.choice.allAtLimit);
    for (const WeighedTarget& item : weighed)
        *explanation.add_targets() = describe(item);
    return explanation;
}

}
