#include "steering/table_distribution.h"

#include <algorithm>

namespace bergamotroute {

namespace {

    /// A table acknowledgement lists the flows whose first packets this host forwarded within this time before it
    /// applied the table.
    constexpr Duration recentTime { 3'000 };
    constexpr Duration requestInterval { 300 };
    constexpr Duration reportInterval { 1'000 };
    /// 100 flows of 12 bytes fit into a datagram that no network fragments.
    constexpr std::size_t flowsPerChunk = 100;

}

TableDistribution::TableDistribution(SteeringState& state)
    : m_state(state)
{
}

void TableDistribution::handleConfiguration()
{
    const std::size_t known = m_state.tables.size();
    m_state.tables.resize(m_state.services.size());
    for (std::size_t serviceIndex = known; serviceIndex < m_state.tables.size(); ++serviceIndex) {
        ServiceTable& table = m_state.tables[serviceIndex];
        table.hosts.resize(m_state.options.peers.size());
        table.owners.resize(m_state.bucketCount());
        table.stableOwners.resize(m_state.bucketCount());
        table.movedSince.resize(m_state.bucketCount());
        table.reportedClear.resize(m_state.bucketCount());
        table.reportedDivergent.resize(m_state.bucketCount());
        table.table.service = m_state.services.info(static_cast<ServiceIndex>(serviceIndex)).id;
        const HostMask ready = m_state.membership.readyHosts();
        for (std::uint32_t bucket = 0; bucket < m_state.bucketCount(); ++bucket) {
            table.owners[bucket] = m_state.ownership.rank(ready, table.table.service, bucket);
            table.stableOwners[bucket] = table.owners[bucket];
        }
    }
}

void TableDistribution::updatePinned(ServiceIndex serviceIndex)
{
    m_state.cache.forEach([&](FlowEntry& entry) {
        if (entry.service == serviceIndex)
            m_state.cache.setPinned(entry, m_state.mustPin(entry));
    });
}

void TableDistribution::apply(ServiceIndex serviceIndex, BucketTable table, TimePoint now)
{
    m_state.tables[serviceIndex].replace(std::move(table), now);
    updatePinned(serviceIndex);
    // As owner or backup, this host also needs records of the flows whose first packets it forwarded itself.
    for (const RecentFlow& flow : flowsFor(serviceIndex, m_state.self(), now))
        m_state.storeRecord(flow.flow, serviceIndex, flow.target, 0, now);
    if (m_state.isReadyOrLeaving(m_state.self())) {
        for (HostIndex peer = 0; peer < static_cast<HostIndex>(m_state.options.peers.size()); ++peer) {
            if (peer != m_state.self() && m_state.isReadyOrLeaving(peer))
                acknowledge(serviceIndex, peer, now);
        }
    }
    updateActiveVersion(serviceIndex, now);
}

void TableDistribution::handleUpdate(HostIndex from, const schema::TableUpdate& update, TimePoint now)
{
    const ServiceIndex serviceIndex = m_state.services.findById(update.service_id());
    if (serviceIndex == noService || update.version() <= m_state.tables[serviceIndex].table.version)
        return;
    std::optional<BucketTable> table = decodeTable(update, m_state.tables[serviceIndex].table, m_state.bucketCount());
    if (!table) {
        request(from, serviceIndex, now);
        return;
    }
    apply(serviceIndex, std::move(*table), now);
}

bool TableDistribution::holdsBucket(const ServiceTable& table, HostIndex peer, std::uint32_t bucket) const
{
    const BucketOwners& owners = table.owners[bucket];
    return owners.owner == peer || owners.backup == peer || table.stableOwners[bucket].owner == peer;
}

void TableDistribution::addRecentFlows(ServiceIndex serviceIndex, HostIndex peer, std::vector<RecentFlow>& flows) const
{
    const ServiceTable& table = m_state.tables[serviceIndex];
    // Once a service is limited, owners also decide first packets of settled buckets. Without the flows that other
    // hosts forwarded before, an owner would refuse a repeated first packet that a backend server has already seen.
    const bool isNewlyLimited = table.limitedSince > table.activeVersion;
    m_state.recent.forEach(table.appliedAt - recentTime, table.appliedAt, [&](const RecentFlow& flow) {
        const std::uint32_t bucket = bucketOf(flow.flow, m_state.bucketCount());
        const bool ownerDecides = isNewlyLimited || table.table.buckets[bucket].moved;
        if (flow.service == serviceIndex && ownerDecides && holdsBucket(table, peer, bucket))
            flows.push_back(flow);
    });
}

void TableDistribution::addUdpFlows(
    ServiceIndex serviceIndex, HostIndex peer, std::vector<RecentFlow>& flows, TimePoint now)
{
    const ServiceTable& table = m_state.tables[serviceIndex];
    constexpr std::int64_t tickMs = 100;
    const std::int64_t idleTicks = m_state.services.info(serviceIndex).udpIdle.count() / tickMs;
    m_state.cache.forEach([&](const FlowEntry& entry) {
        const bool isLive = entry.service == serviceIndex && flowTick(now) - entry.lastSeen <= idleTicks;
        const std::uint32_t bucket = bucketOf(entry.flow, m_state.bucketCount());
        const bool justMoved = table.table.buckets[bucket].moved && table.movedSince[bucket] > table.activeVersion;
        if (isLive && justMoved && holdsBucket(table, peer, bucket))
            flows.push_back({ entry.flow, entry.target, serviceIndex, now });
    });
}

std::vector<RecentFlow> TableDistribution::flowsFor(ServiceIndex serviceIndex, HostIndex peer, TimePoint now)
{
    std::vector<RecentFlow> flows;
    if (m_state.services.info(serviceIndex).protocol == TransportProtocol::Udp)
        addUdpFlows(serviceIndex, peer, flows, now);
    else
        addRecentFlows(serviceIndex, peer, flows);
    return flows;
}

void TableDistribution::acknowledge(ServiceIndex serviceIndex, HostIndex peer, TimePoint now)
{
    const std::vector<RecentFlow> flows = flowsFor(serviceIndex, peer, now);
    const std::size_t chunks = std::max<std::size_t>(1, (flows.size() + flowsPerChunk - 1) / flowsPerChunk);
    for (std::size_t chunk = 0; chunk < chunks; ++chunk) {
        schema::PeerMessage message;
        schema::TableAcknowledgement& acknowledgement = *message.mutable_table_acknowledgement();
        acknowledgement.set_service_id(m_state.tables[serviceIndex].table.service);
        acknowledgement.set_version(m_state.tables[serviceIndex].table.version);
        acknowledgement.set_chunk(static_cast<std::uint32_t>(chunk));
        acknowledgement.set_chunk_count(static_cast<std::uint32_t>(chunks));
        const std::size_t end = std::min(flows.size(), (chunk + 1) * flowsPerChunk);
        for (std::size_t i = chunk * flowsPerChunk; i < end; ++i) {
            acknowledgement.add_recent_flows(flows[i].flow);
            acknowledgement.add_recent_targets(flows[i].target);
        }
        m_state.sender.sendUrgent(peer, message, now);
    }
}

void TableDistribution::acknowledgeAll(TimePoint now)
{
    for (ServiceIndex serviceIndex = 0; serviceIndex < static_cast<ServiceIndex>(m_state.tables.size());
         ++serviceIndex) {
        for (HostIndex peer = 0; peer < static_cast<HostIndex>(m_state.options.peers.size()); ++peer) {
            if (m_state.tables[serviceIndex].exists() && peer != m_state.self() && m_state.isReadyOrLeaving(peer))
                acknowledge(serviceIndex, peer, now);
        }
    }
}

void TableDistribution::handleAcknowledgement(
    HostIndex from, const schema::TableAcknowledgement& acknowledgement, TimePoint now)
{
    const ServiceIndex serviceIndex = m_state.services.findById(acknowledgement.service_id());
    const bool isMalformed = acknowledgement.recent_flows_size() != acknowledgement.recent_targets_size()
        || acknowledgement.chunk() >= acknowledgement.chunk_count();
    if (serviceIndex == noService || isMalformed)
        return;
    HostTableState& host = m_state.tables[serviceIndex].hosts[from];
    for (int i = 0; i < acknowledgement.recent_flows_size(); ++i) {
        const FlowEntry* known = m_state.cache.find(acknowledgement.recent_flows(i), serviceIndex);
        if (known == nullptr || !known->has(FlowRecorded))
            m_state.storeRecord(
                acknowledgement.recent_flows(i), serviceIndex, acknowledgement.recent_targets(i), 0, now);
    }
    if (host.pendingVersion != acknowledgement.version() || host.chunks.size() != acknowledgement.chunk_count()) {
        host.pendingVersion = acknowledgement.version();
        host.chunks.assign(acknowledgement.chunk_count(), false);
    }
    host.chunks[acknowledgement.chunk()] = true;
    if (std::find(host.chunks.begin(), host.chunks.end(), false) != host.chunks.end())
        return;
    host.acknowledged = std::max(host.acknowledged, acknowledgement.version());
    updateActiveVersion(serviceIndex, now);
}

void TableDistribution::request(HostIndex peer, ServiceIndex serviceIndex, TimePoint now)
{
    ServiceTable& table = m_state.tables[serviceIndex];
    if (table.lastRequest != TimePoint::min() && now - table.lastRequest < requestInterval)
        return;
    table.lastRequest = now;
    schema::PeerMessage message;
    message.mutable_table_request()->set_service_id(table.table.service);
    message.mutable_table_request()->set_have_version(table.table.version);
    m_state.sender.sendUrgent(peer, message, now);
}

void TableDistribution::handleRequest(HostIndex from, const schema::TableRequest& request, TimePoint now)
{
    if (request.service_id() == 0) {
        schema::PeerMessage message;
        *message.mutable_target_update() = m_state.targets.fullUpdate(now);
        m_state.sender.sendUrgent(from, message, now);
        return;
    }
    const ServiceIndex serviceIndex = m_state.services.findById(request.service_id());
    const ServiceTable* table = m_state.tableOf(serviceIndex);
    if (table == nullptr || request.have_version() > table->table.version)
        return;
    if (request.have_version() == table->table.version) {
        acknowledge(serviceIndex, from, now);
        return;
    }
    HostTableState& host = m_state.tables[serviceIndex].hosts[from];
    const bool isReady = m_state.membership.state(from) == schema::MEMBER_READY;
    if (isReady && !host.recordTableRequest(now))
        return;
    host.tableSentAt = now;
    schema::PeerMessage message;
    *message.mutable_table_update() = encodeTable(table->table, nullptr);
    m_state.sender.sendUrgent(from, message, now);
}

void TableDistribution::handleHeartbeat(HostIndex from, const schema::Heartbeat& heartbeat, TimePoint now)
{
    for (const schema::TableVersion& version : heartbeat.tables()) {
        const ServiceIndex serviceIndex = m_state.services.findById(version.service_id());
        if (serviceIndex == noService)
            continue;
        HostTableState& host = m_state.tables[serviceIndex].hosts[from];
        host.advertised = std::max(host.advertised, version.version());
        if (version.version() > m_state.tables[serviceIndex].table.version)
            request(from, serviceIndex, now);
    }
}

void TableDistribution::fillHeartbeat(schema::Heartbeat& heartbeat) const
{
    for (const ServiceTable& table : m_state.tables) {
        if (!table.exists())
            continue;
        schema::TableVersion& version = *heartbeat.add_tables();
        version.set_service_id(table.table.service);
        version.set_version(table.table.version);
    }
}

void TableDistribution::forgetHost(HostIndex host)
{
    for (ServiceTable& table : m_state.tables)
        table.hosts[host] = HostTableState {};
}

bool TableDistribution::isCurrent() const
{
    for (ServiceIndex serviceIndex = 0; serviceIndex < static_cast<ServiceIndex>(m_state.tables.size());
         ++serviceIndex) {
        for (HostIndex host = 0; host < static_cast<HostIndex>(m_state.options.peers.size()); ++host) {
            if (host != m_state.self() && m_state.isReadyOrLeaving(host)
                && m_state.tables[serviceIndex].hosts[host].advertised > m_state.tables[serviceIndex].table.version)
                return false;
        }
    }
    return true;
}

bool TableDistribution::isLeaseExpired(HostIndex host, TimePoint now) const
{
    // The lease of a silent host is known to have expired only if that host had adopted the current view; otherwise it
    // may hold a lease from a previous owner.
    const bool knowsView = m_state.membership.peer(host).readyHosts == m_state.membership.readyHosts();
    return knowsView && !m_state.membership.heardWithin(host, m_state.options.deadAfter, now);
}

void TableDistribution::updateActiveVersion(ServiceIndex serviceIndex, TimePoint now)
{
    ServiceTable& table = m_state.tables[serviceIndex];
    if (!m_state.hasQuorum(now))
        return;
    std::uint64_t active = table.table.version;
    std::size_t acknowledged = 1;
    for (HostIndex host = 0; host < static_cast<HostIndex>(m_state.options.peers.size()); ++host) {
        if (host == m_state.self() || !m_state.isReadyOrLeaving(host))
            continue;
        const std::uint64_t version = table.hosts[host].acknowledged;
        acknowledged += version >= table.table.version ? 1 : 0;
        if (!isLeaseExpired(host, now))
            active = std::min(active, version);
    }
    // A majority must have acknowledged the version before it becomes active, so that a new table leader cannot miss
    // it.
    if (active == table.table.version && acknowledged < m_state.membership.majority())
        return;
    table.activeVersion = std::max(table.activeVersion, active);
}

void TableDistribution::requestMissing(ServiceIndex serviceIndex, TimePoint now)
{
    const ServiceTable& table = m_state.tables[serviceIndex];
    for (HostIndex host = 0; host < static_cast<HostIndex>(m_state.options.peers.size()); ++host) {
        if (host == m_state.self() || !m_state.isReadyOrLeaving(host))
            continue;
        const HostTableState& known = table.hosts[host];
        const bool lacksTable = known.advertised > table.table.version;
        const bool lacksAcknowledgement
            = known.acknowledged < table.table.version && known.advertised >= table.table.version;
        if (lacksTable || lacksAcknowledgement) {
            request(host, serviceIndex, now);
            return;
        }
    }
}

void TableDistribution::requestUnknownTargets(ServiceIndex serviceIndex, TimePoint now)
{
    const ServiceTable& table = m_state.tables[serviceIndex];
    const auto isUnknown
        = [this](TargetId target) { return target != noTarget && m_state.targets.find(target) == nullptr; };
    const auto& buckets = table.table.buckets;
    const bool anyUnknown = std::any_of(buckets.begin(), buckets.end(),
        [&](const Bucket& bucket) { return isUnknown(bucket.base) || isUnknown(bucket.current); });
    if (!anyUnknown)
        return;
    // Requests all targets from the host that planned the table, because it knows the targets in the table.
    for (HostIndex host = 0; host < static_cast<HostIndex>(m_state.options.peers.size()); ++host) {
        const bool isPublisher = m_state.options.peers[host].host == table.table.leader;
        if (!isPublisher || host == m_state.self() || !m_state.isReadyOrLeaving(host))
            continue;
        schema::PeerMessage message;
        message.mutable_table_request()->set_service_id(0);
        m_state.sender.trySend(host, message, now);
    }
}

void TableDistribution::advance(TimePoint now)
{
    if (!m_state.hasQuorum(now))
        m_quorumSince = TimePoint::max();
    else if (m_quorumSince == TimePoint::max())
        m_quorumSince = now;
    const bool reportsDue = now >= m_nextReport;
    if (reportsDue)
        m_nextReport = now + reportInterval;
    for (ServiceIndex serviceIndex = 0; serviceIndex < static_cast<ServiceIndex>(m_state.tables.size());
         ++serviceIndex) {
        if (!m_state.services.info(serviceIndex).exists)
            continue;
        requestMissing(serviceIndex, now);
        updateActiveVersion(serviceIndex, now);
        if (reportsDue) {
            requestUnknownTargets(serviceIndex, now);
            reportBuckets(serviceIndex, now);
        }
        if (mayPlan(serviceIndex, now))
            plan(serviceIndex, now);
    }
}

}
