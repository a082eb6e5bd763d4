#pragma once

/// @file
/// Decides on first packets of flows: which route they belong to, which target gets a new flow, and whether a
/// retransmission goes to the same target or to another one.

#include "cookie/capacity_learning.h"
#include "cookie/flow_table.h"
#include "cookie/placement.h"
#include "cookie/reachability_monitor.h"
#include "cookie/slow_start_limit.h"
#include "cookie/target_pool.h"
#include "overload/retry_budget.h"

namespace bergamotroute {

class FirstPacketSteering {
public:
    /// All arguments must outlive the object.
    FirstPacketSteering(const RouteTable& routes, TargetPool& pool, FlowTable& flows, const Placement& placement,
        ReachabilityMonitor& reachability, SlowStartLimit& slowStartLimit, SteeringCounters& counters)
        : m_routes(routes)
        , m_pool(pool)
        , m_flows(flows)
        , m_placement(placement)
        , m_reachability(reachability)
        , m_slowStartLimit(slowStartLimit)
        , m_counters(counters)
    {
    }

    /// @param controlsOverload second choices are limited by a budget.
    /// @param isOverloaded a missing response is no sign that a target is unreachable, because this host's link is
    /// full.
    void setOverload(bool controlsOverload, bool isOverloaded)
    {
        m_controlsOverload = controlsOverload;
        m_isOverloaded = isOverloaded;
    }

    /// Sets whether all targets are known; new flows are held until then.
    void setRegistryLoaded(bool isLoaded) { m_isRegistryLoaded = isLoaded; }

    /// Sends slow targets their minimum traffic from now on.
    /// @param learning must outlive the object.
    void setLearning(const CapacityLearning& learning) { m_learning = &learning; }

    /// @return the decision that a new flow would get now and why, without any effect; the same code decides in
    /// handle().
    schema::PlacementExplanation explain(const FlowPacket& packet, TimePoint now) const;

    /// Decides on a first packet. Views in the result are valid until the targets or the routes change.
    SteeringDecision handle(const FlowPacket& packet, TimePoint now);

private:
    /// Where a flow goes.
    struct Plan {
        /// FlowPlaced, or why the flow is refused.
        ResultCode code = ResultCode::FlowPlaced;
        /// Instead of being refused, the packet is held, because this host knows too little yet.
        bool isHeld = false;
        const Route* route = nullptr;
        const std::string* service = nullptr;
        PlacementChoice choice;
    };

    /// Finds route and service.
    Plan findService(const FlowPacket& packet) const;
    /// Chooses a target of the plan's service.
    /// @param excluded the target that did not answer the flow's first packet; null for a new flow.
    /// @param[out] weighed receives the targets that were weighed; may be null.
    void chooseTarget(const FlowPacket& packet, Plan& plan, const PooledTarget* excluded, TimePoint now,
        std::vector<WeighedTarget>* weighed = nullptr) const;
    /// @return the slow target that a new flow tests, or null.
    PooledTarget* chooseForMinimumTraffic(const FlowPacket& packet, const Plan& plan, TimePoint now) const;
    SteeringDecision carryOut(const FlowPacket& packet, const Plan& plan, TimePoint now);
    SteeringDecision placeAgain(const FlowPacket& packet, Plan& plan, FlowState& existing, TimePoint now);
    void countRefusal(ResultCode code);
    /// @return true if a first packet may be sent to the flow's target again as the same request.
    bool mayRepeat(const FlowState& flow, const std::string& service, TimePoint now) const;
    void avoid(PooledTarget& target, TimePoint now);
    bool keepsTarget(const FlowPacket& packet, const PooledTarget& previous, bool isUnresponsive) const;

    const RouteTable& m_routes;
    TargetPool& m_pool;
    FlowTable& m_flows;
    const Placement& m_placement;
    ReachabilityMonitor& m_reachability;
    SlowStartLimit& m_slowStartLimit;
    SteeringCounters& m_counters;
    RetryBudget m_retryBudget;
    bool m_isRegistryLoaded = true;
    bool m_controlsOverload = false;
    bool m_isOverloaded = false;
    const CapacityLearning* m_learning = nullptr;
};

}
