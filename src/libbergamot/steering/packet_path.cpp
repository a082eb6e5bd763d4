#include "steering/packet_path.h"

#include "bergamotroute/packet_builder.h"

namespace bergamotroute {

namespace {

    /// A cached entry that is not authoritative is used for this long after the last packet of its flow. A caller's
    /// network stack does not reuse a 5-tuple sooner.
    constexpr Duration cacheFreshness { 30'000 };
    /// A flow to a target that is gone counts as ended when it was idle for this long.
    constexpr Duration goneTargetIdleTime { 60'000 };
    /// A host that was not heard for this long may be dead, so no packets are relayed to it as backup.
    constexpr Duration backupTimeout { 1'000 };
    /// Fraction of the cache that pinned entries may fill before new flows that need a pinned record are refused.
    constexpr std::uint64_t pinnedShareNumerator = 3;
    constexpr std::uint64_t pinnedShareDenominator = 4;
    /// When pinned entries have filled their fraction of the cache, first packets are dropped silently for this long
    /// before they are refused. After this time, no host can still hold an earlier copy of a refused first packet.
    constexpr Duration silentDropTime { 3'000 };

}

PacketPath::PacketPath(SteeringState& state, RecordTransfer& transfer, HintQueue& hints)
    : m_state(state)
    , m_transfer(transfer)
    , m_hints(hints)
{
}

ResultCode PacketPath::drop(ResultCode reason)
{
    ++m_state.counters.dropped;
    return reason;
}

ResultCode PacketPath::relay(const SteeredPacket& packet, HostIndex peer, RelayKind kind, TargetId target)
{
    ++m_state.counters.relayed;
    m_state.sink.relayPacket(peer, kind, target, packet.bytes);
    return ResultCode::Ok;
}

ResultCode PacketPath::forward(const SteeredPacket& packet, TargetId target, TimePoint now)
{
    const TargetInfo* info = m_state.targets.find(target);
    return info == nullptr ? drop(ResultCode::TargetRemoved) : forwardTo(packet, *info, now);
}

ResultCode PacketPath::forwardTo(const SteeredPacket& packet, const TargetInfo& target, TimePoint now)
{
    // A packet must never reach a target of another service, even if a cached entry or a relaying host names one.
    if (target.service != m_state.services.info(packet.serviceIndex).id)
        return drop(ResultCode::PacketUnknownService);
    ++m_state.counters.forwarded;
    if (packet.isFirst()) {
        ++m_state.counters.firstPackets;
        m_state.targets.countFirstPacket(target.id, now);
    }
    m_state.sink.forwardPacket(target.endpoint, packet.bytes);
    return ResultCode::Ok;
}

bool PacketPath::isFresh(const FlowEntry& entry, Duration limit, TimePoint now) const
{
    constexpr std::int64_t tickMs = 100;
    return std::int64_t { flowTick(now) - entry.lastSeen } * tickMs <= limit.count();
}

FlowEntry* PacketPath::findUsable(const SteeredPacket& packet, TimePoint now, const TargetInfo** found)
{
    FlowEntry* entry = m_state.cache.find(packet.flow, packet.serviceIndex);
    if (entry == nullptr)
        return nullptr;
    const TargetInfo* target = m_state.targets.find(entry->target);
    const ServiceInfo& service = m_state.services.info(packet.serviceIndex);
    const bool udpEnded = packet.isUdp() && !isFresh(*entry, service.udpIdle, now);
    // Flows that are still active on a target that is gone, for example because its announcements were lost, stay on
    // it.
    const bool targetEnded = target != nullptr && target->gone && !isFresh(*entry, goneTargetIdleTime, now);
    if (targetEnded || udpEnded) {
        m_state.cache.erase(packet.flow);
        return nullptr;
    }
    if (target == nullptr)
        return nullptr;
    if (found != nullptr)
        *found = target;
    const bool isAuthoritative = entry->has(FlowRecorded) || entry->has(FlowDivergent);
    return isAuthoritative || isFresh(*entry, cacheFreshness, now) ? entry : nullptr;
}

void PacketPath::updateFlowState(FlowEntry& entry, const SteeredPacket& packet, TimePoint now)
{
    entry.lastSeen = flowTick(now);
    if (!packet.isFirst())
        entry.set(FlowEstablished);
    if (!packet.endsFlow() || entry.has(FlowClosing))
        return;
    entry.set(FlowClosing);
    m_state.admission.countEnded(m_state.services.info(packet.serviceIndex).id, now);
    m_state.prober.forget(packet.flow);
}

FlowEntry* PacketPath::cacheFlow(const SteeredPacket& packet, TargetId target, TimePoint now)
{
    FlowEntry* entry = m_state.cache.find(packet.flow, packet.serviceIndex);
    if (entry == nullptr || entry->target != target)
        entry = m_state.cache.insert(packet.flow, packet.serviceIndex, target, flowTick(now));
    if (entry != nullptr)
        updateFlowState(*entry, packet, now);
    return entry;
}

bool PacketPath::mayForwardDirectly(const ServiceTable& table, std::uint32_t bucket, TimePoint now) const
{
    const HostIndex effectiveOwner = m_state.effectiveOwner(table, bucket);
    if (effectiveOwner == m_state.self())
        return true;
    if (effectiveOwner == noHost)
        return false;
    // The effective owner may have activated a newer table without waiting for hosts that lost their lease, so an older
    // table must not be used.
    const bool isCurrent = table.hosts[effectiveOwner].advertised <= table.table.version;
    return isCurrent && m_state.membership.peer(effectiveOwner).ownerLeaseUntil > now;
}

ResultCode PacketPath::handleFabricPacket(const SteeredPacket& packet, TimePoint now)
{
    ServiceTable* table = m_state.tableOf(packet.serviceIndex);
    if (table == nullptr || !m_state.hasQuorum(now))
        return handleWithoutQuorum(packet, now);
    const Bucket& bucket = table->table.buckets[packet.bucket];
    if (mayBeProbeAnswer(packet, now)) {
        if (FlowEntry* entry = m_state.cache.find(packet.flow, packet.serviceIndex))
            entry->set(FlowEstablished);
        return sendToOwner(packet, *table, now);
    }
    const TargetInfo* target = nullptr;
    if (FlowEntry* entry = findUsable(packet, now, &target)) {
        const bool endsLimitedFlow = packet.endsFlow() && m_state.services.info(packet.serviceIndex).limitsOpenFlows;
        const bool ownerDecides = bucket.moved && (packet.isFirst() || packet.isUdp() || packet.endsFlow());
        return handleCached(packet, *table, *entry, *target, ownerDecides || endsLimitedFlow, now);
    }
    const bool ownerAdmits = table->table.limited && (packet.isFirst() || packet.isUdp());
    if (bucket.moved || ownerAdmits || !mayForwardDirectly(*table, packet.bucket, now))
        return sendToOwner(packet, *table, now);
    return handleSettled(packet, bucket.base, now);
}

ResultCode PacketPath::handleCached(const SteeredPacket& packet, const ServiceTable& table, FlowEntry& entry,
    const TargetInfo& target, bool needsOwner, TimePoint now)
{
    if (needsOwner)
        return sendToOwner(packet, table, now);
    // A first packet in a settled bucket may open a new connection, which must not follow an outdated entry.
    const TargetId base = table.table.buckets[packet.bucket].base;
    if (packet.isFirst() && entry.target != base && !entry.has(FlowRecorded) && !entry.has(FlowDivergent))
        return sendToOwner(packet, table, now);
    updateFlowState(entry, packet, now);
    if (!packet.isUdp() && table.owners[packet.bucket].owner == m_state.self())
        m_state.prober.handlePacket(packet.flow, *packet.view, now);
    return forwardTo(packet, target, now);
}

bool PacketPath::mayBeProbeAnswer(const SteeredPacket& packet, TimePoint now) const
{
    const bool isPureAck = packet.view->tcpFlags == TcpAck && packet.view->payload.empty();
    if (!isPureAck)
        return false;
    const FlowEntry* entry = m_state.cache.find(packet.flow, packet.serviceIndex);
    // The end of a handshake goes to the owner too. Otherwise the owner would never probe a flow whose first packet and
    // handshake both arrived at one other host and that then goes silent.
    return entry == nullptr || !entry->has(FlowEstablished)
        || !isFresh(*entry, m_state.services.info(packet.serviceIndex).probeIdle / 2, now);
}

ResultCode PacketPath::handleSettled(const SteeredPacket& packet, TargetId base, TimePoint now)
{
    if (base == noTarget)
        return drop(ResultCode::NotReady);
    const bool isKnown = m_state.cache.find(packet.flow, packet.serviceIndex) != nullptr;
    cacheFlow(packet, base, now);
    if (packet.isFirst())
        m_state.recent.add({ packet.flow, base, packet.serviceIndex, now });
    if (!packet.isUdp() && m_state.tables[packet.serviceIndex].owners[packet.bucket].owner == m_state.self())
        m_state.prober.handlePacket(packet.flow, *packet.view, now);
    if (!isKnown && (packet.isFirst() || packet.isUdp()))
        m_state.admission.countOpened(m_state.services.info(packet.serviceIndex).id, now);
    return forward(packet, base, now);
}

ResultCode PacketPath::sendToOwner(const SteeredPacket& packet, const ServiceTable& table, TimePoint now)
{
    const HostIndex effectiveOwner = m_state.effectiveOwner(table, packet.bucket);
    if (effectiveOwner == m_state.self())
        return decide(packet, m_state.tables[packet.serviceIndex], now);
    if (effectiveOwner == noHost)
        return drop(ResultCode::NotReady);
    return relay(packet, effectiveOwner, RelayKind::ToOwner);
}

ResultCode PacketPath::handleRelayedPacket(const SteeredPacket& packet, TargetId target, TimePoint now)
{
    if (packet.kind == RelayKind::RecordAndForward)
        return recordAndForward(packet, target, now);
    if (packet.kind == RelayKind::NotReady) {
        if (m_state.hasQuorum(now) && m_state.tableOf(packet.serviceIndex) != nullptr)
            return handleFabricPacket(packet, now);
        return decideIsolated(packet, now);
    }
    return handleToOwner(packet, now);
}

ResultCode PacketPath::handleToOwner(const SteeredPacket& packet, TimePoint now)
{
    ServiceTable* table = m_state.tableOf(packet.serviceIndex);
    if (table == nullptr || !m_state.hasQuorum(now))
        return forwardRecorded(packet, now);
    const HostIndex effectiveOwner = m_state.effectiveOwner(*table, packet.bucket);
    // The new owner asks this host as the previous owner. This host may know less of the new view than the new owner.
    const bool isFromEffectiveOwner = packet.kind == RelayKind::ToPreviousOwner && packet.from == effectiveOwner;
    if (effectiveOwner == m_state.self() || isFromEffectiveOwner)
        return decide(packet, *table, now);
    // A packet is relayed one more hop at most, so that hosts with different views never relay it in a loop.
    if (packet.kind == RelayKind::ToPreviousOwner || effectiveOwner == noHost || effectiveOwner == packet.from)
        return forwardRecorded(packet, now);
    if (const FlowEntry* entry = findUsable(packet, now);
        entry != nullptr && entry->has(FlowRecorded) && !packet.isFirst())
        return forwardRecorded(packet, now);
    return relay(packet, effectiveOwner, RelayKind::ToPreviousOwner);
}

ResultCode PacketPath::forwardRecorded(const SteeredPacket& packet, TimePoint now)
{
    FlowEntry* entry = findUsable(packet, now);
    if (entry == nullptr || !entry->has(FlowRecorded) || packet.isFirst())
        return drop(ResultCode::NotReady);
    updateFlowState(*entry, packet, now);
    return forward(packet, entry->target, now);
}

ResultCode PacketPath::recordAndForward(const SteeredPacket& packet, TargetId target, TimePoint now)
{
    const TargetInfo* info = m_state.targets.find(target);
    if (info == nullptr || info->service != m_state.services.info(packet.serviceIndex).id)
        return drop(ResultCode::TargetRemoved);
    const FlowEntry* known = m_state.cache.find(packet.flow, packet.serviceIndex);
    const bool isKnown = known != nullptr && known->target == target && known->has(FlowRecorded);
    FlowEntry* entry = m_state.storeRecord(packet.flow, packet.serviceIndex, target, 0, now);
    if (entry != nullptr)
        updateFlowState(*entry, packet, now);
    const ServiceTable* table = m_state.tableOf(packet.serviceIndex);
    // The previous owner relays new flows to the new owner, which relays them to the backup. A known record is not
    // relayed again, so that two hosts that each consider the other the previous owner do not relay a packet forever.
    const bool isOwner = table != nullptr && table->owners[packet.bucket].owner == m_state.self();
    if (isOwner && !isKnown) {
        const HostIndex backup = table->owners[packet.bucket].backup;
        const bool isUsable
            = backup != noHost && backup != packet.from && m_state.membership.heardWithin(backup, backupTimeout, now);
        if (isUsable)
            return relay(packet, backup, RelayKind::RecordAndForward, target);
    }
    return forward(packet, target, now);
}

ResultCode PacketPath::refuse(const SteeredPacket& packet)
{
    ++m_state.counters.refused;
    if (packet.isUdp())
        return ResultCode::FlowRefused;
    const FlowKey& flow = packet.view->flow;
    const FlowKey reverse { flow.destination, flow.source, flow.destinationPort, flow.sourcePort, flow.protocol };
    const TcpFields fields { .flags = TcpRst | TcpAck, .acknowledgement = packet.view->sequence + 1, .window = 0 };
    m_state.sink.sendToCaller(buildTcpPacket(reverse, fields));
    return ResultCode::FlowRefused;
}

AdmissionVerdict PacketPath::pinnedVerdict(TimePoint now)
{
    const std::uint64_t limit = m_state.cache.capacity() * pinnedShareNumerator / pinnedShareDenominator;
    if (m_state.cache.pinned() < limit) {
        m_pinnedLimitSince = TimePoint::max();
        return AdmissionVerdict::Admit;
    }
    if (m_pinnedLimitSince == TimePoint::max())
        m_pinnedLimitSince = now;
    return now - m_pinnedLimitSince < silentDropTime ? AdmissionVerdict::Drop : AdmissionVerdict::Refuse;
}

AdmissionVerdict PacketPath::admit(const SteeredPacket& packet, const ServiceTable& table, TimePoint now)
{
    const Bucket& bucket = table.table.buckets[packet.bucket];
    if (bucket.moved && bucket.base != bucket.current) {
        const AdmissionVerdict verdict = pinnedVerdict(now);
        if (verdict != AdmissionVerdict::Admit)
            return verdict;
    }
    if (!table.table.limited)
        return AdmissionVerdict::Admit;
    const AdmissionVerdict verdict = m_state.admission.admit(table.table.service, now);
    // Until the limited flag is in force on all hosts, another host may have forwarded an earlier copy of this packet.
    const bool inForce = table.activeVersion >= table.limitedSince;
    return verdict == AdmissionVerdict::Refuse && !inForce ? AdmissionVerdict::Drop : verdict;
}

}
