#include "steering/steering_state.h"

namespace bergamotroute {

namespace {

    constexpr std::int64_t tickMs = 100;

    std::vector<std::string> hostNames(const EntryHostOptions& options)
    {
        std::vector<std::string> names;
        for (const PeerConfig& peer : options.peers)
            names.push_back(peer.host);
        return names;
    }

}

FlowTick flowTick(TimePoint now) { return static_cast<FlowTick>(now.time_since_epoch().count() / tickMs); }

SteeringState::SteeringState(const EntryHostOptions& entryOptions, EntryHostSink& entrySink,
    Membership& entryMembership, TargetManager& targetManager, AdmissionPolicy& admissionPolicy, FlowProber& flowProber,
    ControlSender& controlSender)
    : options(entryOptions)
    , sink(entrySink)
    , membership(entryMembership)
    , targets(targetManager)
    , admission(admissionPolicy)
    , prober(flowProber)
    , sender(controlSender)
    , ownership(hostNames(entryOptions))
    , cache(entryOptions.flowCacheEntries, entryOptions.bucketsPerService)
{
}

bool SteeringState::isReadyOrLeaving(HostIndex host) const
{
    if (host == noHost)
        return false;
    const schema::MemberState state = membership.state(host);
    return state == schema::MEMBER_READY || state == schema::LEAVING;
}

HostIndex SteeringState::effectiveOwner(const ServiceTable& table, std::uint32_t bucket) const
{
    const HostIndex stable = table.stableOwners[bucket].owner;
    return viewChanging && isReadyOrLeaving(stable) ? stable : table.owners[bucket].owner;
}

bool SteeringState::areHoldersLost(const ServiceTable& table, std::uint32_t bucket) const
{
    const BucketOwners& stable = table.stableOwners[bucket];
    return viewChanging && stable.owner != noHost && !isReadyOrLeaving(stable.owner)
        && !isReadyOrLeaving(stable.backup);
}

ServiceTable* SteeringState::tableOf(ServiceIndex serviceIndex)
{
    if (serviceIndex >= tables.size() || !tables[serviceIndex].exists())
        return nullptr;
    return &tables[serviceIndex];
}

bool SteeringState::mustPin(const FlowEntry& entry)
{
    if (entry.has(FlowDivergent))
        return true;
    const ServiceTable* table = tableOf(entry.service);
    if (!entry.has(FlowRecorded) || table == nullptr)
        return false;
    const Bucket& bucket = table->table.buckets[bucketOf(entry.flow, bucketCount())];
    // In a moved bucket, a UDP packet without a record counts as a new flow, so even flows on the base target need
    // their record.
    const bool isUdp = services.info(entry.service).protocol == TransportProtocol::Udp;
    const bool neededByUdp = isUdp && bucket.moved && bucket.base != bucket.current;
    return entry.target != bucket.base || neededByUdp;
}

FlowEntry* SteeringState::storeRecord(
    std::uint64_t flow, ServiceIndex serviceIndex, TargetId target, std::uint8_t flags, TimePoint now)
{
    FlowEntry* entry = cache.find(flow, serviceIndex);
    if (entry == nullptr || entry->target != target)
        entry = cache.insert(flow, serviceIndex, target, flowTick(now));
    if (entry == nullptr)
        return nullptr;
    entry->lastSeen = flowTick(now);
    entry->set(static_cast<std::uint8_t>(flags | FlowRecorded));
    cache.setPinned(*entry, mustPin(*entry));
    return entry;
}

}
