#include "cookie/target_pool.h"

#include <algorithm>
#include <xxhash.h>

namespace bergamotroute {

namespace {

    /// Reports older than this say nothing about the present load, whatever their sender says.
    constexpr Duration longestValidity { 10'000 };

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
    std::unique_ptr<PooledTarget>& slot = m_targets[record.id()];
    const bool isNew = !slot;
    if (isNew)
        slot = std::make_unique<PooledTarget>();
    PooledTarget& target = *slot;
    const bool isRestart = !isNew && target.bornMs != record.born_ms();
    if (isRestart) {
        target.own = {};
        target.suspected = false;
        target.unreachable = false;
        target.failedProbes = 0;
        target.avoidUntil = {};
        target.avoidances = 0;
    }
    const std::string formerService = target.service;
    std::error_code error;
    target.id = record.id();
    target.service = record.service();
    target.dataCentre = record.data_centre();
    target.endpoint = Endpoint::parse(record.endpoint(), error);
    target.number = m_numberOf(record.id());
    target.cookie = makeCookie(target.number);
    target.slots = std::max(1U, record.slots());
    if (record.phase() == schema::TARGET_GONE && (isNew || target.phase != schema::TARGET_GONE))
        target.goneSince = now;
    target.phase = record.phase();
    target.silent = registered.silent;
    target.bornMs = record.born_ms();
    target.coldUntil = registered.coldUntil;
    if (isNew || formerService != target.service) {
        auto& former = m_byService[formerService];
        former.erase(std::remove(former.begin(), former.end(), &target), former.end());
        m_byService[target.service].push_back(&target);
    }
    m_cookiesStale = true;
}

void TargetPool::resolveCookies()
{
    if (!std::exchange(m_cookiesStale, false))
        return;
    m_byCookie.clear();
    for (const auto& [id, target] : m_targets) {
        PooledTarget*& holder = m_byCookie[target->cookie];
        target->cookieTaken = false;
        if (!holder) {
            holder = target.get();
            continue;
        }
        // All hosts decide alike: a target that runs goes before one that is gone, then the one that started first.
        const bool holderRuns = holder->phase != schema::TARGET_GONE;
        const bool targetRuns = target->phase != schema::TARGET_GONE;
        const bool targetFirst = targetRuns != holderRuns ? targetRuns : target->bornMs < holder->bornMs;
        PooledTarget* second = targetFirst ? holder : target.get();
        holder = targetFirst ? target.get() : holder;
        second->cookieTaken = true;
    }
}

void TargetPool::forgetGone(Duration after, TimePoint now)
{
    const auto isForgotten = [after, now](const PooledTarget& target) {
        return target.phase == schema::TARGET_GONE && now - target.goneSince >= after;
    };
    for (auto& [service, targets] : m_byService)
        std::erase_if(targets, [&isForgotten](const PooledTarget* target) { return isForgotten(*target); });
    const std::size_t forgotten
        = std::erase_if(m_targets, [&isForgotten](const auto& item) { return isForgotten(*item.second); });
    m_cookiesStale = m_cookiesStale || forgotten > 0;
}

PooledTarget* TargetPool::findByCookie(Cookie cookie)
{
    resolveCookies();
    const auto found = m_byCookie.find(cookie);
    return found == m_byCookie.end() ? nullptr : found->second;
}

const std::vector<PooledTarget*>& TargetPool::targetsOf(const std::string& service)
{
    resolveCookies();
    static const std::vector<PooledTarget*> none;
    const auto found = m_byService.find(service);
    return found == m_byService.end() ? none : found->second;
}

void TargetPool::addReport(const Report& report, int sign)
{
    for (const auto& [cookie, load] : report.loads) {
        PooledTarget* target = findByCookie(cookie);
        if (!target)
            continue;
        if (sign > 0) {
            target->others.openFlows += load.openFlows;
            target->others.requests += load.requests;
        } else {
            target->others.openFlows -= std::min(target->others.openFlows, load.openFlows);
            target->others.requests -= std::min(target->others.requests, load.requests);
        }
    }
    for (const Cookie cookie : report.unreachable) {
        PooledTarget* target = findByCookie(cookie);
        if (target && (sign > 0 || target->unreachableReports > 0))
            target->unreachableReports += sign;
    }
}

void TargetPool::setReport(const schema::TargetLoadReport& report, bool isNear, TimePoint now)
{
    Report& slot = m_reports[report.host()];
    if (report.sequence() <= slot.sequence && now < slot.validUntil)
        return;
    addReport(slot, -1);
    slot.validUntil = now + std::min(longestValidity, Duration(report.valid_ms()));
    slot.sequence = report.sequence();
    slot.loads.clear();
    const int count = std::min({ report.cookies_size(), report.open_flows_size(), report.requests_size() });
    for (int i = 0; i < count; ++i)
        slot.loads.emplace_back(report.cookies(i), ObservedLoad { report.open_flows(i), report.requests(i) });
    slot.unreachable.clear();
    if (isNear)
        slot.unreachable.assign(report.unreachable_cookies().begin(), report.unreachable_cookies().end());
    addReport(slot, 1);
}

void TargetPool::expireReports(TimePoint now)
{
    for (auto report = m_reports.begin(); report != m_reports.end();) {
        if (now < report->second.validUntil) {
            ++report;
            continue;
        }
        addReport(report->second, -1);
        report = m_reports.erase(report);
    }
}

schema::TargetLoadReport TargetPool::ownReport() const
{
    schema::TargetLoadReport report;
    for (const auto& [id, target] : m_targets) {
        if (target->unreachable)
            report.add_unreachable_cookies(target->cookie);
        if (target->own.openFlows == 0 && target->own.requests == 0)
            continue;
        report.add_cookies(target->cookie);
        report.add_open_flows(target->own.openFlows);
        report.add_requests(target->own.requests);
    }
    return report;
}

}
