#include "cookie/placement.h"

#include "cookie/slow_start_limit.h"
#include "cookie/target_groups.h"

#include <algorithm>
#include <xxhash.h>

namespace bergamotroute {

namespace {

    /// @return a number from 0 to 1 (exclusive).
    double uniformHash(std::uint64_t number, std::uint64_t seed)
    {
        constexpr double scale = 1.0 / 4294967296.0;
        return static_cast<double>(XXH3_64bits_withSeed(&number, sizeof(number), seed) >> 32) * scale;
    }

}

Placement::Placement(PlacementOptions options, std::string host, std::string dataCentre)
    : m_options(options)
    , m_dataCentre(std::move(dataCentre))
    , m_seed(XXH3_64bits(host.data(), host.size()))
{
}

bool Placement::hasGroups() const { return m_targetGroups && m_targetGroups->isActive(); }

double Placement::spreadOf(const PooledTarget& target) const
{
    return uniformHash(target.number, m_seed) * m_options.spreadCost;
}

Placement::SampleShares Placement::sampleShares(const std::vector<PooledTarget*>& targets) const
{
    std::size_t localCount = 0;
    std::size_t remoteCount = 0;
    std::size_t disturbedCount = 0;
    for (const PooledTarget* target : targets) {
        if (!target->takesNewFlows())
            continue;
        ++(isLocal(*target) ? localCount : remoteCount);
        disturbedCount += target->capacity.limit() || target->capacity.slowness() > slowTarget ? 1 : 0;
    }
    const double disturbedShare
        = static_cast<double>(disturbedCount) / static_cast<double>(std::max<std::size_t>(1, localCount + remoteCount));
    if (disturbedShare < m_options.disturbedShare && !hasGroups())
        return {};
    // A host without a local target, as during an evacuation, compares as many of the others.
    if (localCount == 0)
        return { 1, m_options.sampledLocalTargets / static_cast<double>(std::max<std::size_t>(1, remoteCount)) };
    return { m_options.sampledLocalTargets / static_cast<double>(localCount),
        m_options.sampledRemoteTargets / static_cast<double>(std::max<std::size_t>(1, remoteCount)) };
}

double Placement::idleLoad(const PooledTarget& target) const
{
    return m_options.idleFlowRequests * (target.ownLoad.openFlows + target.reportedLoad.openFlows) / target.slots;
}

double Placement::meanLocalIdleLoad(const std::vector<PooledTarget*>& targets) const
{
    double sum = 0;
    std::size_t count = 0;
    for (const PooledTarget* target : targets) {
        if (!isLocal(*target) || !target->takesNewFlows())
            continue;
        sum += idleLoad(*target);
        ++count;
    }
    return count > 0 ? sum / static_cast<double>(count) : 0;
}

bool Placement::isAvoided(const PooledTarget& target, TimePoint now) const
{
    return target.avoidUntil > now || target.restartKnownAt > now || target.reachability.isUnreachable()
        || target.reachability.isReported();
}

TargetCost Placement::costOf(const PooledTarget& target, double minRemoteIdleLoad, bool isLimited, TimePoint now) const
{
    const double requests = target.requests();
    const double idle = isLocal(target) ? idleLoad(target) : std::max(idleLoad(target), minRemoteIdleLoad);
    // The expected time at the target in units of a typical one's; equal to the requests per slot if it is typical.
    const double slowness = target.capacity.slowness();
    TargetCost cost;
    cost.requests = requests / target.slots;
    cost.extraTime = (slowness - 1) * (requests + 1) / target.slots;
    cost.idleFlows = idle * slowness;
    cost.spread = spreadOf(target);
    const double load = cost.requests + cost.extraTime + cost.idleFlows + cost.spread;
    // Under a limit only the owner places flows on a target in slow start, so there is no herd to keep away: what
    // counts is that a request waits longer behind others.
    if (isLimited)
        cost.slowStart = (m_options.slowStartFactor - 1) * cost.requests + m_options.slowStartCost;
    else if (target.slowStartUntil > now)
        cost.slowStart = load * (m_options.slowStartFactor - 1) + m_options.slowStartCost;
    if (!isLocal(target))
        cost.remote = m_options.remoteCost;
    if (hasGroups() && !isOwn(target, isLimited))
        cost.otherGroup = m_options.otherGroupCost;
    if (target.silent)
        cost.silent = m_options.silentCost;
    if (isAvoided(target, now) || target.isAtLimit())
        cost.avoided = m_options.avoidCost;
    cost.total = load + cost.slowStart + cost.remote + cost.otherGroup + cost.silent + cost.avoided;
    return cost;
}

PlacementChoice Placement::choose(const std::vector<PooledTarget*>& targets, const PooledTarget* excluded,
    TimePoint now, std::uint64_t flowHash, std::vector<WeighedTarget>* weighed) const
{
    const SampleShares shares = sampleShares(targets);
    // Reports from other data centres are infrequent or missing. Without this lower bound, remote targets whose open
    // flows nobody reports would seem idle and attract new flows.
    const double minRemoteIdleLoad = meanLocalIdleLoad(targets);
    PlacementChoice best;
    PlacementChoice fallback;
    bool isAnyAtLimit = false;
    bool hasRoom = false;
    for (PooledTarget* target : targets) {
        if (!target->takesNewFlows())
            continue;
        const bool isLimited = m_slowStartLimit && m_slowStartLimit->isLimited(*target, now);
        if (isLimited && !m_slowStartLimit->permits(*target, now)) {
            ++best.notPermitted;
            continue;
        }
        TargetCost cost = costOf(*target, minRemoteIdleLoad, isLimited, now);
        const double share = isLocal(*target) ? shares.local : shares.remote;
        const bool isAlwaysCompared = hasGroups() && isOwn(*target, isLimited);
        if (!isAlwaysCompared && uniformHash(target->number, flowHash) >= share)
            cost.unsampled = m_options.unsampledCost;
        if (excluded && now - target->reachability.lastResponse() >= m_options.provenFor)
            cost.unproven = m_options.unprovenCost;
        cost.total += cost.unsampled + cost.unproven;
        if (weighed)
            weighed->push_back({ target, cost });
        PlacementChoice& selected = target == excluded ? fallback : best;
        if (!selected.target || cost.total < selected.cost) {
            selected.target = target;
            selected.cost = cost.total;
        }
        ++best.candidates;
        isAnyAtLimit = isAnyAtLimit || target->isAtLimit();
        hasRoom = hasRoom || (!target->isAtLimit() && !isAvoided(*target, now));
    }
    best.allAtLimit = isAnyAtLimit && !hasRoom;
    if (best.target)
        return best;
    fallback.candidates = best.candidates;
    fallback.notPermitted = best.notPermitted;
    fallback.allAtLimit = best.allAtLimit;
    return fallback;
}

}
