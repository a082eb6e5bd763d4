#include "cookie/target_pool.h"

#include <algorithm>
#include <xxhash.h>

namespace bergamotroute {

namespace {

    /// Reports older than this do not describe the current load, whatever validity their sender states.
    constexpr Duration maxValidity { 10'000 };
    /// Time after the restart of a target for which reports may still describe its former incarnation.
    constexpr Duration formerEvidenceTime { 1000 };
    /// Time after which all entry hosts in touch know of a restart: a control host that hangs is left after 1.25 s.
    constexpr Duration restartPropagation { 1500 };

}

Cookie makeCookie(std::uint64_t targetNumber)
{
    constexpr std::uint64_t largest = UINT32_MAX;
    const std::uint64_t value
        = targetNumber <= largest ? targetNumber : XXH3_64bits(&targetNumber, sizeof(targetNumber));
    const auto cookie = static_cast<Cookie>(value & largest);
    return cookie == 0 ? 1 : cookie;
}

void TargetPool::update(const RegisteredTarget& registered, TimePoint now)
{
    const schema::TargetRecord& record = registered.record;
    std::unique_ptr<PooledTarget>& entry = m_targets[record.id()];
    const bool isNew = !entry;
    if (isNew)
        entry = std::make_unique<PooledTarget>();
    PooledTarget& target = *entry;
    const bool isRestart = !isNew && target.startTimeMs != record.born_ms();
    // A host that holds the former incarnation as gone resets packets with the same cookie.
    const bool wasGone = isNew ? record.restarted() : isRestart && target.phase == schema::TARGET_GONE;
    if (wasGone)
        target.restartKnownAt = now + restartPropagation;
    if (isRestart) {
        target.ownLoad = {};
        target.recurringFlows = 0;
        target.reachability.restart();
        target.avoidUntil = {};
        target.avoidCount = 0;
        target.capacity.restart(now + formerEvidenceTime);
    }
    const std::string previousService = target.service;
    std::error_code error;
    target.id = record.id();
    target.service = record.service();
    target.dataCentre = record.data_centre();
    target.dataCentreStopped = m_stoppedDataCentres.contains(target.dataCentre);
    target.endpoint = Endpoint::parse(record.endpoint(), error);
    target.number = m_targetNumberOf(record.id());
    target.cookie = makeCookie(target.number);
    target.slots = std::max(1U, record.slots());
    if (record.phase() == schema::TARGET_GONE && (isNew || target.phase != schema::TARGET_GONE))
        target.goneSince = now;
    target.phase = record.phase();
    target.silent = registered.silent;
    target.startTimeMs = record.born_ms();
    target.slowStartUntil = registered.slowStartUntil;
    if (isNew || previousService != target.service) {
        auto& previousTargets = m_byService[previousService];
        previousTargets.erase(
            std::remove(previousTargets.begin(), previousTargets.end(), &target), previousTargets.end());
        m_byService[target.service].push_back(&target);
    }
    m_cookiesStale = true;
}

void TargetPool::resolveCookieConflicts() const
{
    if (!std::exchange(m_cookiesStale, false))
        return;
    m_byCookie.clear();
    for (const auto& [id, target] : m_targets) {
        PooledTarget*& owner = m_byCookie[target->cookie];
        target->cookieTaken = false;
        if (!owner) {
            owner = target.get();
            continue;
        }
        // The same order on all hosts: a running target precedes one that is gone, then the earlier start decides.
        const bool ownerRuns = owner->phase != schema::TARGET_GONE;
        const bool targetRuns = target->phase != schema::TARGET_GONE;
        const bool isTargetPreferred = targetRuns != ownerRuns ? targetRuns : target->startTimeMs < owner->startTimeMs;
        PooledTarget* rejected = isTargetPreferred ? owner : target.get();
        owner = isTargetPreferred ? target.get() : owner;
        rejected->cookieTaken = true;
    }
}

bool TargetPool::setStoppedDataCentres(const schema::StoppedDataCentres& list, TimePoint now)
{
    if (!m_stoppedDataCentres.apply(list, now))
        return false;
    for (const auto& [id, target] : m_targets)
        target->dataCentreStopped = m_stoppedDataCentres.contains(target->dataCentre);
    return true;
}

std::uint32_t TargetPool::flowsAtStopped() const
{
    std::uint32_t flows = 0;
    if (m_stoppedDataCentres.isEmpty())
        return flows;
    for (const auto& [id, target] : m_targets)
        flows += target->dataCentreStopped ? target->ownLoad.openFlows : 0;
    return flows;
}

std::size_t TargetPool::stoppedTargetCount() const
{
    if (m_stoppedDataCentres.isEmpty())
        return 0;
    return static_cast<std::size_t>(std::count_if(m_targets.begin(), m_targets.end(),
        [](const auto& item) { return item.second->dataCentreStopped && item.second->phase != schema::TARGET_GONE; }));
}

void TargetPool::purgeGone(Duration after, TimePoint now)
{
    const auto isExpired = [after, now](const PooledTarget& target) {
        return target.phase == schema::TARGET_GONE && now - target.goneSince >= after;
    };
    for (auto& [service, targets] : m_byService)
        std::erase_if(targets, [&isExpired](const PooledTarget* target) { return isExpired(*target); });
    const std::size_t purgedCount
        = std::erase_if(m_targets, [&isExpired](const auto& item) { return isExpired(*item.second); });
    m_cookiesStale = m_cookiesStale || purgedCount > 0;
}

PooledTarget* TargetPool::findByCookie(Cookie cookie)
{
    resolveCookieConflicts();
    const auto found = m_byCookie.find(cookie);
    return found == m_byCookie.end() ? nullptr : found->second;
}

const std::vector<PooledTarget*>& TargetPool::targetsOf(const std::string& service) const
{
    resolveCookieConflicts();
    static const std::vector<PooledTarget*> none;
    const auto found = m_byService.find(service);
    return found == m_byService.end() ? none : found->second;
}

void TargetPool::applyReport(const Report& report, int sign, TimePoint now)
{
    for (const auto& [cookie, load] : report.loads) {
        PooledTarget* target = findByCookie(cookie);
        if (!target)
            continue;
        if (sign > 0) {
            target->reportedLoad.openFlows += load.openFlows;
            target->reportedLoad.requests += load.requests;
            if (load.requests > 0)
                target->lastRequest = now;
        } else {
            target->reportedLoad.openFlows -= std::min(target->reportedLoad.openFlows, load.openFlows);
            target->reportedLoad.requests -= std::min(target->reportedLoad.requests, load.requests);
        }
    }
    for (const Cookie cookie : report.unreachable) {
        PooledTarget* target = findByCookie(cookie);
        if (!target)
            continue;
        if (sign > 0)
            target->reachability.addReport();
        else
            target->reachability.removeReport();
    }
}

bool TargetPool::setReport(const schema::TargetLoadReport& report, bool isLocal, TimePoint now)
{
    Report& entry = m_reports[report.host()];
    if (report.sequence() <= entry.sequence && now < entry.validUntil)
        return false;
    applyReport(entry, -1, now);
    entry.validUntil = now + std::min(maxValidity, Duration(report.valid_ms()));
    entry.sequence = report.sequence();
    entry.loads.clear();
    const int count = std::min({ report.cookies_size(), report.open_flows_size(), report.requests_size() });
    for (int i = 0; i < count; ++i)
        entry.loads.emplace_back(report.cookies(i), ObservedLoad { report.open_flows(i), report.requests(i) });
    entry.unreachable.clear();
    if (isLocal && !report.overloaded())
        entry.unreachable.assign(report.unreachable_cookies().begin(), report.unreachable_cookies().end());
    applyReport(entry, 1, now);
    return true;
}

void TargetPool::expireReports(TimePoint now)
{
    for (auto report = m_reports.begin(); report != m_reports.end();) {
        if (now < report->second.validUntil) {
            ++report;
            continue;
        }
        applyReport(report->second, -1, now);
        report = m_reports.erase(report);
    }
}

schema::TargetLoadReport TargetPool::ownReport() const
{
    schema::TargetLoadReport report;
    for (const auto& [id, target] : m_targets) {
        if (target->reachability.isUnreachable())
            report.add_unreachable_cookies(target->cookie);
        if (target->ownLoad.openFlows == 0 && target->ownLoad.requests == 0)
            continue;
        report.add_cookies(target->cookie);
        report.add_open_flows(target->ownLoad.openFlows);
        report.add_requests(target->ownLoad.requests);
    }
    return report;
}

}
