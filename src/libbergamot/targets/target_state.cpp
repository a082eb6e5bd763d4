#include "targets/target_state.h"

#include <algorithm>

namespace bergamotroute {

namespace {

    constexpr std::uint32_t defaultDrainDeadlineSeconds = 28'800;
    /// A drain lasts at least this long, because new flows may still arrive until all entry hosts have applied the
    /// bucket table without the target.
    constexpr Duration minDrainTime { 10'000 };
    /// If this host has forwarded this many flows or more to a target that has never reported an open connection, its
    /// reports without connections are not credible: ending its drain early would break its flows.
    constexpr std::uint64_t maxUnreportedFlows = 100;

    Duration drainDeadline(const schema::Service& service)
    {
        const std::uint32_t seconds = service.drain_deadline_seconds();
        return std::chrono::seconds(seconds == 0 ? defaultDrainDeadlineSeconds : seconds);
    }

    /// @return time at which the target started to drain, or noDeadline if it is not draining.
    TimePoint drainingSince(const TargetRecord& record)
    {
        TimePoint since = noDeadline;
        if (record.announcement.state() == schema::DRAINING)
            since = record.stateSince;
        if (record.adminState == schema::BACKEND_DRAIN || record.adminState == schema::BACKEND_MAINTENANCE)
            since = std::min(since, record.adminSince);
        return since;
    }

    /// A target whose announcements are lost, for example because all entry hosts of its data centre are dead, may
    /// still serve its flows. Its own fresh load reports prove it.
    bool isServingWithoutLease(
        const TargetRecord& record, const TargetStore& store, const LoadEstimator& load, TimePoint now)
    {
        const bool isReleased = record.announcement.state() == schema::GONE || store.isAddressTaken(record, now);
        return !isReleased && load.reportsOpenConnections(record.info.id, now);
    }

    const char* stateName(const TargetRecord& record, bool healthy, TimePoint now)
    {
        if (record.adminState == schema::BACKEND_REMOVED)
            return "removed";
        if (record.adminState == schema::BACKEND_MAINTENANCE)
            return "maintenance";
        if (!record.hasLease(now))
            return "lease-ended";
        if (drainingSince(record) != noDeadline)
            return "draining";
        if (record.announcement.state() == schema::STARTING)
            return "starting";
        return healthy ? "ready" : "unhealthy";
    }

}

bool isTargetGone(const TargetRecord& record, const TargetStore& store, const LoadEstimator& load,
    const NewFlowCounter& newFlows, TimePoint now)
{
    const schema::Service* service = store.service(record.info.service);
    if (service == nullptr || record.adminState == schema::BACKEND_REMOVED)
        return true;
    const bool isClaimEnded = store.claimEnd(record) <= now;
    if (isClaimEnded && !isServingWithoutLease(record, store, load, now))
        return true;
    const TimePoint since = isClaimEnded ? std::min(drainingSince(record), record.leaseEnd) : drainingSince(record);
    if (since == noDeadline || since + minDrainTime > now)
        return false;
    if (since + drainDeadline(*service) <= now)
        return true;
    const TargetId id = record.info.id;
    const bool isCredible = load.hasReportedConnections(id) || newFlows.total(id) < maxUnreportedFlows;
    return isCredible && load.isEmpty(id, now);
}

void describeTarget(schema::TargetState& state, const TargetRecord& record, bool healthy, TimePoint now)
{
    state.set_service(record.announcement.service());
    state.set_address(record.info.endpoint.address.toString());
    state.set_fou_port(record.info.endpoint.port);
    state.set_data_centre(record.info.dataCentre);
    state.set_slots(record.announcement.slots());
    state.set_state(stateName(record, healthy, now));
    state.set_accepts_new_flows(record.info.acceptsNewFlows);
    state.set_lease_ms(
        record.hasLease(now) ? static_cast<std::uint32_t>((record.leaseEnd - now).count()) : std::uint32_t { 0 });
}

double capacityOf(const TargetRecord& record) { return record.announcement.slots() * (record.weightPercent / 100.0); }

double shareFraction(const TargetShares& shares, TargetId target)
{
    double total = 0;
    for (const auto& [id, share] : shares)
        total += share;
    const auto found = shares.find(target);
    return found == shares.end() || total <= 0 ? 0 : found->second / total;
}

}
