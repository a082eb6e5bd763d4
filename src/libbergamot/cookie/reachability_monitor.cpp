#include "cookie/reachability_monitor.h"

#include <algorithm>

namespace bergamotroute {

namespace {

    /// A target that has responded within this time is not suspected because another target is unreachable.
    constexpr Duration recentResponse { 200 };

}

void ReachabilityMonitor::suspect(PooledTarget& target, TimePoint now)
{
    if (target.reachability.isSuspected() || target.phase == schema::TARGET_GONE)
        return;
    target.reachability.suspect(now, target.isReportedFull());
    // A target whose suspicion has ended since the last prune() is still in the list.
    if (std::find(m_suspects.begin(), m_suspects.end(), &target) == m_suspects.end())
        m_suspects.push_back(&target);
}

void ReachabilityMonitor::suspectDataCentre(const PooledTarget& unreachable, TimePoint now)
{
    if (unreachable.dataCentre == m_dataCentre)
        return;
    for (const auto& [id, target] : m_pool.all()) {
        if (target->dataCentre == unreachable.dataCentre && now - target->reachability.lastResponse() >= recentResponse)
            suspect(*target, now);
    }
}

void ReachabilityMonitor::prune()
{
    std::erase_if(m_suspects, [](PooledTarget* target) {
        // If a target that is gone comes back, its reachability is unknown.
        if (target->phase == schema::TARGET_GONE)
            target->reachability.restart();
        return !target->reachability.isSuspected();
    });
}

const PooledTarget* ReachabilityMonitor::findReference(const PooledTarget& suspected) const
{
    const PooledTarget* reference = nullptr;
    for (const auto& [id, target] : m_pool.all()) {
        const bool isCandidate = target->dataCentre == suspected.dataCentre && target->phase == schema::TARGET_READY
            && !target->reachability.isSuspected();
        if (isCandidate && (!reference || target->reachability.lastResponse() > reference->reachability.lastResponse()))
            reference = target.get();
    }
    return reference;
}

std::vector<ProbeRequest> ReachabilityMonitor::takeProbes(TimePoint now)
{
    prune();
    std::vector<ProbeRequest> requests;
    for (PooledTarget* target : m_suspects) {
        if (!target->reachability.isProbeDue(now))
            continue;
        const PooledTarget* reference = target->reachability.wantsReference() ? findReference(*target) : nullptr;
        const ProbePlan plan = target->reachability.takeProbe(reference != nullptr);
        ProbeRequest request { target->id, target->endpoint, plan.timeout, std::nullopt };
        if (plan.needsReference)
            request.reference = reference->endpoint;
        requests.push_back(std::move(request));
    }
    return requests;
}

bool ReachabilityMonitor::handleOutcome(PooledTarget& target, ProbeOutcome outcome, TimePoint now)
{
    if (m_isOverloaded && (outcome == ProbeOutcome::NoAnswer || outcome == ProbeOutcome::Inconclusive)) {
        target.reachability.recordUnjudged(now);
        return false;
    }
    const bool isChanged = target.reachability.recordOutcome(outcome, now);
    // A network partition usually isolates a whole data centre, so its other targets are probed too.
    if (isChanged && target.reachability.isUnreachable() && outcome == ProbeOutcome::NoAnswer)
        suspectDataCentre(target, now);
    return isChanged;
}

}
