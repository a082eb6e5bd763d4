/// @file
/// Table planning by the table leader, and the bucket reports that owners send to it.

#include "steering/table_distribution.h"

namespace bergamotroute {

namespace {

    /// A table leader that has had quorum for less than this may not know all targets yet, so it does not consider an
    /// unknown target gone.
    constexpr Duration targetDiscoveryTime { 15'000 };

}

bool TableDistribution::mayPlan(ServiceIndex serviceIndex, TimePoint now) const
{
    const ServiceTable& table = m_state.tables[serviceIndex];
    const HostIndex leader = m_state.ownership.tableLeader(m_state.membership.readyHosts(), table.table.service);
    if (leader != m_state.self() || !m_state.hasQuorum(now))
        return false;
    // A new version must be based on the newest version that any host may have activated.
    for (const HostTableState& host : table.hosts) {
        if (host.advertised > table.table.version)
            return false;
    }
    // While hosts disagree on the set of ready hosts, another host may consider itself the table leader too.
    return table.exists() || m_state.membership.hostsWithDifferentView() == 0;
}

bool TableDistribution::isGone(TargetId target, TimePoint now) const
{
    const TargetInfo* info = m_state.targets.find(target);
    if (info != nullptr)
        return info->gone;
    return target != noTarget && now - m_quorumSince > targetDiscoveryTime;
}

Bucket TableDistribution::mergeBucket(
    const ServiceTable& table, std::uint32_t index, const BucketTable* planned, TimePoint now) const
{
    Bucket bucket = table.table.buckets[index];
    const bool isPlanned = planned != nullptr && index < planned->buckets.size();
    const TargetId desired = isPlanned ? planned->buckets[index].current : bucket.current;
    if (bucket.base == noTarget)
        return { desired, desired, false };
    if (!bucket.moved) {
        if (desired != bucket.base && desired != noTarget)
            return { bucket.base, desired, true };
        bucket.moved = table.reportedDivergent[index];
        return bucket;
    }
    if (desired != noTarget)
        bucket.current = desired;
    // Until the move is active, hosts with an older table still send new flows to the base target.
    if (bucket.base != bucket.current && isGone(bucket.base, now) && table.isActive(index))
        bucket.base = bucket.current;
    const bool isUnchanged = bucket == table.table.buckets[index];
    if (isUnchanged && bucket.base == bucket.current && table.reportedClear[index])
        bucket.moved = false;
    return bucket;
}

BucketTable TableDistribution::merge(ServiceIndex serviceIndex, const BucketTable* planned, TimePoint now) const
{
    const ServiceTable& table = m_state.tables[serviceIndex];
    BucketTable next = table.table;
    next.limited = m_state.admission.isLimited(table.table.service);
    if (!table.exists()) {
        if (planned == nullptr)
            return next;
        next.buckets.resize(m_state.bucketCount());
        for (std::size_t bucket = 0; bucket < next.buckets.size() && bucket < planned->buckets.size(); ++bucket) {
            const TargetId target = planned->buckets[bucket].current;
            next.buckets[bucket] = { target, target, false };
        }
        return next;
    }
    for (std::uint32_t bucket = 0; bucket < next.buckets.size(); ++bucket)
        next.buckets[bucket] = mergeBucket(table, bucket, planned, now);
    return next;
}

void TableDistribution::plan(ServiceIndex serviceIndex, TimePoint now)
{
    const ServiceTable& table = m_state.tables[serviceIndex];
    const BucketTable* currentTable = table.exists() ? &table.table : nullptr;
    const std::optional<BucketTable> planned
        = m_state.targets.planTable(table.table.service, currentTable, m_state.bucketCount(), now);
    BucketTable next = merge(serviceIndex, planned ? &*planned : nullptr, now);
    const bool isChanged = next.buckets != table.table.buckets || next.limited != table.table.limited;
    if (isChanged && !next.buckets.empty())
        publish(serviceIndex, std::move(next), now);
}

void TableDistribution::publish(ServiceIndex serviceIndex, BucketTable next, TimePoint now)
{
    const BucketTable before = m_state.tables[serviceIndex].table;
    next.version = nextTableVersion(before.version, m_state.self());
    next.leader = m_state.options.host;
    schema::PeerMessage message;
    *message.mutable_table_update() = encodeTable(next, before.version == 0 ? nullptr : &before);
    for (HostIndex peer = 0; peer < static_cast<HostIndex>(m_state.options.peers.size()); ++peer) {
        if (peer != m_state.self() && m_state.membership.state(peer) != schema::DEAD
            && m_state.membership.state(peer) != schema::LEFT)
            m_state.sender.sendUrgent(peer, message, now);
    }
    apply(serviceIndex, std::move(next), now);
}

void TableDistribution::reportBuckets(ServiceIndex serviceIndex, TimePoint now)
{
    const ServiceTable& table = m_state.tables[serviceIndex];
    if (!table.exists() || !m_state.hasQuorum(now) || m_state.viewChanging)
        return;
    schema::PeerMessage message;
    schema::BucketReport& report = *message.mutable_bucket_report();
    report.set_service_id(table.table.service);
    report.set_version(table.table.version);
    for (std::uint32_t bucket = 0; bucket < m_state.bucketCount(); ++bucket) {
        if (table.owners[bucket].owner != m_state.self())
            continue;
        const Bucket& state = table.table.buckets[bucket];
        const bool hasPinnedFlows = m_state.cache.pinnedIn(serviceIndex, bucket) != 0;
        if (state.moved && state.base == state.current && table.isActive(bucket) && !hasPinnedFlows)
            report.add_clear_buckets(bucket);
        if (!state.moved && hasPinnedFlows)
            report.add_divergent_buckets(bucket);
    }
    if (report.clear_buckets_size() == 0 && report.divergent_buckets_size() == 0)
        return;
    const HostIndex leader = m_state.ownership.tableLeader(m_state.membership.readyHosts(), table.table.service);
    if (leader == m_state.self())
        handleReport(leader, report);
    else if (leader != noHost)
        m_state.sender.trySend(leader, message, now);
}

void TableDistribution::handleReport(HostIndex, const schema::BucketReport& report)
{
    const ServiceIndex serviceIndex = m_state.services.findById(report.service_id());
    ServiceTable* table = m_state.tableOf(serviceIndex);
    if (table == nullptr || table->table.version != report.version())
        return;
    for (const std::uint32_t bucket : report.clear_buckets()) {
        if (bucket < m_state.bucketCount())
            table->reportedClear[bucket] = true;
    }
    for (const std::uint32_t bucket : report.divergent_buckets()) {
        if (bucket < m_state.bucketCount())
            table->reportedDivergent[bucket] = true;
    }
}

}
