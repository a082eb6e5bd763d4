#include "targets/new_flow_counter.h"

#include <algorithm>

namespace bergamotroute {

namespace {

    constexpr std::int64_t halfWindowMs = 5'000;
    /// Weight, in flows, of the prior assumption that a target gets its desired share. A count of 200 flows has a
    /// standard deviation of 7%, well within the 20% by which a load report may deviate.
    constexpr double priorFlows = 200;

    std::int64_t windowOf(TimePoint now) { return now.time_since_epoch().count() / halfWindowMs; }

}

void NewFlowCounter::count(TargetId target, TimePoint now)
{
    Counts& counts = m_counts[target];
    const std::int64_t window = windowOf(now);
    if (window != counts.window) {
        counts.previous = window == counts.window + 1 ? counts.recent : 0;
        counts.recent = 0;
        counts.window = window;
    }
    ++counts.recent;
    ++counts.total;
}

std::uint32_t NewFlowCounter::countInWindow(const Counts& counts, TimePoint now)
{
    const std::int64_t window = windowOf(now);
    if (window == counts.window)
        return counts.recent + counts.previous;
    return window == counts.window + 1 ? counts.recent : 0;
}

std::map<TargetId, double> NewFlowCounter::ratios(const std::map<TargetId, double>& shares, TimePoint now) const
{
    double shareTotal = 0;
    double flowTotal = 0;
    std::map<TargetId, double> flows;
    for (const auto& [id, share] : shares) {
        const auto found = m_counts.find(id);
        flows[id] = found == m_counts.end() ? 0 : countInWindow(found->second, now);
        flowTotal += flows[id];
        shareTotal += share;
    }
    std::map<TargetId, double> result;
    for (const auto& [id, share] : shares) {
        const double expected = shareTotal > 0 ? flowTotal * share / shareTotal : 0;
        result[id] = (flows[id] + priorFlows) / (expected + priorFlows);
    }
    return result;
}

std::uint64_t NewFlowCounter::total(TargetId target) const
{
    const auto found = m_counts.find(target);
    return found == m_counts.end() ? 0 : found->second.total;
}

}
