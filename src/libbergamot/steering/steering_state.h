#pragma once

/// @file
/// State that the parts of steering share.

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

/// Counters of an entry host, by name in the state dump.
struct SteeringCounters {
    std::uint64_t forwarded = 0;
    std::uint64_t relayed = 0;
    std::uint64_t firstPackets = 0;
    std::uint64_t dropped = 0;
    std::uint64_t refused = 0;
    std::uint64_t divergent = 0;
};

/// State of steering on one host. All references outlive it.
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
    /// By service slot.
    std::vector<ServiceTable> tables;
    SteeringCounters counters;
    /// Some host has not acknowledged the present view, or a former owner has not sent its last records.
    bool viewChanging = false;
    /// Time since which this host hears no majority, or TimePoint::max().
    TimePoint isolatedSince = TimePoint::max();

    HostIndex self() const { return membership.view().self; }
    bool hasQuorum(TimePoint now) const { return membership.hasQuorum(now); }
    std::uint32_t bucketCount() const { return options.bucketsPerService; }

    /// @return true if the host takes part and may still decide for buckets that it owned.
    bool isReadyOrLeaving(HostIndex host) const;

    /// @return the host that decides for a bucket: the owner, or while the view changes its former owner.
    HostIndex effectiveOwner(const ServiceTable& table, std::uint32_t bucket) const;

    /// @return the table of a slot, or a null pointer if there is none yet.
    ServiceTable* tableOf(ServiceIndex serviceIndex);

    /// @return true if only a record tells the target of the flow, so that the entry must be kept.
    bool mustPin(const FlowEntry& entry);

    /// Stores a record that decides for the group.
    /// @return the entry, or a null pointer if the cache is full.
    FlowEntry* storeRecord(
        std::uint64_t flow, ServiceIndex serviceIndex, TargetId target, std::uint8_t flags, TimePoint now);
};

/// @return the time in the unit of flow entries.
FlowTick flowTick(TimePoint now);

}
