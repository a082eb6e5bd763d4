/// @file
/// Target selection by the effective owner of a bucket, and by a host without quorum.

#include "steering/packet_path.h"

namespace bergamotroute {

namespace {

    /// A first packet is sent to the target of an earlier flow with the same 5-tuple if that flow was seen within this
    /// time.
    constexpr Duration affinityTime { 60'000 };
    /// A host that was not heard for this long may be dead, so no first packets are relayed to it.
    constexpr Duration backupTimeout { 1'000 };
    /// An isolated host, which hears no majority, waits this long before it selects targets without quorum. A shorter
    /// loss of messages must not make two hosts select different targets for one flow.
    constexpr Duration isolationDelay { 3'000 };
    /// An isolated host forwards packets of unknown flows that are not first packets to the base target only after this
    /// long without a majority; then the flow counts as one that was opened under the table.
    constexpr Duration longIsolation { 10'000 };
    /// When a bucket has lost its owner and its backup, the new owner drops packets of unknown flows for at most this
    /// long while it collects entries from the other hosts. A caller repeats such a packet several times in that time.
    constexpr Duration maxCollectionTime { 5'000 };

}

ResultCode PacketPath::decide(const SteeredPacket& packet, const ServiceTable& table, TimePoint now)
{
    if (!packet.isUdp() && table.owners[packet.bucket].owner == m_state.self())
        m_state.prober.handlePacket(packet.flow, *packet.view, now);
    if (FlowEntry* entry = findUsable(packet, now))
        return decideRecorded(packet, table, *entry, now);
    // A recent record shows that the flow belongs to its recorded target even if this host does not know that target
    // yet, so the packet must not go to the base target.
    const FlowEntry* record = m_state.cache.find(packet.flow, packet.serviceIndex);
    const bool isUnknownTarget = record != nullptr && m_state.targets.find(record->target) == nullptr;
    if (isUnknownTarget && record->has(FlowRecorded) && isFresh(*record, affinityTime, now))
        return drop(ResultCode::TargetRemoved);
    return decideNew(packet, table, now);
}

ResultCode PacketPath::decideRecorded(
    const SteeredPacket& packet, const ServiceTable& table, FlowEntry& entry, TimePoint now)
{
    const TargetId target = entry.target;
    const bool isAuthoritative = entry.has(FlowRecorded) || entry.has(FlowDivergent);
    const bool isOpen = isAuthoritative && entry.has(FlowEstablished) && !entry.has(FlowClosing);
    if (packet.isFirst() && !isOpen && !isFresh(entry, affinityTime, now)) {
        m_state.cache.erase(packet.flow);
        return decideNew(packet, table, now);
    }
    const bool wasClosing = entry.has(FlowClosing);
    updateFlowState(entry, packet, now);
    // The backup must see the end of a flow, and repeated first packets because it may have missed the earlier ones.
    const bool informsBackup = entry.has(FlowRecorded)
        && ((packet.isFirst() && !entry.has(FlowEstablished)) || (entry.has(FlowClosing) && !wasClosing));
    if (informsBackup)
        return sendThroughBackup(packet, table, target, now);
    if (packet.from != noHost && !packet.isFirst() && !packet.isUdp())
        m_hints.add(packet.from, packet.flow, packet.serviceIndex, target);
    return forward(packet, target, now);
}

ResultCode PacketPath::decideNew(const SteeredPacket& packet, const ServiceTable& table, TimePoint now)
{
    const Bucket& bucket = table.table.buckets[packet.bucket];
    const bool isActiveMove = bucket.moved && table.isActive(packet.bucket);
    const bool isNewFlow = packet.isFirst() || (packet.isUdp() && (isActiveMove || table.table.limited));
    if (!packet.isFirst() && bucket.moved && isCollecting(table, packet.bucket, now))
        return drop(ResultCode::NotReady);
    if (!isNewFlow)
        return forwardToBase(packet, table, now);
    const AdmissionVerdict verdict = admit(packet, table, now);
    if (verdict == AdmissionVerdict::Refuse)
        return refuse(packet);
    if (verdict == AdmissionVerdict::Drop)
        return drop(ResultCode::FlowLimitReached);
    if (!bucket.moved)
        return handleSettled(packet, bucket.base, now);
    return recordNew(packet, table, isActiveMove ? bucket.current : bucket.base, now);
}

bool PacketPath::isCollecting(const ServiceTable& table, std::uint32_t bucket, TimePoint now) const
{
    return m_state.areHoldersLost(table, bucket) && now - m_state.viewChangingSince < maxCollectionTime;
}

ResultCode PacketPath::forwardToBase(const SteeredPacket& packet, const ServiceTable& table, TimePoint now)
{
    const Bucket& bucket = table.table.buckets[packet.bucket];
    if (bucket.base == noTarget)
        return drop(ResultCode::NotReady);
    // Until the move is active, an unknown UDP packet may open a flow, which must stay on the base target afterwards.
    if (packet.isUdp() && bucket.moved)
        m_state.storeRecord(packet.flow, packet.serviceIndex, bucket.base, 0, now);
    cacheFlow(packet, bucket.base, now);
    if (packet.from != noHost && !packet.isUdp())
        m_hints.add(packet.from, packet.flow, packet.serviceIndex, bucket.base);
    return forward(packet, bucket.base, now);
}

ResultCode PacketPath::recordNew(const SteeredPacket& packet, const ServiceTable& table, TargetId target, TimePoint now)
{
    if (target == noTarget)
        return drop(ResultCode::NotReady);
    FlowEntry* entry = m_state.storeRecord(packet.flow, packet.serviceIndex, target, 0, now);
    if (entry == nullptr)
        return drop(ResultCode::FlowLimitReached);
    updateFlowState(*entry, packet, now);
    m_state.admission.countOpened(table.table.service, now);
    m_transfer.addNewRecord(*entry);
    return sendThroughBackup(packet, table, target, now);
}

HostIndex PacketPath::backupFor(const SteeredPacket& packet, const ServiceTable& table, TimePoint now) const
{
    const BucketOwners& owners = table.owners[packet.bucket];
    // A previous owner relays new flows to the new owner, which relays them to the backup.
    const HostIndex next = owners.owner != m_state.self() ? owners.owner : owners.backup;
    const bool isUsable
        = next != noHost && next != m_state.self() && m_state.membership.heardWithin(next, backupTimeout, now);
    return isUsable ? next : noHost;
}

ResultCode PacketPath::sendThroughBackup(
    const SteeredPacket& packet, const ServiceTable& table, TargetId target, TimePoint now)
{
    const HostIndex backup = backupFor(packet, table, now);
    if (backup == noHost)
        return forward(packet, target, now);
    return relay(packet, backup, RelayKind::RecordAndForward, target);
}

ResultCode PacketPath::handleWithoutQuorum(const SteeredPacket& packet, TimePoint now)
{
    if (FlowEntry* entry = findUsable(packet, now)) {
        const bool isAuthoritative = entry->has(FlowRecorded) || entry->has(FlowDivergent);
        // An entry that is not authoritative may come from an old table and is used only while it is fresh. It is not
        // used for first packets, because they may open a new connection with the same 5-tuple.
        if (!packet.isFirst() || isAuthoritative) {
            const TargetId target = entry->target;
            updateFlowState(*entry, packet, now);
            return forward(packet, target, now);
        }
    }
    const HostIndex peer = readyPeerFor(packet, now);
    if (peer != noHost)
        return relay(packet, peer, RelayKind::NotReady);
    const HostIndex effectiveOwner = selectIsolatedOwner(packet, now);
    if (effectiveOwner != m_state.self() && effectiveOwner != noHost)
        return relay(packet, effectiveOwner, RelayKind::NotReady);
    return decideIsolated(packet, now);
}

HostIndex PacketPath::readyPeerFor(const SteeredPacket& packet, TimePoint now) const
{
    // If this host hears a majority, some ready host has quorum and can select the target. If it hears none, the hosts
    // that it can reach have no quorum either.
    if (!m_state.membership.hearsMajority(now))
        return noHost;
    HostMask candidates = 0;
    for (HostIndex host = 0; host < static_cast<HostIndex>(m_state.options.peers.size()); ++host) {
        const bool isUsable = host != m_state.self() && m_state.membership.state(host) == schema::MEMBER_READY
            && m_state.membership.heardWithin(host, m_state.options.deadAfter, now);
        candidates |= isUsable ? hostBit(host) : 0;
    }
    return m_state.ownership.rank(candidates, m_state.services.info(packet.serviceIndex).id, packet.bucket).owner;
}

HostIndex PacketPath::selectIsolatedOwner(const SteeredPacket& packet, TimePoint now) const
{
    HostMask candidates = hostBit(m_state.self());
    for (HostIndex host = 0; host < static_cast<HostIndex>(m_state.options.peers.size()); ++host) {
        const bool isLocalPeer = m_state.options.peers[host].dataCentre == m_state.options.dataCentre
            && m_state.membership.heardWithin(host, m_state.options.deadAfter, now);
        candidates |= isLocalPeer ? hostBit(host) : 0;
    }
    return m_state.ownership.rank(candidates, m_state.services.info(packet.serviceIndex).id, packet.bucket).owner;
}

ResultCode PacketPath::decideIsolated(const SteeredPacket& packet, TimePoint now)
{
    if (FlowEntry* entry = findUsable(packet, now)) {
        const TargetId target = entry->target;
        updateFlowState(*entry, packet, now);
        return forward(packet, target, now);
    }
    const bool isIsolated = m_state.isolatedSince != TimePoint::max() && now - m_state.isolatedSince >= isolationDelay;
    if (!isIsolated)
        return drop(ResultCode::QuorumLost);
    const ServiceTable* table = m_state.tableOf(packet.serviceIndex);
    const bool isNewFlow = packet.isFirst() || (packet.isUdp() && table == nullptr);
    if (!isNewFlow) {
        const bool mayUseBase = table != nullptr && now - m_state.isolatedSince >= longIsolation;
        const TargetInfo* base = mayUseBase ? m_state.targets.find(table->table.buckets[packet.bucket].base) : nullptr;
        if (base == nullptr || base->dataCentre != m_state.options.dataCentre)
            return drop(ResultCode::QuorumLost);
        return forward(packet, base->id, now);
    }
    const TargetId target = m_state.targets.selectLocal(m_state.services.info(packet.serviceIndex).id, packet.flow);
    if (target == noTarget)
        return drop(ResultCode::QuorumLost);
    FlowEntry* entry = m_state.cache.insert(packet.flow, packet.serviceIndex, target, flowTick(now));
    if (entry == nullptr)
        return drop(ResultCode::FlowLimitReached);
    entry->set(FlowDivergent);
    m_state.cache.setPinned(*entry, true);
    updateFlowState(*entry, packet, now);
    ++m_state.counters.divergent;
    return forward(packet, target, now);
}

}
