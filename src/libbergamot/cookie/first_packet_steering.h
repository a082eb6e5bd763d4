#pragma once

/// @file
/// Decides on first packets of flows: which route they belong to, which target gets a new flow, and whether a
/// retransmission goes to the same target or to another one.

#include "cookie/capacity_learning.h"
#include "cookie/flow_table.h"
#include "cookie/placement.h"
#include "cookie/reachability_monitor.h"
#include "cookie/target_pool.h"

namespace bergamotroute {

class FirstPacketSteering {
public:
    /// All arguments must outlive the object.
    FirstPacketSteering(const RouteTable& routes, TargetPool& pool, FlowTable& flows, const Placement& placement,
        ReachabilityMonitor& reachability, SteeringCounters& counters)
        : m_routes(routes)
        , m_pool(pool)
        , m_flows(flows)
        , m_placement(placement)
        , m_reachability(reachability)
        , m_counters(counters)
    {
    }

    /// Sends slow targets their minimum traffic from now on.
    /// @param learning must outlive the object.
    void setLearning(const CapacityLearning& learning) { m_learning = &learning; }

    /// Decides on a first packet. Views in the result are valid until the targets or the routes change.
    SteeringDecision handle(const FlowPacket& packet, TimePoint now);

private:
    SteeringDecision place(
        const FlowPacket& packet, const std::string& service, const PooledTarget* excluded, TimePoint now);
    /// @return the slow target that a new flow tests, or null.
    PooledTarget* chooseForMinimumTraffic(
        const FlowPacket& packet, const Route& route, const std::string& service, TimePoint now);
    /// Assigns a flow to a target.
    SteeringDecision assign(const FlowPacket& packet, PooledTarget& target, TimePoint now);
    SteeringDecision placeAgain(
        const FlowPacket& packet, const std::string& service, FlowState& existing, TimePoint now);
    void avoid(PooledTarget& target, TimePoint now);

    const RouteTable& m_routes;
    TargetPool& m_pool;
    FlowTable& m_flows;
    const Placement& m_placement;
    ReachabilityMonitor& m_reachability;
    SteeringCounters& m_counters;
    const CapacityLearning* m_learning = nullptr;
};

}
