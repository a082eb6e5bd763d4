#pragma once

/// @file
/// Chooses the target of a new flow: join the shortest queue by observed and reported load, with extra costs that make
/// entry hosts choose different targets and keep traffic inside a data centre.

#include "cookie/target_pool.h"

#include <string>
#include <vector>

namespace bergamotroute {

class SlowStartLimit;
class TargetGroups;

/// Weights of the cost of a target. The unit of cost is one outstanding request per slot.
struct PlacementOptions {
    /// Expected outstanding requests of one idle open flow.
    double idleFlowRequests = 0.04;
    /// Extra cost of a target in another data centre: the spillover threshold that limits traffic between data centres.
    double remoteCost = 0.6;
    /// Extra cost of a target of another group, and of another data centre in addition to remoteCost while there are
    /// groups: reports of these hosts are old, so their targets are used only if those of the group are busy.
    double otherGroupCost = 0.5;
    /// Maximum of the extra cost that differs between entry hosts, so that they do not all choose the same one of
    /// several targets of equal load.
    double spreadCost = 0.3;
    /// Factor on the load of a target in slow start: it has just started and is still slow.
    double slowStartFactor = 3.0;
    double slowStartCost = 0.7;
    /// Extra cost of a target without recent heartbeats.
    double silentCost = 3.0;
    /// Extra cost, for a flow whose previous target did not answer, of a target without a recent response: several
    /// targets often fail together, and a second miss costs the client its third try.
    double unprovenCost = 2.0;
    Duration provenFor { 3000 };
    /// Extra cost of a target that has not answered first packets or that probes could not reach.
    double avoidCost = 20.0;
    /// Numbers of targets that a flow compares while this share of the service's targets is slow or refuses. Reported
    /// load is up to a report interval old. If all hosts sent their flows to the one target that seems best, it would
    /// be full before the next report; flows that compare few targets each spread over all of them. Load reports of
    /// other data centres are older and fewer.
    double disturbedShare = 0.1;
    double sampledLocalTargets = 6;
    double sampledRemoteTargets = 1;
    /// Extra cost of the other targets meanwhile; above the cost of an idle target that is as slow as can be.
    double unsampledCost = 6.0;
};

/// Cost of a target for one flow, and what it consists of.
struct TargetCost {
    double total = 0;
    /// Outstanding requests and idle open flows per slot.
    double requests = 0;
    double idleFlows = 0;
    /// Extra time at a slow target; negative for a fast one.
    double extraTime = 0;
    /// Part that differs between entry hosts.
    double spread = 0;
    double slowStart = 0;
    double remote = 0;
    double otherGroup = 0;
    double silent = 0;
    /// Avoided, unreachable or at its limit.
    double avoided = 0;
    /// Not among the targets that the flow compares.
    double unsampled = 0;
    double unproven = 0;
};

/// A target that was weighed for a flow.
struct WeighedTarget {
    const PooledTarget* target = nullptr;
    TargetCost cost;
};

/// The chosen target, and for the log the reasons.
struct PlacementChoice {
    PooledTarget* target = nullptr;
    double cost = 0;
    /// Targets that could have been chosen.
    std::size_t candidates = 0;
    /// Targets in slow start to which this host may not send the flow.
    std::size_t notPermitted = 0;
    /// Each candidate that is not avoided for another reason is at its learned limit, so the chosen one will probably
    /// refuse the flow; admission may let the flow wait instead.
    bool allAtLimit = false;
    /// The flow tests a slow target that has had no request for a while.
    bool isMinimumTraffic = false;
};

class Placement {
public:
    /// @param host name of this entry host; seeds its own order of targets with equal load.
    Placement(PlacementOptions options, std::string host, std::string dataCentre);

    /// Sets the limit on targets in slow start, which must outlive the object; null for none.
    void setSlowStartLimit(SlowStartLimit* limit) { m_slowStartLimit = limit; }

    /// Sets the groups of targets, which must outlive the object; null for none.
    void setTargetGroups(const TargetGroups* groups) { m_targetGroups = groups; }

    /// @param excluded the target that did not answer the flow's first packet, to be chosen only if there is no other;
    /// null for a new flow.
    /// @param flowHash chooses the targets that the flow compares while the service is disturbed.
    /// @param[out] weighed receives the targets that could have been chosen; may be null.
    PlacementChoice choose(const std::vector<PooledTarget*>& targets, const PooledTarget* excluded, TimePoint now,
        std::uint64_t flowHash = 0, std::vector<WeighedTarget>* weighed = nullptr) const;

private:
    struct SampleShares {
        double local = 1;
        double remote = 1;
    };

    bool hasGroups() const;
    /// @param isLimited the target is in slow start, and the limit permits the flow: only its owner may use it,
    /// whatever group it is in.
    /// @return true if the target belongs to this host's group, or to this host alone.
    static bool isOwn(const PooledTarget& target, bool isLimited) { return target.isInGroup || isLimited; }
    bool isLocal(const PooledTarget& target) const { return target.dataCentre == m_dataCentre; }
    double spreadOf(const PooledTarget& target) const;
    /// @return probabilities with which a flow compares a target; 1 unless the service is disturbed or there are
    /// groups. Those of the local data centre do not concern targets of the own group.
    SampleShares sampleShares(const std::vector<PooledTarget*>& targets) const;
    bool isAvoided(const PooledTarget& target, TimePoint now) const;
    /// @return expected requests per slot from idle open flows.
    double idleLoad(const PooledTarget& target) const;
    double meanLocalIdleLoad(const std::vector<PooledTarget*>& targets) const;
    /// @param minRemoteIdleLoad lower bound for the idle load of a target in another data centre.
    /// @param isLimited the target is in slow start, and the limit permits the flow.
    TargetCost costOf(const PooledTarget& target, double minRemoteIdleLoad, bool isLimited, TimePoint now) const;

    PlacementOptions m_options;
    std::string m_dataCentre;
    std::uint64_t m_seed;
    SlowStartLimit* m_slowStartLimit = nullptr;
    const TargetGroups* m_targetGroups = nullptr;
};

}
