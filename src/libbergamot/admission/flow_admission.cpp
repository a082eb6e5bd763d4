#include "admission/flow_admission.h"

#include <algorithm>

namespace bergamotroute {

namespace {

    /// Time for which the room's bytes occupy the link: half of the clients' retransmission timeout.
    constexpr double roomSeconds = 0.1;
    /// Part of the latency objective that a flow may wait; the client needs the rest for its next try.
    constexpr int waitDivisor = 4;
    constexpr Duration maxWait { 1000 };
    /// Clients repeat data after this time without an acknowledgement, which adds to the queue. The scheduler's delay
    /// for urgent packets is at most about 226 ms, so the limits of routes with a long objective would not be reached.
    constexpr Duration maxUrgentDelay { 200 };
    /// For routes without a latency objective.
    constexpr Duration defaultObjective { 1000 };
    constexpr std::size_t maxWaitingFlows = 256;
    /// Clients repeat a first packet after these times since the original, and give up after its lifetime.
    constexpr Duration firstRetransmission { 200 };
    constexpr Duration secondRetransmission { 600 };
    constexpr Duration firstPacketLifetime { 1400 };
    constexpr std::size_t maxRememberedRefusals = 1024;
    /// While small flows of a priority are refused, one of this number is admitted, so that no priority gets nothing.
    constexpr std::uint32_t smallFlowsPerAdmission = 8;
    constexpr std::size_t maxRouteLabels = 20;
    constexpr const char* otherRoutes = "other";

    Duration objectiveOf(const Route& route)
    {
        return route.latencyObjective.count() > 0 ? route.latencyObjective : defaultObjective;
    }

    /// @return number of the copy of a first packet that the client has sent last.
    std::uint32_t copyAfter(Duration time)
    {
        if (time >= secondRetransmission)
            return 2;
        return time >= firstRetransmission ? 1 : 0;
    }

