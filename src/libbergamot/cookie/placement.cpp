#include "cookie/placement.h"

#include "cookie/slow_start_limit.h"

#include <algorithm>
#include <xxhash.h>

namespace bergamotroute {

Placement::Placement(PlacementOptions options, std::string host, std::string dataCentre)
    : m_options(options)
    , m_dataCentre(std::move(dataCentre))
    , m_seed(XXH3_64bits(host.data(), host.size()))
{
}

double Placement::spreadOf(const PooledTarget& target) const
{
    constexpr double scale = 1.0 / 4294967296.0;
    const std::uint64_t hash = XXH3_64bits_withSeed(&target.number, sizeof(target.number), m_seed);
    return static_cast<double>(hash >> 32) * scale * m_options.spreadCost;
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

double Placement::costOf(const PooledTarget& target, double minRemoteIdleLoad, bool isLimited, TimePoint now) const
{
    const double requests = target.ownLoad.requests + target.reportedLoad.requests;
    const double idle = isLocal(target) ? idleLoad(target) : std::max(idleLoad(target), minRemoteIdleLoad);
    double cost = requests / target.slots + idle + spreadOf(target);
    // Under a limit only the owner places flows on a target in slow start, so there is no herd to keep away: what
    // counts is that a request waits longer behind others.
    if (isLimited)
        cost += (m_options.slowStartFactor - 1) * requests / target.slots + m_options.slowStartCost;
    else if (target.slowStartUntil > now)
        cost = cost * m_options.slowStartFactor + m_options.slowStartCost;
    if (!isLocal(target))
        cost += m_options.remoteCost;
    if (target.silent)
        cost += m_options.silentCost;
    if (target.avoidUntil > now || target.reachability.isUnreachable() || target.reachability.isReported())
        cost += m_options.avoidCost;
    return cost;
}

PlacementChoice Placement::choose(
    const std::vector<PooledTarget*>& targets, const PooledTarget* excluded, TimePoint now) const
{
    // Reports from other data centres are infrequent or missing. Without this lower bound, remote targets whose open
    // flows nobody reports would seem idle and attract new flows.
    const double minRemoteIdleLoad = meanLocalIdleLoad(targets);
    PlacementChoice best;
    PlacementChoice fallback;
    for (PooledTarget* target : targets) {
        if (!target->takesNewFlows())
            continue;
        const bool isLimited = m_slowStartLimit && m_slowStartLimit->isLimited(*target, now);
        if (isLimited && !m_slowStartLimit->permits(*target, now)) {
            ++best.notPermitted;
            continue;
        }
        double cost = costOf(*target, minRemoteIdleLoad, isLimited, now);
        if (excluded && now - target->reachability.lastResponse() >= m_options.provenFor)
            cost += m_options.unprovenCost;
        PlacementChoice& selected = target == excluded ? fallback : best;
        if (!selected.target || cost < selected.cost) {
            selected.target = target;
            selected.cost = cost;
        }
        ++best.candidates;
    }
    if (best.target)
        return best;
    fallback.candidates = best.candidates;
    fallback.notPermitted = best.notPermitted;
    return fallback;
}

}
