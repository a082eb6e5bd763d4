#pragma once

/// @file
/// State shared by the parts of flow steering.

#include "bergamotroute/admission.h"
#include "bergamotroute/entry_host.h"
#include "bergamotroute/flow_prober.h"
#include "bergamotroute/target_manager.h"
#include "membership/membership.h"
#include "steering/control_sender.h"
#include "steering/flow_cache.h"
#include "steering/ownership.h"
#include "steering/recent_flows.h"
#include "steering/service_directory.h"
#include "steering/service_table.h"

#include <deque>
#include <map>

namespace bergamotroute {

/// Counters of an entry host for the state dump.
struct SteeringCounters {
    std::uint64_t forwarded = 0;
    std::uint64_t relayed = 0;
    std::uint64_t firstPackets = 0;
    std::uint64_t dropped = 0;
    std::uint64_t refused = 0;
    std::uint64_t divergent = 0;
};

/// State of flow steering on one host. All objects that it refers to outlive it.
struct SteeringState {
    SteeringState(const EntryHostOptions& entryOptions, EntryHostSink& entrySink, Membership& entryMembership,
        TargetManager& targetManager, AdmissionPolicy& admissionPolicy, FlowProber& flowProber,
        ControlSender& controlSender);

    const EntryHostOptions& options;
    EntryHostSink& sink;
    Membership& membership;
    TargetManager& targets;
    AdmissionPolicy& admission;
    FlowProber& prober;
    ControlSender& sender;
    Ownership ownership;
    ServiceDirectory services;
    FlowCache cache;
    RecentFlows recent;
    /// By service index.
    std::vector<ServiceTable> tables;
    SteeringCounters counters;
    /// The view is not complete: some host has not adopted it, or a previous owner has not sent all its records.
    bool viewChanging = false;
    /// Time since which the view is not complete.
    TimePoint viewChangingSince = TimePoint::min();
    /// Time since which this host is isolated, that is, hears no majority of the group; TimePoint::max() if it is not.
    TimePoint isolatedSince = TimePoint::max();

    HostIndex self() const { return membership.view().self; }
    /// @return true while this host holds the quorum lease, so that it may act as owner or table leader.
    bool hasQuorum(TimePoint now) const { return membership.hasQuorum(now); }
    std::uint32_t bucketCount() const { return options.bucketsPerService; }

    /// @return true if the host may still select targets for the buckets it owns or owned, that is, is ready or
    /// leaving.
    bool isReadyOrLeaving(HostIndex host) const;

    /// @return the host that selects targets for a bucket: its owner or, while the view changes, its owner in the last
    /// complete view if that host is still ready or leaving.
    HostIndex effectiveOwner(const ServiceTable& table, std::uint32_t bucket) const;

    /// @return true if the view changes and neither the owner nor the backup of the last complete view is ready or
    /// leaving, so that the records of the bucket have to be collected from the caches of the other hosts.
    bool areHoldersLost(const ServiceTable& table, std::uint32_t bucket) const;

    /// @return the table of a service, or a null pointer if there is none yet.
    ServiceTable* tableOf(ServiceIndex serviceIndex);

    /// @return true if the target of the flow cannot be derived from the table, so that the entry must not be evicted.
    bool mustPin(const FlowEntry& entry);

    /// Stores a flow record, whose target is authoritative for all hosts.
    /// @return the entry, or a null pointer if the cache is full.
    FlowEntry* storeRecord(
        std::uint64_t flow, ServiceIndex serviceIndex, TargetId target, std::uint8_t flags, TimePoint now);
};

/// Converts a time to the unit of flow entries.
FlowTick flowTick(TimePoint now);

}
