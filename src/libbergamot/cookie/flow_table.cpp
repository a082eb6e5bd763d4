#include "cookie/flow_table.h"

#include <algorithm>

namespace bergamotroute {

namespace {

    /// Time for which a closed flow is kept for its last packets.
    constexpr Duration closedLifetime { 2000 };
    /// A client repeats a packet after 200 and 600 ms. One that sends neither a copy nor an acknowledgement for this
    /// time is served through another host: the fabric moves most flows whenever a host joins or leaves.
    constexpr Duration longestRequest { 1000 };
    /// An open flow without packets for this time no longer counts here, for the same reason.
    constexpr Duration longestQuiet { 5000 };

    /// @return true if a sequence number lies after another one (RFC 9293, section 3.4).
    bool isAfter(std::uint32_t left, std::uint32_t right) { return static_cast<std::int32_t>(left - right) > 0; }

}

FlowRecord* FlowTable::find(const FlowId& flow)
{
    const auto found = m_flows.find(flow);
    return found == m_flows.end() ? nullptr : &found->second;
}

bool FlowTable::isCounted(const FlowRecord& record)
{
    return !record.closed && record.target && record.targetBorn == record.target->bornMs;
}

void FlowTable::setPending(FlowRecord& record, bool pending)
{
    if (record.requestPending == pending)
        return;
    record.requestPending = pending;
    if (!isCounted(record))
        return;
    if (pending)
        ++record.target->own.requests;
    else if (record.target->own.requests > 0)
        --record.target->own.requests;
}

void FlowTable::close(FlowRecord& record)
{
    setPending(record, false);
    if (isCounted(record) && record.target->own.openFlows > 0)
        --record.target->own.openFlows;
    record.closed = true;
}

FlowRecord* FlowTable::place(const FlowId& flow, PooledTarget& target, TimePoint now)
{
    auto found = m_flows.find(flow);
    if (found != m_flows.end())
        close(found->second);
    else if (m_flows.size() >= m_capacity)
        return nullptr;
    FlowRecord& record = found != m_flows.end() ? found->second : m_flows[flow];
    const TimePoint opened = record.target && !record.established ? record.opened : now;
    record = {};
    record.target = &target;
    record.targetBorn = target.bornMs;
    record.opened = opened;
    record.lastSeen = now;
    record.lastPlaced = now;
    ++target.own.openFlows;
    setPending(record, true);
    return &record;
}

FlowEvidence FlowTable::observe(const FlowPacket& packet, PooledTarget& target, TimePoint now)
{
    FlowRecord* record = find(packet.flow);
    const bool isAdopted = !record || record->target != &target;
    if (isAdopted) {
        // The flow was opened through another host, or this host has just started.
        record = place(packet.flow, target, now);
        if (!record)
            return FlowEvidence::None;
        setPending(*record, false);
    }
    record->lastSeen = now;
    FlowEvidence evidence = FlowEvidence::None;
    if (!record->established) {
        record->established = true;
        // The first packet that this host sees of an older flow may be a repeated one.
        if (!isAdopted)
            evidence = FlowEvidence::Answered;
        record->acknowledged = packet.acknowledgement;
        record->nextSequence = packet.sequence;
    } else if (isAfter(packet.acknowledgement, record->acknowledged)) {
        record->acknowledged = packet.acknowledgement;
        setPending(*record, false);
        evidence = FlowEvidence::Answered;
    }
    const std::uint32_t end = packet.sequence + packet.dataBytes;
    if (packet.dataBytes > 0 && isAfter(end, record->nextSequence)) {
        record->nextSequence = end;
        setPending(*record, true);
    } else if (packet.dataBytes > 0 && evidence == FlowEvidence::None) {
        evidence = FlowEvidence::Repeated;
    }
    if (packet.fin || packet.rst)
        close(*record);
    return evidence;
}

void FlowTable::expire(Duration idle, Duration oldest, TimePoint now)
{
    for (auto item = m_flows.begin(); item != m_flows.end();) {
        FlowRecord& record = item->second;
        const Duration quiet = now - record.lastSeen;
        if (record.requestPending && quiet >= longestRequest)
            setPending(record, false);
        const bool ended = record.closed && quiet >= closedLifetime;
        const bool neverOpened = !record.established && quiet >= closedLifetime;
        if (!ended && !neverOpened && quiet < std::min(idle, longestQuiet) && now - record.opened < oldest) {
            ++item;
            continue;
        }
        close(record);
        item = m_flows.erase(item);
    }
}

}