    Duration waitOf(const Route& route) { return std::min(maxWait, objectiveOf(route) / waitDivisor); }

}

void FlowAdmission::setDocument(const RoutingDocument& document)
{
    m_lowestPriority = 0;
    std::map<RouteKey, std::shared_ptr<RouteDemand>> demands;
    for (const Route& route : document.routes) {
        m_lowestPriority = std::max(m_lowestPriority, route.priority);
        const RouteKey key { route.address, route.port };
        const auto known = m_demands.find(key);
        if (known == m_demands.end())
            continue;
        known->second->setKind(route.kind);
        demands.insert(*known);
    }
    m_demands = std::move(demands);
}

void FlowAdmission::setLinkState(const LinkState& state)
{
    m_roomBytes = state.bytesPerSecond * roomSeconds;
    m_urgentDelay = state.urgentDelay;
    m_flows.setOverloaded(state.isOverloaded);
}

std::shared_ptr<RouteDemand> FlowAdmission::demandOf(const Route& route)
{
    std::shared_ptr<RouteDemand>& demand = m_demands[{ route.address, route.port }];
    if (!demand)
        demand = std::make_shared<RouteDemand>(route.kind);
    return demand;
}

FlowVerdict FlowAdmission::admit(const FlowId& flow, const std::shared_ptr<RouteDemand>& demand, TimePoint now)
{
    m_refused.erase(flow);
    m_flows.open(flow, demand, now);
    return FlowVerdict::Admit;
}

FlowVerdict FlowAdmission::refuse(
    const FlowPacket& packet, const std::string& route, FlowVerdict verdict, TimePoint now)
{
    rememberRefusal(packet.flow, packet.acknowledgement, now);
    countRefusal(route, verdict);
    return verdict;
}

void FlowAdmission::rememberRefusal(const FlowId& flow, std::uint32_t lastCopy, TimePoint now)
{
    if (m_refused.size() < maxRememberedRefusals || m_refused.contains(flow))
        m_refused[flow] = { now + firstPacketLifetime, lastCopy };
}

bool FlowAdmission::hasRefusedAllBefore(const FlowPacket& packet) const
{
    const auto refused = m_refused.find(packet.flow);
    return refused != m_refused.end() && packet.acknowledgement <= refused->second.lastCopy + 1;
}

void FlowAdmission::countRefusal(const std::string& route, FlowVerdict verdict)
{
    const bool isLabelled = m_refusals.contains(route) || m_refusals.size() < maxRouteLabels;
    const std::string label = isLabelled ? route : otherRoutes;
    FlowRefusals& refusals = m_refusals[label];
    refusals.route = label;
    ++(verdict == FlowVerdict::RefuseNoRoom ? refusals.noRoom : refusals.waitedTooLong);
}

bool FlowAdmission::admitsSmall(const Route& route)
{
    // Each priority above the lowest one accepts the delay of another quarter of its objective.
    const std::uint32_t level = m_lowestPriority > route.priority ? m_lowestPriority - route.priority : 0;
    const int quarters = static_cast<int>(std::min<std::uint32_t>(level + 1, waitDivisor));
    if (m_urgentDelay < std::min(maxUrgentDelay, objectiveOf(route) / waitDivisor * quarters))
        return true;
    return ++m_smallRefusals % smallFlowsPerAdmission == 0;
}

bool FlowAdmission::hasRoomFor(const RouteDemand& demand) const
{
    return m_flows.claimCount() == 0
        || static_cast<double>(m_flows.claimedBytes() + demand.claimBytes()) <= m_roomBytes;
}

bool FlowAdmission::exceedsPermittedWait(const WaitingFlow& flow, TimePoint now) const
{
    if (m_queue.size() >= maxWaitingFlows)
        return true;
    // The next flow of the queue may need more room than there is, and this one less.
    if (hasRoomFor(*flow.route))
        return false;
    // A share of the room is kept for each priority, so its first flow may always wait.
    if (!m_queue.hasPriority(flow.priority))
        return false;
    const double endRate = m_flows.endRate(now);
    const double ahead = static_cast<double>(m_queue.countAhead(flow));
    return endRate > 0 && ahead / endRate > std::chrono::duration<double>(flow.waitEnd - now).count();
}

FlowVerdict FlowAdmission::decide(const FlowPacket& packet, const Route& route, TimePoint now)
{
    const std::shared_ptr<RouteDemand> demand = demandOf(route);
    if (WaitingFlow* waiting = m_queue.find(packet.flow)) {
        waiting->hasSkippedCopy |= packet.acknowledgement > waiting->lastCopy + 1;
        waiting->lastCopy = std::max(waiting->lastCopy, packet.acknowledgement);
        waiting->packet = packet;
        return FlowVerdict::Wait;
    }
    if (m_flows.isOpening(packet.flow, now))
        return FlowVerdict::Admit;
    // Another host may have forwarded a copy of the first packet that has not come here.
    const bool isRetransmission = packet.acknowledgement > 0;
    if (isRetransmission && !hasRefusedAllBefore(packet))
        return admit(packet.flow, demand, now);
    if (!demand->isBulk()) {
        if (admitsSmall(route))
            return admit(packet.flow, demand, now);
        return refuse(packet, route.name, FlowVerdict::RefuseNoRoom, now);
    }
    m_flows.expireClaims(now);
    if (m_queue.isEmpty() && hasRoomFor(*demand))
        return admit(packet.flow, demand, now);
    WaitingFlow flow { packet, demand, route.name, route.priority, now, now + objectiveOf(route), now + waitOf(route) };
    // A flow that has been refused does not wait again.
    if (isRetransmission || exceedsPermittedWait(flow, now))
        return refuse(packet, route.name, FlowVerdict::RefuseNoRoom, now);
    ++m_waited;
    m_queue.add(std::move(flow));
    return FlowVerdict::Wait;
}

void FlowAdmission::observe(const FlowPacket& packet, const Route& route, TimePoint now)
{
    if (std::optional<WaitingFlow> waiting = m_queue.take(packet.flow))
        m_openElsewhere.push_back({ waiting->packet, waiting->routeName, FlowVerdict::DropOpenElsewhere });
    m_flows.observe(packet, demandOf(route), now);
}

FlowVerdict FlowAdmission::endWait(const WaitingFlow& flow, TimePoint now)
{
    // Room that is too small for the next flow in the queue may suffice for this one.
    if (hasRoomFor(*flow.route))
        return admit(flow.packet.flow, flow.route, now);
    const bool isCopyMissing = flow.hasSkippedCopy || flow.lastCopy < copyAfter(now - flow.arrival);
    const FlowVerdict verdict = isCopyMissing ? FlowVerdict::DropWaitedTooLong : FlowVerdict::RefuseWaitedTooLong;
    // A flow that has skipped a copy may be open through another host, so none of its further copies is refused.
    if (!flow.hasSkippedCopy)
        rememberRefusal(flow.packet.flow, flow.lastCopy, now);
    countRefusal(flow.routeName, verdict);
    return verdict;
}

std::vector<AdmissionRelease> FlowAdmission::takeReleases(TimePoint now)
{
    std::vector<AdmissionRelease> releases = std::exchange(m_openElsewhere, {});
    if (m_queue.isEmpty())
        return releases;
    m_flows.expireClaims(now);
    while (const WaitingFlow* next = m_queue.next()) {
        if (!hasRoomFor(*next->route))
            break;
        const WaitingFlow flow = m_queue.takeNext();
        releases.push_back({ flow.packet, flow.routeName, admit(flow.packet.flow, flow.route, now) });
    }
    for (const WaitingFlow& flow : m_queue.takeOverdue(now)) {
        const FlowVerdict verdict = endWait(flow, now);
        releases.push_back({ flow.packet, flow.routeName, verdict });
    }
    return releases;
}

std::vector<AdmissionRelease> FlowAdmission::releaseAll(TimePoint now)
{
    std::vector<AdmissionRelease> releases = std::exchange(m_openElsewhere, {});
    for (const WaitingFlow& flow : m_queue.takeAll())
        releases.push_back({ flow.packet, flow.routeName, admit(flow.packet.flow, flow.route, now) });
    // Further packets are not observed, so the claims would not end with their requests.
    m_flows.clear();
    m_refused.clear();
    return releases;
}

std::optional<TimePoint> FlowAdmission::nextRelease() const
{
    if (!m_openElsewhere.empty())
        return TimePoint {};
    const std::optional<TimePoint> waitEnd = m_queue.nextWaitEnd();
    const std::optional<TimePoint> expiry = m_flows.nextExpiry();
    return waitEnd && expiry ? std::min(*waitEnd, *expiry) : waitEnd;
}

void FlowAdmission::advance(TimePoint now)
{
    m_flows.expireClaims(now);
    m_flows.expireFlows(now);
    std::erase_if(m_refused, [now](const auto& item) { return now >= item.second.expiry; });
}

AdmissionMetrics FlowAdmission::metrics() const
{
    AdmissionMetrics metrics;
    metrics.bulkFlows = m_flows.claimCount();
    metrics.claimedBytes = m_flows.claimedBytes();
    metrics.roomBytes = m_roomBytes;
    metrics.waiting = m_queue.size();
    metrics.waited = m_waited;
    for (const auto& [route, refusals] : m_refusals)
        metrics.refusals.push_back(refusals);
    return metrics;
}

}
