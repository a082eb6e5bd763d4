#include "cookie/placement.h"

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
    return m_options.idleFlowRequests * (target.own.openFlows + target.others.openFlows) / target.slots;
}

double Placement::meanNearIdleLoad(const std::vector<PooledTarget*>& targets) const
{
    double sum = 0;
    std::size_t count = 0;
    for (const PooledTarget* target : targets) {
        if (!isNear(*target) || !target->takesNewFlows())
            continue;
        sum += idleLoad(*target);
        ++count;
    }
    return count > 0 ? sum / static_cast<double>(count) : 0;
}

double Placement::costOf(const PooledTarget& target, double leastFarIdleLoad, TimePoint now) const
{
    const double requests = target.own.requests + target.others.requests;
    const double idle = isNear(target) ? idleLoad(target) : std::max(idleLoad(target), leastFarIdleLoad);
    double cost = requests / target.slots + idle + spreadOf(target);
    if (target.coldUntil > now)
        cost = cost * m_options.coldFactor + m_options.coldCost;
    if (!isNear(target))
        cost += m_options.remoteCost;
    if (target.silent)
        cost += m_options.silentCost;
    if (target.avoidUntil > now || target.unreachable || target.unreachableReports > 0)
        cost += m_options.avoidCost;
    return cost;
}

PlacementChoice Placement::choose(
    const std::vector<PooledTarget*>& targets, const PooledTarget* excluded, TimePoint now) const
{
    // Reports from other data centres are rare or missing; open flows that nobody reports must not draw flows there.
    const double leastFarIdleLoad = meanNearIdleLoad(targets);
    PlacementChoice best;
    PlacementChoice fallback;
    for (PooledTarget* target : targets) {
        if (!target->takesNewFlows())
            continue;
        const double cost = costOf(*target, leastFarIdleLoad, now);
        PlacementChoice& slot = target == excluded ? fallback : best;
        if (!slot.target || cost < slot.cost) {
            slot.target = target;
            slot.cost = cost;
        }
        ++best.candidates;
    }
    if (best.target)
        return best;
    fallback.candidates = best.candidates;
    return fallback;
}

}
