#include "targets/load_estimator.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace bergamotroute {

namespace {

    /// A report counts fully up to this age and not at all at twice this age.
    constexpr Duration freshAge { 5'000 };
    /// Busy slots of a target with two or three slots jump by a third; their mean over this time is usable.
    constexpr double busySmoothingMs = 10'000;
    /// Load may differ by this much from the share of new flows before it counts as implausible in part.
    constexpr double trustBand = 0.2;
    /// Below this part of the share that our own counts give, a report of idleness is ignored altogether: either the
    /// report is wrong, or the target has just started and is filling up by itself.
    constexpr double implausiblyIdle = 0.6;
    /// Differences within the statistical noise of hashing are not corrected, because each correction moves buckets.
    constexpr double deadband = 0.1;
    /// A target that looks idle gains at half the rate at which a loaded target loses, because a wrong report of
    /// idleness harms the target and its callers, a wrong report of load only spreads flows over the others.
    constexpr double gainRate = 0.5;
    constexpr double minCorrection = 0.8;
    constexpr double maxCorrection = 1.2;
    /// Fewer open connections per target than this are too few to compare.
    constexpr double comparableConnections = 50;
    /// Time and number of reports without open connections after which a target counts as empty.
    constexpr Duration emptyTime { 3'000 };
    constexpr unsigned emptyReportsNeeded = 3;

    double median(std::vector<double> values)
    {
        if (values.empty())
            return 0;
        const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
        std::nth_element(values.begin(), middle, values.end());
        return *middle;
    }

    double ratioOrNeutral(double value, double reference) { return reference > 0 ? value / reference : 1; }

    /// Turns relative load into a factor for the share.
    double correctionFor(double load, double ownRatio)
    {
        if (load < implausiblyIdle * ownRatio)
            return 1;
        const double trusted = std::clamp(load, (1 - trustBand) * ownRatio, (1 + trustBand) * ownRatio);
        double correction = 1;
        if (trusted > 1 + deadband)
            correction = 1 / (trusted - deadband);
        else if (trusted < 1 - deadband)
            correction = 1 + gainRate * (1 - deadband - trusted);
        return std::clamp(correction, minCorrection, maxCorrection);
    }

}

bool LoadEstimator::handleReport(TargetId target, const schema::LoadReport& report, TimePoint now)
{
    const auto [item, isNew] = m_loads.try_emplace(target);
    Load& load = item->second;
    if (!isNew && report.time_ms() != 0 && report.time_ms() < load.report.time_ms())
        return false;
    if (isNew) {
        load.smoothedBusy = report.busy_slots() + report.queued();
        load.received = now;
    }
    smooth(load, report, now);
    load.report = report;
    load.received = now;
    load.clockOffset = now.time_since_epoch().count() - static_cast<std::int64_t>(report.time_ms());
    return true;
}

void LoadEstimator::smooth(Load& load, const schema::LoadReport& report, TimePoint now)
{
    const double elapsed = static_cast<double>((now - load.received).count());
    const double keep = std::exp(-elapsed / busySmoothingMs);
    load.smoothedBusy = keep * load.smoothedBusy + (1 - keep) * (report.busy_slots() + report.queued());
    if (report.open_connections() > 0) {
        load.emptySince = noDeadline;
        load.emptyReports = 0;
        return;
    }
    if (load.emptySince == noDeadline)
        load.emptySince = now;
    ++load.emptyReports;
}

const schema::LoadReport* LoadEstimator::latest(TargetId target) const
{
    const auto found = m_loads.find(target);
    return found == m_loads.end() ? nullptr : &found->second.report;
}

std::int64_t LoadEstimator::medianClockOffset() const
{
    std::vector<std::int64_t> offsets;
    offsets.reserve(m_loads.size());
    for (const auto& [id, load] : m_loads)
        offsets.push_back(load.clockOffset);
    const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
    std::nth_element(offsets.begin(), middle, offsets.end());
    return *middle;
}

std::optional<Duration> LoadEstimator::age(TargetId target, TimePoint now) const
{
    const auto found = m_loads.find(target);
    if (found == m_loads.end())
        return std::nullopt;
    const Load& load = found->second;
    const Duration sinceReceived = now - load.received;
    if (load.report.time_ms() == 0)
        return sinceReceived;
    const std::int64_t lag = std::max<std::int64_t>(0, load.clockOffset - medianClockOffset());
    return sinceReceived + Duration(lag);
}

double LoadEstimator::freshness(Duration age)
{
    const double excess = static_cast<double>((age - freshAge).count()) / static_cast<double>(freshAge.count());
    return std::clamp(1 - excess, 0.0, 1.0);
}

LoadEstimator::Density LoadEstimator::densityOf(const LoadCandidate& candidate, TimePoint now) const
{
    const std::optional<Duration> reportAge = age(candidate.target, now);
    if (!reportAge || candidate.capacity <= 0)
        return {};
    const Load& load = m_loads.at(candidate.target);
    return { load.report.open_connections() / candidate.capacity, load.smoothedBusy / candidate.capacity,
        freshness(*reportAge) };
}

std::map<TargetId, double> LoadEstimator::corrections(std::span<const LoadCandidate> candidates, TimePoint now) const
{
    std::vector<Density> densities;
    std::vector<double> open;
    std::vector<double> busy;
    std::vector<double> connections;
    for (const LoadCandidate& candidate : candidates) {
        const Density& density = densities.emplace_back(densityOf(candidate, now));
        if (density.weight <= 0)
            continue;
        open.push_back(density.open);
        busy.push_back(density.busy);
        connections.push_back(density.open * candidate.capacity);
    }
    const bool comparable = median(connections) >= comparableConnections;
    const double openReference = comparable ? median(open) : 0;
    const double busyReference = median(busy);
    std::map<TargetId, double> factors;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const Density& density = densities[i];
        const double load
            = (ratioOrNeutral(density.open, openReference) + ratioOrNeutral(density.busy, busyReference)) / 2;
        const double correction = correctionFor(load, candidates[i].newFlowRatio);
        factors[candidates[i].target] = 1 + density.weight * (correction - 1);
    }
    return factors;
}

bool LoadEstimator::isEmpty(TargetId target, TimePoint now) const
{
    const std::optional<Duration> reportAge = age(target, now);
    if (!reportAge || *reportAge > freshAge)
        return false;
    const Load& load = m_loads.at(target);
    return load.emptyReports >= emptyReportsNeeded && load.emptySince + emptyTime <= now;
}

}
