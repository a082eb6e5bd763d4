#include "targets/health_monitor.h"

#include <algorithm>
#include <tuple>
#include <xxhash.h>

namespace bergamotroute {

namespace {

    constexpr std::size_t maxCheckers = 3;
    constexpr unsigned unhealthyThreshold = 3;
    /// Two successful checks in a row are needed, so that a target that answers only every other check stays unhealthy.
    constexpr unsigned healthyThreshold = 2;
    /// A status that its checker has not repeated for this time no longer counts.
    constexpr Duration statusLifetime { 10'000 };
    /// A changed status is sent in this many heartbeats, because heartbeats may be lost.
    constexpr unsigned statusCopies = 4;
    /// Limits the size of a heartbeat. If more targets have a status to send, heartbeats carry them in rotation.
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
    for (auto& [id, health] : m_targets)
        assignCheckers(id, health);
}

void HealthMonitor::assignCheckers(TargetId target, TargetHealth& health) const
{
    using Candidate = std::tuple<bool, std::uint64_t, HostIndex>;
    std::vector<Candidate> candidates;
    for (const MemberView& member : m_view.members) {
        if (member.state == schema::MEMBER_READY)
            candidates.emplace_back(
                member.dataCentre == health.dataCentre, rendezvousScore(target, member), member.index);
    }
    std::sort(candidates.rbegin(), candidates.rend());
    health.checkers.clear();
    for (const Candidate& candidate : candidates) {
        if (health.checkers.size() < maxCheckers)
            health.checkers.push_back(std::get<HostIndex>(candidate));
    }
}

bool HealthMonitor::isChecker(const TargetHealth& health) const
{
    return std::find(health.checkers.begin(), health.checkers.end(), m_view.self) != health.checkers.end();
}

void HealthMonitor::addTarget(TargetId target, std::string_view dataCentre, TimePoint now)
{
    TargetHealth& health = m_targets[target];
    if (health.nextCheck != noDeadline && health.dataCentre == dataCentre)
        return;
    health.dataCentre = dataCentre;
    // Spreads the checks of different targets over the interval.
    health.nextCheck = now + Duration(target % std::max<Duration::rep>(1, m_interval.count()));
    assignCheckers(target, health);
}

void HealthMonitor::removeTarget(TargetId target) { m_targets.erase(target); }

std::vector<TargetId> HealthMonitor::targets() const
{
    std::vector<TargetId> ids;
    ids.reserve(m_targets.size());
    for (const auto& [id, health] : m_targets)
        ids.push_back(id);
    return ids;
}

std::vector<TargetId> HealthMonitor::takeDueTargets(TimePoint now)
{
    std::vector<TargetId> targets;
    for (auto& [id, health] : m_targets) {
        if (health.nextCheck > now)
            continue;
        // Waits at least half an interval, so that a late call does not cause a burst of checks.
        health.nextCheck = std::max(health.nextCheck + m_interval, now + m_interval / 2);
        if (isChecker(health))
            targets.push_back(id);
    }
    return targets;
}

void HealthMonitor::handleResult(TargetId target, bool healthy, TimePoint now)
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end())
        return;
    TargetHealth& health = found->second;
    health.failures = healthy ? 0 : health.failures + 1;
    health.successes = healthy ? health.successes + 1 : 0;
    CheckerStatus& ownStatus = health.checkerStatuses[m_view.self];
    ownStatus.at = now;
    const bool fails = ownStatus.healthy && health.failures >= unhealthyThreshold;
    const bool recovers = !ownStatus.healthy && health.successes >= healthyThreshold;
    if (!fails && !recovers)
        return;
    ownStatus.healthy = recovers;
    health.copiesToSend = statusCopies;
}

void HealthMonitor::handleStatus(HostIndex from, TargetId target, bool healthy, TimePoint now)
{
    const auto found = m_targets.find(target);
    if (found != m_targets.end())
        found->second.checkerStatuses[from] = { healthy, now };
}

std::vector<schema::TargetStatus> HealthMonitor::takeStatuses()
{
    std::vector<schema::TargetStatus> statuses;
    const auto visit = [this, &statuses](TargetId id, TargetHealth& health) {
        const auto own = health.checkerStatuses.find(m_view.self);
        if (own == health.checkerStatuses.end() || !isChecker(health) || statuses.size() >= maxStatusesPerHeartbeat)
            return;
        if (own->second.healthy && health.copiesToSend == 0)
            return;
        health.copiesToSend -= health.copiesToSend > 0 ? 1 : 0;
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

bool HealthMonitor::isFailing(const TargetHealth& health, HostIndex checker, TimePoint now) const
{
    const auto found = health.checkerStatuses.find(checker);
    return found != health.checkerStatuses.end() && !found->second.healthy && found->second.at + statusLifetime > now;
}

bool HealthMonitor::isHealthy(TargetId target, TimePoint now) const
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end())
        return true;
    const TargetHealth& health = found->second;
    const auto failing = std::count_if(health.checkers.begin(), health.checkers.end(),
        [&](HostIndex checker) { return isFailing(health, checker, now); });
    return static_cast<std::size_t>(failing) * 2 <= health.checkers.size();
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
    for (const auto& [id, health] : m_targets)
        next = std::min(next, health.nextCheck);
    return next;
}

}
