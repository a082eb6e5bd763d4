#include "cookie/flow_table.h"

#include "bergamotroute/sequence_number.h"

#include <algorithm>
#include <xxhash.h>

namespace bergamotroute {

namespace {

    /// Time for which a closed flow is kept for its last packets. A flow that was never established expires after the
    /// same time.
    constexpr Duration closedFlowTimeout { 2000 };
    /// A client retransmits a packet after 200 and 600 ms. If neither a retransmission nor an acknowledgement arrives
    /// for this time, another entry host gets the flow's packets: the fabric moves most flows whenever a host joins or
    /// leaves.
    constexpr Duration requestTimeout { 1000 };
    /// An open flow without packets for this time is no longer counted here: the fabric has probably moved it to
    /// another entry host.
    constexpr Duration inactiveFlowTimeout { 5000 };

    /// Data that follows a first packet within this time is the request that the first packet announces. Longer than a
    /// round trip.
    constexpr Duration openingTime { 300 };

    RequestTarget describe(const FlowId& flow, const PooledTarget& target, TimePoint now)
    {
        const std::uint64_t endpoint = (std::uint64_t { flow.serviceAddress } << 16) | flow.servicePort;
        RequestTarget request;
        request.routeKey = XXH3_64bits_withSeed(target.service.data(), target.service.size(), endpoint);
        request.requests = target.requests();
        request.slots = target.slots;
        request.isSlowStart = target.slowStartUntil > now;
        return request;
    }

}

FlowState* FlowTable::find(const FlowId& flow)
{
    const auto found = m_flows.find(flow);
    return found == m_flows.end() ? nullptr : &found->second;
}

bool FlowTable::isOpening(const FlowId& flow) const
{
    const auto found = m_flows.find(flow);
    return found != m_flows.end() && !found->second.established && !found->second.closed;
}

bool FlowTable::isCounted(const FlowState& state)
{
    return !state.closed && state.target && state.targetStartTimeMs == state.target->startTimeMs;
}

void FlowTable::setRequestPending(FlowState& state, bool pending)
{
    if (state.requestPending == pending)
        return;
    state.requestPending = pending;
    if (!isCounted(state))
        return;
    if (pending)
        ++state.target->ownLoad.requests;
    else if (state.target->ownLoad.requests > 0)
        --state.target->ownLoad.requests;
}

void FlowTable::close(FlowState& state)
{
    setRequestPending(state, false);
    if (isCounted(state) && state.target->ownLoad.openFlows > 0)
        --state.target->ownLoad.openFlows;
    const bool isRecurring = state.requests >= firstRecurringRequest;
    if (isCounted(state) && state.openedInSlowStart && isRecurring && state.target->recurringFlows > 0)
        --state.target->recurringFlows;
    if (m_observer && !state.closed && state.established && state.openedHere && !isRecurring)
        m_observer->handleSingleRequestFlow(state);
    state.closed = true;
}

void FlowTable::countRequest(FlowState& state, TimePoint now)
{
    const bool isOpening = !state.sentData && now - state.lastPlaced < openingTime;
    const bool isContinued = state.sentData && state.requestPending;
    state.sentData = true;
    if (isOpening || isContinued)
        return;
    ++state.requests;
    if (state.requests == firstRecurringRequest && state.openedInSlowStart && isCounted(state))
        ++state.target->recurringFlows;
    if (m_observer)
        m_observer->handleRequest(state, now);
}

FlowState* FlowTable::assign(const FlowId& flow, PooledTarget& target, TimePoint now)
{
    auto found = m_flows.find(flow);
    if (found != m_flows.end())
        close(found->second);
    else if (m_flows.size() >= m_capacity)
        return nullptr;
    FlowState& state = found != m_flows.end() ? found->second : m_flows[flow];
    const TimePoint opened = state.target && !state.established ? state.opened : now;
    state = {};
    state.target = &target;
    state.targetStartTimeMs = target.startTimeMs;
    state.opened = opened;
    state.lastSeen = now;
    state.lastPlaced = now;
    target.lastRequest = now;
    ++target.ownLoad.openFlows;
    setRequestPending(state, true);
    return &state;
}

FlowObservation FlowTable::observe(const FlowPacket& packet, PooledTarget& target, TimePoint now)
{
    FlowState* state = find(packet.flow);
    const bool isUntracked = !state || state->target != &target;
    if (isUntracked) {
        // The flow was opened through another entry host, or this host has just started.
        state = assign(packet.flow, target, now);
        if (!state)
            return FlowObservation::None;
        setRequestPending(*state, false);
        state->openedHere = false;
        state->sentData = true;
    }
    state->lastSeen = now;
    FlowObservation observation = FlowObservation::None;
    RequestProgress progress { .acknowledgement = packet.acknowledgement, .isUntracked = isUntracked };
    if (!state->established) {
        state->established = true;
        // The first packet that this host sees of an older flow may be a retransmission, which shows no new response.
        if (!isUntracked)
            observation = FlowObservation::Responded;
        state->acknowledged = packet.acknowledgement;
        state->nextSequence = packet.sequence;
    } else if (isAfter(packet.acknowledgement, state->acknowledged)) {
        state->acknowledged = packet.acknowledgement;
        progress.acknowledgesNewData = true;
        setRequestPending(*state, false);
        observation = FlowObservation::Responded;
    }
    const std::uint32_t end = packet.sequence + packet.payloadBytes;
    if (packet.payloadBytes > 0 && isAfter(end, state->nextSequence)) {
        progress.hasNewData = true;
        progress.isContiguous = packet.sequence == state->nextSequence;
        state->nextSequence = end;
        countRequest(*state, now);
        target.lastRequest = now;
        setRequestPending(*state, true);
    } else if (packet.payloadBytes > 0 && observation == FlowObservation::None) {
        observation = FlowObservation::Retransmitted;
    }
    progress.isRetransmission = packet.payloadBytes > 0 && !progress.hasNewData;
    progress.isEnd = packet.fin || packet.rst;
    if (m_samples)
        measure(packet, progress, *state, now);
    if (progress.isEnd)
        close(*state);
    return observation;
}

void FlowTable::measure(const FlowPacket& packet, RequestProgress progress, FlowState& state, TimePoint now)
{
    if (!isCounted(state))
        return;
    PooledTarget& target = *state.target;
    m_samples->observe(state.measurement, progress, describe(packet.flow, target, now), target.capacity, now);
    if (target.capacity.hasOwnEvidenceSince(now))
        target.capacity.refresh(target.slots, now);
}

void FlowTable::examineRequests(TimePoint now)
{
    for (const auto& [id, state] : m_flows) {
        if (state.requestPending && isCounted(state))
            m_samples->examine(state.measurement, describe(id, *state.target, now), state.target->capacity, now);
    }
}

std::vector<std::pair<FlowId, std::uint32_t>> FlowTable::closePending(
    const PooledTarget& target, const std::function<bool(const FlowId&)>& matches)
{
    std::vector<std::pair<FlowId, std::uint32_t>> closed;
    for (auto& [id, state] : m_flows) {
        if (state.target != &target || !state.established || !state.requestPending || state.closed || !matches(id))
            continue;
        closed.emplace_back(id, state.acknowledged);
        close(state);
    }
    return closed;
}

void FlowTable::expire(Duration idleTimeout, Duration maxAge, TimePoint now)
{
    if (m_samples)
        examineRequests(now);
    for (auto item = m_flows.begin(); item != m_flows.end();) {
        FlowState& state = item->second;
        const Duration idleTime = now - state.lastSeen;
        if (state.requestPending && idleTime >= requestTimeout)
            setRequestPending(state, false);
        const bool ended = state.closed && idleTime >= closedFlowTimeout;
        const bool neverEstablished = !state.established && idleTime >= closedFlowTimeout;
        if (!ended && !neverEstablished && idleTime < std::min(idleTimeout, inactiveFlowTimeout)
            && now - state.opened < maxAge) {
            ++item;
            continue;
        }
        close(state);
        item = m_flows.erase(item);
    }
}

}
