#include "targets/load_estimator.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

namespace bergamotroute {

namespace {

    /// A report has full weight up to this age. The weight then falls linearly to zero at twice this age.
    constexpr Duration freshAge { 5'000 };
    /// Time constant for busy slots. It is long because the number of busy slots of a target with two or three slots
    /// varies by 70% of its mean from report to report.
    constexpr double busyTimeConstantMs = 60'000;
    /// Reported load is clamped to within this fraction of the load expected from new flows; more is not plausible.
    constexpr double maxTrustedDeviation = 0.2;
    /// A report of load below this fraction of the load expected from new flows is ignored: either the report is wrong,
    /// or the target has just started and its load is still growing.
    constexpr double minPlausibleLoad = 0.6;
    /// Differences within three standard errors are noise, and the deadband adds a few percent that are too small to
    /// justify moving buckets. With a fixed deadband of 10% instead, noise alone moved 70 buckets in two minutes.
    constexpr double noiseStandardErrors = 3;
    constexpr double openDeadband = 0.05;
    constexpr double busyDeadband = 0.1;
    /// The share of a target with low load rises at a quarter of the rate at which the share of a loaded target falls.
    /// A report that wrongly shows low load harms the target and its callers, whereas one that wrongly shows high load
    /// only moves flows to the other targets.
    constexpr double gainRate = 0.25;
    /// An older report does not raise the share: while the load of all targets grows, it shows fewer connections only
    /// because it is from an earlier time.
    constexpr Duration maxGainAge { 4'000 };
    constexpr double minCorrection = 0.8;
    constexpr double maxCorrection = 1.2;
    /// A target is empty after this many reports in a row without open connections, of which the first arrived at least
    /// this time ago.
    constexpr Duration minEmptyTime { 3'000 };
    constexpr unsigned minEmptyReports = 3;

    double median(std::vector<double> values)
    {
        if (values.empty())
            return 0;
        const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
        std::nth_element(values.begin(), middle, values.end());
        return *middle;
    }

    /// Adds queued requests to the busy slots, at most as many as there are busy slots: a longer queue says nothing
    /// more about the share that the target can handle.
    double busyOf(const schema::LoadReport& report)
    {
        return report.busy_slots() + std::min(report.queued(), report.busy_slots());
    }

    /// @return the amount by which the deviation of the ratio from 1 exceeds the deadband, with the deviation's sign.
    double deviation(double ratio, double deadband)
    {
        if (ratio > 1)
            return std::max(0.0, ratio - 1 - deadband);
        return std::min(0.0, ratio - 1 + deadband);
    }

    /// Converts load relative to the other targets into a factor for the share.
    /// @param load relative load without noise; 1 for the median of the targets.
    double correctionFor(double load, double newFlowRatio)
    {
        if (load == 1)
            return 1;
        const double trusted
            = std::clamp(load, (1 - maxTrustedDeviation) * newFlowRatio, (1 + maxTrustedDeviation) * newFlowRatio);
        const double correction = trusted > 1 ? 1 / trusted : 1 + gainRate * (1 - trusted);
        return std::clamp(correction, minCorrection, maxCorrection);
    }

}

bool LoadEstimator::handleReport(TargetId target, const schema::LoadReport& report, TimePoint now)
{
    const auto [item, isNew] = m_loads.try_emplace(target);
    Load& load = item->second;
    // Several checkers may send the same report.
    if (!isNew && report.time_ms() != 0 && report.time_ms() <= load.report.time_ms())
        return false;
    if (isNew)
        load.received = now;
    addReport(load, report, now);
    load.report = report;
    load.received = now;
    load.clockOffset = now.time_since_epoch().count() - static_cast<std::int64_t>(report.time_ms());
    return true;
}

void SmoothedValue::add(double value, double elapsed)
{
    // The first values have equal weight, so that the mean does not stay near the first one.
    const double alpha = std::max(1 - std::exp(-elapsed), 1 / (m_effectiveCount + 1));
    const double difference = value - m_mean;
    m_mean += alpha * difference;
    m_variance = (1 - alpha) * (m_variance + alpha * difference * difference);
    m_effectiveCount = std::min(m_effectiveCount + 1, 2 / alpha - 1);
}

double SmoothedValue::standardError() const
{
    return m_effectiveCount < minEffectiveCount ? std::numeric_limits<double>::infinity()
                                                : std::sqrt(m_variance / m_effectiveCount);
}

void LoadEstimator::addReport(Load& load, const schema::LoadReport& report, TimePoint now)
{
    load.busy.add(busyOf(report), static_cast<double>((now - load.received).count()) / busyTimeConstantMs);
    if (report.open_connections() > 0) {
        load.hasReportedConnections = true;
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

LoadEstimator::UnitLoad LoadEstimator::unitLoadOf(const LoadCandidate& candidate, TimePoint now) const
{
    const std::optional<Duration> reportAge = age(candidate.target, now);
    if (!reportAge || candidate.capacity <= 0)
        return {};
    const Load& load = m_loads.at(candidate.target);
    UnitLoad unitLoad;
    unitLoad.open = load.report.open_connections() / candidate.capacity;
    unitLoad.openError = std::sqrt(load.report.open_connections()) / candidate.capacity;
    unitLoad.busy = load.busy.mean() / candidate.capacity;
    unitLoad.busyError = load.busy.standardError() / candidate.capacity;
    unitLoad.weight = freshness(*reportAge);
    unitLoad.isCurrent = *reportAge <= maxGainAge;
    return unitLoad;
}

double LoadEstimator::relativeLoad(const UnitLoad& unitLoad, const UnitLoad& reference)
{
    if (reference.open <= 0 || reference.busy <= 0)
        return 1;
    const double open = unitLoad.open / reference.open;
    const double busy = unitLoad.busy / reference.busy;
    const double openNoise = noiseStandardErrors * std::max(unitLoad.openError, reference.openError) / reference.open;
    const double busyNoise = noiseStandardErrors * std::max(unitLoad.busyError, reference.busyError) / reference.busy;
    return 1 + deviation(open, openDeadband + openNoise) + deviation(busy, busyDeadband + busyNoise);
}

std::map<TargetId, double> LoadEstimator::corrections(std::span<const LoadCandidate> candidates, TimePoint now) const
{
    std::vector<UnitLoad> unitLoads;
    std::vector<UnitLoad> fresh;
    for (const LoadCandidate& candidate : candidates) {
        unitLoads.push_back(unitLoadOf(candidate, now));
        if (unitLoads.back().weight > 0)
            fresh.push_back(unitLoads.back());
    }
    const auto medianOf = [&fresh](double UnitLoad::*member) {
        std::vector<double> values;
        values.reserve(fresh.size());
        for (const UnitLoad& unitLoad : fresh)
            values.push_back(unitLoad.*member);
        return median(std::move(values));
    };
    // The reference is the median of all targets, because a single wrong report hardly changes it.
    const UnitLoad reference { medianOf(&UnitLoad::open), medianOf(&UnitLoad::openError), medianOf(&UnitLoad::busy),
        medianOf(&UnitLoad::busyError), 1, true };
    std::map<TargetId, double> factors;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const UnitLoad& unitLoad = unitLoads[i];
        const double newFlowRatio = candidates[i].newFlowRatio;
        const bool isPlausible
            = unitLoad.open / reference.open + unitLoad.busy / reference.busy >= 2 * minPlausibleLoad * newFlowRatio;
        const double correction = isPlausible ? correctionFor(relativeLoad(unitLoad, reference), newFlowRatio) : 1;
        const bool isIgnoredGain = correction > 1 && !unitLoad.isCurrent;
        factors[candidates[i].target] = isIgnoredGain ? 1 : 1 + unitLoad.weight * (correction - 1);
    }
    return factors;
}

bool LoadEstimator::hasReportedConnections(TargetId target) const
{
    const auto found = m_loads.find(target);
    return found != m_loads.end() && found->second.hasReportedConnections;
}

bool LoadEstimator::reportsOpenConnections(TargetId target, TimePoint now) const
{
    const std::optional<Duration> reportAge = age(target, now);
    return reportAge && *reportAge <= freshAge && m_loads.at(target).report.open_connections() > 0;
}

bool LoadEstimator::isEmpty(TargetId target, TimePoint now) const
{
    const std::optional<Duration> reportAge = age(target, now);
    if (!reportAge || *reportAge > freshAge)
        return false;
    const Load& load = m_loads.at(target);
    return load.emptyReports >= minEmptyReports && load.emptySince + minEmptyTime <= now;
}

}
