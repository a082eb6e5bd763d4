#include "targets/share_calculator.h"

#include "targets/target_state.h"

#include <algorithm>

namespace bergamotroute {

namespace {

    /// A target that has just become ready starts with this fraction of its share. It is above zero, so that a service
    /// works while all of its targets have just started.
    constexpr double minRampFactor = 0.02;

}

bool ShareCalculator::isServing(const TargetRecord& record, TimePoint now) const
{
    return record.announcement.state() == schema::READY && record.hasLease(now)
        && record.adminState == schema::BACKEND_READY && record.weightPercent > 0
        && m_store.service(record.info.service) != nullptr && !m_store.isDataCentreExcluded(record);
}

std::vector<const TargetRecord*> ShareCalculator::usableTargets(ServiceId service, TimePoint now) const
{
    std::vector<const TargetRecord*> serving;
    std::vector<const TargetRecord*> healthy;
    for (const auto& [id, record] : m_store.records()) {
        if (record.info.service != service || !isServing(record, now))
            continue;
        serving.push_back(&record);
        if (m_health.isHealthy(id, now))
            healthy.push_back(&record);
    }
    // If all targets fail their checks, the checks are more likely to be broken than all targets.
    return healthy.empty() ? serving : healthy;
}

double ShareCalculator::rampFactor(const TargetRecord& record, TimePoint now) const
{
    if (m_ramp <= Duration::zero())
        return 1;
    const double elapsed = static_cast<double>((now - record.warmUpSince).count());
    return std::clamp(elapsed / static_cast<double>(m_ramp.count()), minRampFactor, 1.0);
}

TargetShares ShareCalculator::shares(ServiceId service, TimePoint now) const
{
    std::vector<LoadCandidate> candidates;
    std::map<TargetId, double> base;
    for (const TargetRecord* record : usableTargets(service, now)) {
        const double capacity = capacityOf(*record);
        base[record->info.id] = capacity * rampFactor(*record, now);
        candidates.push_back({ record->info.id, capacity, 1 });
    }
    const std::map<TargetId, double> ratios = m_newFlows.ratios(base, now);
    for (LoadCandidate& candidate : candidates)
        candidate.newFlowRatio = ratios.at(candidate.target);
    const std::map<TargetId, double> corrections = m_load.corrections(candidates, now);
    TargetShares shares;
    for (const auto& [id, share] : base)
        shares[id] = share * corrections.at(id);
    return shares;
}

}
