#include "cookie/capacity_learning.h"

#include <algorithm>

namespace bergamotroute {

namespace {

    /// Time without a request after which a slow target gets the next flow with a probability of 1 in 5. At 20 flows
    /// per second and host, that takes 0.25 s on average, so that a target that is well again is found within 1 to 2 s.
    constexpr Duration maxIdleTime { 1000 };
    constexpr std::uint64_t minimumTrafficShare = 5;

}

void CapacityLearning::handleReport(const schema::TargetLoadReport& report, bool isLocal, TimePoint now)
{
    const EvidenceHost host = m_hosts.note(report, now);
    forEachEvidence(report, [this, host, isLocal, now](Cookie cookie, const CapacityEvidence& evidence) {
        PooledTarget* target = m_pool.findByCookie(cookie);
        if (!target || target->slowStartUntil > now)
            return;
        target->capacity.setReported(host, evidence, isLocal, now);
        // Evidence of other data centres has little weight and comes from many hosts; advance() evaluates it.
        if (isLocal)
            target->capacity.refresh(target->slots, now);
    });
}

void CapacityLearning::setEvidence(schema::TargetLoadReport& report, TimePoint since, TimePoint now) const
{
    clearEvidence(report);
    for (const auto& [id, target] : m_pool.all()) {
        if (!target->capacity.hasOwnEvidenceSince(since))
            continue;
        if (const auto evidence = target->capacity.ownEvidence(target->slots, now))
            addEvidence(report, target->cookie, *evidence);
    }
}

bool CapacityLearning::needsMinimumTraffic(const PooledTarget& target, TimePoint now) const
{
    return target.dataCentre == m_dataCentre && target.takesNewFlows() && !target.silent && target.avoidUntil <= now
        && !target.reachability.isUnreachable() && !target.reachability.isReported()
        && target.capacity.slowness() > slowTarget && now - target.lastRequest >= maxIdleTime && !target.isAtLimit()
        && m_hosts.isTesterOf(target.number);
}

PooledTarget* CapacityLearning::chooseForMinimumTraffic(
    const std::vector<PooledTarget*>& targets, std::uint64_t flowHash, TimePoint now) const
{
    if (flowHash % minimumTrafficShare != 0)
        return nullptr;
    PooledTarget* chosen = nullptr;
    for (PooledTarget* target : targets) {
        if (needsMinimumTraffic(*target, now) && (!chosen || target->lastRequest < chosen->lastRequest))
            chosen = target;
    }
    return chosen;
}

CapacitySummary CapacityLearning::summary() const
{
    CapacitySummary summary;
    for (const auto& [id, target] : m_pool.all()) {
        if (!target->takesNewFlows())
            continue;
        summary.maxSlowness = std::max(summary.maxSlowness, target->capacity.slowness());
        summary.slowTargets += target->capacity.slowness() > slowTarget ? 1 : 0;
        summary.limitedTargets += target->capacity.limit() ? 1 : 0;
    }
    const SampleCounters& counters = m_samples.counters();
    summary.samples = counters.samples;
    summary.refusals = counters.refusals;
    summary.droppedOverloaded = counters.droppedOverloaded;
    summary.droppedAmbiguous = counters.droppedAmbiguous;
    return summary;
}

schema::TargetCapacityPage CapacityLearning::describeTargets(TimePoint now) const
{
    schema::TargetCapacityPage page;
    for (const auto& [id, target] : m_pool.all()) {
        if (!target->takesNewFlows())
            continue;
        const CapacityEstimate& estimate = target->capacity;
        schema::TargetCapacityState& state = *page.add_targets();
        state.set_target(id);
        state.set_service(target->service);
        state.set_data_centre(target->dataCentre);
        state.set_slots(target->slots);
        state.set_requests(target->requests());
        state.set_slowness(estimate.slowness());
        state.set_evidence(estimate.evidence());
        if (estimate.limit())
            state.set_limit(*estimate.limit());
        if (estimate.lastEvidence())
            state.set_evidence_age_ms(static_cast<std::uint32_t>((now - *estimate.lastEvidence()).count()));
    }
    return page;
}

void CapacityLearning::advance(TimePoint now)
{
    for (const auto& [id, target] : m_pool.all())
        target->capacity.refresh(target->slots, now);
    m_hosts.expire(now);
    m_samples.expire(now);
}

}
