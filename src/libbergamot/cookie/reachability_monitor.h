#pragma once

/// @file
/// Watches which targets of a pool this host can reach: collects the suspected ones, plans their probes, and extends
/// suspicion to a whole data centre when a target of another data centre does not answer.

#include "bergamotroute/clock.h"
#include "bergamotroute/cookie_steering.h"
#include "cookie/target_pool.h"

#include <string>
#include <vector>

namespace bergamotroute {

class ReachabilityMonitor {
public:
    /// @param pool must outlive the monitor.
    /// @param dataCentre data centre of this host.
    ReachabilityMonitor(TargetPool& pool, std::string dataCentre)
        : m_pool(pool)
        , m_dataCentre(std::move(dataCentre))
    {
    }

    /// Sets whether this host is overloaded. It then judges no target by silence.
    void setOverloaded(bool isOverloaded) { m_isOverloaded = isOverloaded; }

    /// Has a target probed because packets to it got no response; has no effect on one that is gone.
    void suspect(PooledTarget& target, TimePoint now);

    /// @return probes that are due now. Each target has one probe open at a time.
    std::vector<ProbeRequest> takeProbes(TimePoint now);

    /// @return true if the outcome changes whether the target counts as reachable.
    bool handleOutcome(PooledTarget& target, ProbeOutcome outcome, TimePoint now);

    /// Forgets the targets that are no longer suspected or are gone; to be called before the pool removes targets.
    void prune();

private:
    const PooledTarget* findReference(const PooledTarget& suspected) const;
    void suspectDataCentre(const PooledTarget& unreachable, TimePoint now);

    TargetPool& m_pool;
    std::string m_dataCentre;
    std::vector<PooledTarget*> m_suspects;
    bool m_isOverloaded = false;
};

}
