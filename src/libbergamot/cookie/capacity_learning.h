#pragma once

/// @file
/// Learned capacity of the targets of one entry host: connects response samples and the evidence in load reports with
/// the targets of the pool; docs/design/learned_capacity.md.

#include "bergamotroute/cookie_steering.h"
#include "capacity/capacity_exchange.h"
#include "capacity/response_samples.h"
#include "cookie/target_pool.h"

#include <string>
#include <vector>

namespace bergamotroute {

class CapacityLearning {
public:
    /// @param pool must outlive the object.
    /// @param host name of this entry host.
    CapacityLearning(TargetPool& pool, const std::string& host, std::string dataCentre)
        : m_pool(pool)
        , m_dataCentre(dataCentre)
        , m_hosts(host, std::move(dataCentre))
    {
    }

    ResponseSamples& samples() { return m_samples; }
    const ResponseSamples& samples() const { return m_samples; }

    /// Applies the evidence in a load report of another entry host.
    /// @param isLocal that host is in the data centre of this host.
    void handleReport(const schema::TargetLoadReport& report, bool isLocal, TimePoint now);

    /// Replaces the evidence in a report by that on the targets with new evidence of this host.
    /// @param since time from which on evidence is new.
    void setEvidence(schema::TargetLoadReport& report, TimePoint since, TimePoint now) const;

    /// Chooses a slow target that is to get the next flow, because it has had no request for a while and would
    /// otherwise not be seen to be well again. Each flow is chosen for this with a probability of 1 in 5.
    /// @param targets targets of the flow's service.
    /// @param flowHash decides whether the flow is chosen.
    /// @return null if the flow is to be placed by cost.
    PooledTarget* chooseForMinimumTraffic(
        const std::vector<PooledTarget*>& targets, std::uint64_t flowHash, TimePoint now) const;

    CapacitySummary summary() const;
    schema::TargetCapacityPage describeTargets(TimePoint now) const;

    /// Brings the estimates of all targets up to date and forgets hosts and routes; to be called a few times per
    /// second.
    void advance(TimePoint now);

private:
    bool needsMinimumTraffic(const PooledTarget& target, TimePoint now) const;

    TargetPool& m_pool;
    std::string m_dataCentre;
    ResponseSamples m_samples;
    EvidenceHosts m_hosts;
};

}
