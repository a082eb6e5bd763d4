#include "targets/health_monitor.h"

#include <algorithm>
#include <tuple>
#include <xxhash.h>

namespace bergamotroute {

namespace {

    constexpr std::size_t maxCheckers = 3;
    constexpr unsigned failuresToUnhealthy = 3;
    /// Two good checks in a row end a failure, so that a target that answers every other check stays out.
    constexpr unsigned successesToHealthy = 2;
    /// A verdict that its checker has not repeated for this time no longer counts.
    constexpr Duration verdictLifetime { 10'000 };
    /// A changed verdict is sent in this many heartbeats because heartbeats may be lost.
    constexpr unsigned verdictCopies = 4;
    /// Bounds the heartbeat: failing targets beyond this number take turns.
    constexpr std::size_t maxStatusesPerHeartbeat = 4;

    std::uint64_t rendezvousScore(TargetId target, const MemberView& member)
    {
        return XXH3_64bits_withSeed(member.host.data(), member.host.size(), target);
    }

}

HealthMonitor::HealthMonitor(Duration interval)
    : m_interval(interval)
{
}

void HealthMonitor::handleView(const MembershipView& view)
{
    m_view = view;
    for (auto& [id, watched] : m_targets)
        assign(id, watched);
}

void HealthMonitor::assign(TargetId target, Watched& watched) const
{
    using Candidate = std::tuple<bool, std::uint64_t, HostIndex>;
    std::vector<Candidate> candidates;
    for (const MemberView& member : m_view.members) {
        if (member.state == schema::MEMBER_READY)
            candidates.emplace_back(
                member.dataCentre == watched.dataCentre, rendezvousScore(target, member), member.index);
    }
    std::sort(candidates.rbegin(), candidates.rend());
    watched.checkers.clear();
    for (const Candidate& candidate : candidates) {
        if (watched.checkers.size() < maxCheckers)
            watched.checkers.push_back(std::get<HostIndex>(candidate));
    }
}

bool HealthMonitor::isChecker(const Watched& watched) const
{
    return std::find(watched.checkers.begin(), watched.checkers.end(), m_view.self) != watched.checkers.end();
}

void HealthMonitor::watch(TargetId target, std::string_view dataCentre, TimePoint now)
{
    Watched& watched = m_targets[target];
    if (watched.nextCheck != noDeadline && watched.dataCentre == dataCentre)
        return;
    watched.dataCentre = dataCentre;
    // Checks of different targets are spread over the interval.
    watched.nextCheck = now + Duration(target % std::max<Duration::rep>(1, m_interval.count()));
    assign(target, watched);
}

void HealthMonitor::forget(TargetId target) { m_targets.erase(target); }

std::vector<TargetId> HealthMonitor::targets() const
{
    std::vector<TargetId> ids;
    ids.reserve(m_targets.size());
    for (const auto& [id, watched] : m_targets)
        ids.push_back(id);
    return ids;
}

std::vector<TargetId> HealthMonitor::due(TimePoint now)
{
    std::vector<TargetId> targets;
    for (auto& [id, watched] : m_targets) {
        if (watched.nextCheck > now)
            continue;
        // A late call does not cause a burst of checks.
        watched.nextCheck = std::max(watched.nextCheck + m_interval, now + m_interval / 2);
        if (isChecker(watched))
            targets.push_back(id);
    }
    return targets;
}

void HealthMonitor::handleResult(TargetId target, bool healthy, TimePoint now)
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end())
        return;
    Watched& watched = found->second;
    watched.failures = healthy ? 0 : watched.failures + 1;
    watched.successes = healthy ? watched.successes + 1 : 0;
    Verdict& verdict = watched.verdicts[m_view.self];
    verdict.at = now;
    const bool fails = verdict.healthy && watched.failures >= failuresToUnhealthy;
    const bool recovers = !verdict.healthy && watched.successes >= successesToHealthy;
    if (!fails && !recovers)
        return;
    verdict.healthy = recovers;
    watched.copiesToSend = verdictCopies;
}

void HealthMonitor::handleStatus(HostIndex from, TargetId target, bool healthy, TimePoint now)
{
    const auto found = m_targets.find(target);
    if (found != m_targets.end())
        found->second.verdicts[from] = { healthy, now };
}

std::vector<schema::TargetStatus> HealthMonitor::takeStatuses()
{
    std::vector<schema::TargetStatus> statuses;
    const auto visit = [this, &statuses](TargetId id, Watched& watched) {
        const auto own = watched.verdicts.find(m_view.self);
        if (own == watched.verdicts.end() || !isChecker(watched) || statuses.size() >= maxStatusesPerHeartbeat)
            return;
        if (own->second.healthy && watched.copiesToSend == 0)
            return;
        watched.copiesToSend -= watched.copiesToSend > 0 ? 1 : 0;
        schema::TargetStatus status;
        status.set_target_id(id);
        status.set_healthy(own->second.healthy);
        statuses.push_back(status);
        m_lastSent = id;
    };
    const auto start = m_targets.upper_bound(m_lastSent);
    for (auto item = start; item != m_targets.end(); ++item)
        visit(item->first, item->second);
    for (auto item = m_targets.begin(); item != start; ++item)
        visit(item->first, item->second);
    return statuses;
}

bool HealthMonitor::isFailing(const Watched& watched, HostIndex checker, TimePoint now) const
{
    const auto found = watched.verdicts.find(checker);
    return found != watched.verdicts.end() && !found->second.healthy && found->second.at + verdictLifetime > now;
}

bool HealthMonitor::isHealthy(TargetId target, TimePoint now) const
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end())
        return true;
    const Watched& watched = found->second;
    const auto failing = std::count_if(watched.checkers.begin(), watched.checkers.end(),
        [&](HostIndex checker) { return isFailing(watched, checker, now); });
    return static_cast<std::size_t>(failing) * 2 <= watched.checkers.size();
}

bool HealthMonitor::isLoadReporter(TargetId target, TimePoint now) const
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end())
        return false;
    for (const HostIndex checker : found->second.checkers) {
        if (!isFailing(found->second, checker, now))
            return checker == m_view.self;
    }
    return false;
}

TimePoint HealthMonitor::nextDeadline() const
{
    TimePoint next = noDeadline;
    for (const auto& [id, watched] : m_targets)
        next = std::min(next, watched.nextCheck);
    return next;
}

}
