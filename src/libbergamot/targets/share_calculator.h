#pragma once

/// @file
/// Which targets take new flows, and the share of each.

#include "targets/health_monitor.h"
#include "targets/load_estimator.h"
#include "targets/new_flow_counter.h"
#include "targets/table_planner.h"
#include "targets/target_store.h"

namespace bergamotroute {

/// Computes desired shares: slots x operator weight x health x ramp x load correction.
class ShareCalculator {
public:
    ShareCalculator(const TargetStore& store, const HealthMonitor& health, const LoadEstimator& load,
        const NewFlowCounter& newFlows, Duration ramp)
        : m_store(store)
        , m_health(health)
        , m_load(load)
        , m_newFlows(newFlows)
        , m_ramp(ramp)
    {
    }

    /// @return true if announcement, lease, operator and data centre let the target take new flows; health apart.
    bool isServing(const TargetRecord& record, TimePoint now) const;

    /// @return shares of the targets of a service that take new flows.
    TargetShares shares(ServiceId service, TimePoint now) const;

    /// @return targets of a service that take new flows: the healthy ones, or all if none is healthy.
    std::vector<const TargetRecord*> usableTargets(ServiceId service, TimePoint now) const;

    /// @return part of its full share that a warming target gets, above 0 and at most 1.
    double rampFactor(const TargetRecord& record, TimePoint now) const;

private:
    const TargetStore& m_store;
    const HealthMonitor& m_health;
    const LoadEstimator& m_load;
    const NewFlowCounter& m_newFlows;
    Duration m_ramp;
};

}
