#pragma once

/// @file
/// Selection of the targets that get new flows, and the desired share of each.

#include "targets/health_monitor.h"
#include "targets/load_estimator.h"
#include "targets/new_flow_counter.h"
#include "targets/table_planner.h"
#include "targets/target_store.h"

namespace bergamotroute {

/// Computes the desired share of a usable target: slots x operator weight x ramp factor x load correction.
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

    /// @return true if the target may get new flows by its announced state, lease, operator's settings, service and
    /// data centre, regardless of its health.
    bool isServing(const TargetRecord& record, TimePoint now) const;

    /// @return desired shares of the usable targets of a service.
    TargetShares shares(ServiceId service, TimePoint now) const;

    /// @return targets of a service that get new flows: the serving targets that are healthy, or all serving targets if
    /// none is healthy.
    std::vector<const TargetRecord*> usableTargets(ServiceId service, TimePoint now) const;

    /// @return fraction of its full share that the target gets while it warms up, above 0 and at most 1.
    double rampFactor(const TargetRecord& record, TimePoint now) const;

private:
    const TargetStore& m_store;
    const HealthMonitor& m_health;
    const LoadEstimator& m_load;
    const NewFlowCounter& m_newFlows;
    Duration m_ramp;
};

}
