#include "steering/record_transfer.h"

namespace bergamotroute {

namespace {

    /// 30 records of about 30 bytes fit into a datagram that no network fragments.
    constexpr std::size_t recordsPerMessage = 30;
    constexpr Duration retransmitInterval { 400 };
    /// Cached entries of other hosts than owner and backup are trusted for this long after the last packet of their
    /// flow.
    constexpr FlowTick survivingEntryTicks = 300;
    /// Chunk numbers start at the low bits of the incarnation, so that a late acknowledgement to an earlier incarnation
    /// does not match.
    constexpr std::uint32_t chunkMask = 0xffff;

}

RecordTransfer::RecordTransfer(SteeringState& state, TimePoint)
    : m_state(state)
    , m_streams(state.options.peers.size())
    , m_finished(state.options.peers.size())
{
    for (Stream& stream : m_streams)
        stream.chunk = static_cast<std::uint32_t>(state.options.incarnation) & chunkMask;
}

bool RecordTransfer::shouldTransfer(const FlowEntry& entry) const { return entry.has(FlowRecorded); }

void RecordTransfer::enqueue(HostIndex host, const FlowEntry& entry)
{
    if (host != noHost && host != m_state.self())
        m_streams[host].queue.push_back({ entry.flow, entry.service, 0 });
}

void RecordTransfer::addNewRecord(const FlowEntry& entry)
{
    if (m_joining == 0)
        return;
    const std::uint32_t bucket = bucketOf(entry.flow, m_state.bucketCount());
    const ServiceId service = m_state.services.info(entry.service).id;
    for (HostIndex host = 0; host < static_cast<HostIndex>(m_streams.size()); ++host) {
        if ((m_joining & hostBit(host)) == 0)
            continue;
        const HostMask prospective = m_state.membership.readyHosts() | hostBit(host);
        const BucketOwners owners = m_state.ownership.rank(prospective, service, bucket);
        if (owners.owner == host || owners.backup == host)
            enqueue(host, entry);
    }
}

void RecordTransfer::startJoin(HostIndex host)
{
    m_joining |= hostBit(host);
    const HostMask prospective = m_state.membership.readyHosts() | hostBit(host);
    m_state.cache.forEach([&](const FlowEntry& entry) {
        const ServiceTable* table = m_state.tableOf(entry.service);
        if (!shouldTransfer(entry) || table == nullptr)
            return;
        const std::uint32_t bucket = bucketOf(entry.flow, m_state.bucketCount());
        if (m_state.effectiveOwner(*table, bucket) != m_state.self())
            return;
        const BucketOwners owners = m_state.ownership.rank(prospective, table->table.service, bucket);
        if (owners.owner == host || owners.backup == host)
            enqueue(host, entry);
    });
    m_streams[host].queue.push_back({ 0, 0, prospective });
}

void RecordTransfer::sendEntriesOfLostHolders(TimePoint now)
{
    m_state.cache.forEach([&](FlowEntry& entry) {
        const ServiceTable* table = m_state.tableOf(entry.service);
        const bool isUsable = !entry.has(FlowDivergent) && !entry.has(FlowClosing)
            && flowTick(now) - entry.lastSeen <= survivingEntryTicks;
        if (table == nullptr || !isUsable)
            return;
        const std::uint32_t bucket = bucketOf(entry.flow, m_state.bucketCount());
        const bool isNeeded = entry.target != table->table.buckets[bucket].base;
        if (!isNeeded || !m_state.areHoldersLost(*table, bucket))
            return;
        const BucketOwners& owners = table->owners[bucket];
        if (owners.owner == m_state.self() || owners.backup == m_state.self()) {
            entry.set(FlowRecorded);
            m_state.cache.setPinned(entry, m_state.mustPin(entry));
        }
        enqueue(owners.owner, entry);
        enqueue(owners.backup, entry);
    });
}

void RecordTransfer::handleViewChange(
    const std::vector<std::vector<BucketOwners>>& previous, HostMask readyBefore, TimePoint now)
{
    const HostMask ready = m_state.membership.readyHosts();
    // A host that has just become ready received its records while it was joining.
    const HostMask synchronized = m_joining & ready & ~readyBefore;
    m_joining &= ~ready;
    m_state.cache.forEach([&](const FlowEntry& entry) {
        const ServiceTable* table = m_state.tableOf(entry.service);
        const bool hasPrevious = entry.service < previous.size() && !previous[entry.service].empty();
        if (!shouldTransfer(entry) || table == nullptr || !hasPrevious)
            return;
        const std::uint32_t bucket = bucketOf(entry.flow, m_state.bucketCount());
        const BucketOwners& before = previous[entry.service][bucket];
        const BucketOwners& after = table->owners[bucket];
        const bool holdsRecords
            = before.owner == m_state.self() || (before.backup == m_state.self() && after.owner == m_state.self());
        if (!holdsRecords)
            return;
        for (const HostIndex host : { after.owner, after.backup }) {
            const bool isNew = host != before.owner && host != before.backup && host != noHost;
            if (isNew && (synchronized & hostBit(host)) == 0)
                enqueue(host, entry);
        }
    });
    sendEntriesOfLostHolders(now);
    for (HostIndex host = 0; host < static_cast<HostIndex>(m_streams.size()); ++host) {
        if (host != m_state.self() && (ready & hostBit(host)) != 0)
            m_streams[host].queue.push_back({ 0, 0, ready });
    }
}

void RecordTransfer::handOverDivergent()
{
    m_state.cache.forEach([&](FlowEntry& entry) {
        const ServiceTable* table = m_state.tableOf(entry.service);
        if (!entry.has(FlowDivergent) || table == nullptr)
            return;
        const HostIndex owner = m_state.effectiveOwner(*table, bucketOf(entry.flow, m_state.bucketCount()));
        entry.clear(FlowDivergent);
        entry.set(FlowRecorded);
        m_state.cache.setPinned(entry, m_state.mustPin(entry));
        enqueue(owner, entry);
    });
}

void RecordTransfer::prepareNextMessage(Stream& stream)
{
    schema::PeerMessage message;
    schema::FlowRecords& records = *message.mutable_flow_records();
    while (!stream.queue.empty() && static_cast<std::size_t>(records.records_size()) < recordsPerMessage) {
        const Item item = stream.queue.front();
        stream.queue.pop_front();
        if (item.view != 0) {
            records.set_last_chunk(true);
            records.set_view_epoch(item.view);
            break;
        }
        const FlowEntry* entry = m_state.cache.find(item.flow, item.serviceIndex);
        if (entry == nullptr)
            continue;
        schema::FlowRecord& record = *records.add_records();
        record.set_flow(entry->flow);
        record.set_target(entry->target);
        record.set_service_id(m_state.services.info(entry->service).id);
        record.set_established(entry->has(FlowEstablished));
        record.set_closing(entry->has(FlowClosing));
    }
    if (records.records_size() == 0 && !records.last_chunk())
        return;
    records.set_chunk(++stream.chunk);
    stream.inFlight = std::move(message);
    stream.sentAt = TimePoint::min();
}

void RecordTransfer::advance(TimePoint now)
{
    for (HostIndex host = 0; host < static_cast<HostIndex>(m_streams.size()); ++host) {
        Stream& stream = m_streams[host];
        const schema::MemberState state = m_state.membership.state(host);
        if (state == schema::DEAD || state == schema::LEFT) {
            stream.queue.clear();
            stream.inFlight.reset();
            m_joining &= ~hostBit(host);
            continue;
        }
        if (!stream.inFlight && !stream.queue.empty())
            prepareNextMessage(stream);
        const bool isDue
            = stream.inFlight && (stream.sentAt == TimePoint::min() || now - stream.sentAt >= retransmitInterval);
        if (isDue && m_state.sender.trySend(host, *stream.inFlight, now))
            stream.sentAt = now;
    }
}

bool RecordTransfer::isIdle() const
{
    for (const Stream& stream : m_streams) {
        if (stream.inFlight || !stream.queue.empty())
            return false;
    }
    return true;
}

void RecordTransfer::handleAcknowledgement(HostIndex from, const schema::FlowRecordsAcknowledgement& acknowledgement)
{
    Stream& stream = m_streams[from];
    if (!stream.inFlight || stream.inFlight->flow_records().chunk() != acknowledgement.chunk())
        return;
    stream.inFlight.reset();
    if (!stream.queue.empty())
        prepareNextMessage(stream);
}

void RecordTransfer::storeHint(const schema::FlowRecord& record, ServiceIndex serviceIndex, TimePoint now)
{
    const FlowEntry* known = m_state.cache.find(record.flow(), serviceIndex);
    if (known != nullptr && (known->has(FlowRecorded) || known->has(FlowDivergent)))
        return;
    FlowEntry* entry = m_state.cache.insert(record.flow(), serviceIndex, record.target(), flowTick(now));
    if (entry != nullptr)
        entry->set(FlowEstablished);
}

void RecordTransfer::storeTransferred(const schema::FlowRecord& record, ServiceIndex serviceIndex, TimePoint now)
{
    const ServiceTable* table = m_state.tableOf(serviceIndex);
    const std::uint32_t bucket = bucketOf(record.flow(), m_state.bucketCount());
    const bool isEffectiveOwner = table != nullptr && m_state.effectiveOwner(*table, bucket) == m_state.self();
    const FlowEntry* known = m_state.cache.find(record.flow(), serviceIndex);
    // A record that the effective owner stored itself is newer than one that another host transfers.
    if (isEffectiveOwner && known != nullptr && known->has(FlowRecorded))
        return;
    const unsigned flags = (record.established() ? FlowEstablished : 0) | (record.closing() ? FlowClosing : 0);
    m_state.storeRecord(record.flow(), serviceIndex, record.target(), static_cast<std::uint8_t>(flags), now);
}

void RecordTransfer::handleRecords(HostIndex from, const schema::FlowRecords& records, TimePoint now)
{
    for (const schema::FlowRecord& record : records.records()) {
        const ServiceIndex serviceIndex = m_state.services.findById(record.service_id());
        if (serviceIndex == noService || record.flow() == 0)
            continue;
        if (records.hint())
            storeHint(record, serviceIndex, now);
        else
            storeTransferred(record, serviceIndex, now);
    }
    if (records.last_chunk())
        m_finished[from] = records.view_epoch();
    if (records.chunk() == 0)
        return;
    schema::PeerMessage answer;
    answer.mutable_flow_records_acknowledgement()->set_chunk(records.chunk());
    m_state.sender.sendUrgent(from, answer, now);
}

}
