#pragma once

/// @file
/// Chooses the target of a new flow: join the shortest queue over own and reported load, with preferences that keep
/// entry hosts apart and traffic inside a data centre.

#include "cookie/target_pool.h"

#include <string>
#include <vector>

namespace bergamotroute {

/// Weights of the cost of a target. The unit of cost is one request under way for each slot.
struct PlacementOptions {
    /// Expected requests under way of one idle open flow.
    double idleFlowRequests = 0.04;
    /// Extra cost of a target in another data centre: a spill threshold against traffic between data centres.
    double remoteCost = 0.6;
    /// Extra cost that spreads the entry hosts over targets of equal load, so that they do not all choose the same one.
    double spreadCost = 0.3;
    /// Factor of the load of a target that has just started and is still slow.
    double slowStartFactor = 3.0;
    double slowStartCost = 0.7;
    /// Extra cost of a target without recent heartbeats.
    double silentCost = 3.0;
    /// Extra cost of a target that has not answered first packets.
    double avoidCost = 20.0;
};

/// Why a target was chosen, for the log.
struct PlacementChoice {
    PooledTarget* target = nullptr;
    double cost = 0;
    /// Targets that could have been chosen.
    std::size_t candidates = 0;
};

class Placement {
public:
    /// @param host name of this entry host; gives it its own order of targets.
    Placement(PlacementOptions options, std::string host, std::string dataCentre);

    /// @param excluded a target that must not be chosen unless it is the only one; may be null.
    PlacementChoice choose(
        const std::vector<PooledTarget*>& targets, const PooledTarget* excluded, TimePoint now) const;

private:
    bool isLocal(const PooledTarget& target) const { return target.dataCentre == m_dataCentre; }
    double spreadOf(const PooledTarget& target) const;
    /// @return requests for each slot that are expected from idle open flows.
    double idleLoad(const PooledTarget& target) const;
    double meanLocalIdleLoad(const std::vector<PooledTarget*>& targets) const;
    /// @param minRemoteIdleLoad idle load that a target of another data centre has at least.
    /// @return the cost of a new flow at a target.
    double costOf(const PooledTarget& target, double minRemoteIdleLoad, TimePoint now) const;

    PlacementOptions m_options;
    std::string m_dataCentre;
    std::uint64_t m_seed;
};

}
