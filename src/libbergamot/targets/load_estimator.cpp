#include "targets/load_estimator.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

namespace bergamotroute {

namespace {

    /// A report counts fully up to this age and not at all at twice this age.
    constexpr Duration freshAge { 5'000 };
    /// Busy slots of a target with two or three slots vary by 70% of their mean from report to report.
    constexpr double busyTimeConstantMs = 60'000;
    /// Load may differ by this much from the share of new flows before it counts as implausible in part.
    constexpr double maxTrustedDeviation = 0.2;
    /// Below this part of the share that our own counts give, a report of idleness is ignored altogether: either the
    /// report is wrong, or the target has just started and is filling up by itself.
    constexpr double minPlausibleLoad = 0.6;
    /// Differences within three standard errors are noise, and a few percent more are not worth moving buckets. With a
    /// fixed deadband of 10% the planner moved 70 buckets in two minutes for noise alone.
    constexpr double noiseStandardErrors = 3;
    constexpr double openDeadband = 0.05;
    constexpr double busyDeadband = 0.1;
    /// A target that looks idle gains at a quarter of the rate at which a loaded target loses, because a wrong report
    /// of idleness harms the target and its callers, a wrong report of load only spreads flows over the others.
    constexpr double gainRate = 0.25;
    /// An older report of few connections gains nothing: while all targets fill up, it only shows an earlier time.
    constexpr Duration maxGainAge { 4'000 };
    constexpr double minCorrection = 0.8;
    constexpr double maxCorrection = 1.2;
    /// Time and number of reports without open connections after which a target counts as empty.
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

    /// A long queue counts like as many busy slots again; more says nothing about the share that the target can carry.
    double busyOf(const schema::LoadReport& report)
    {
        return report.busy_slots() + std::min(report.queued(), report.busy_slots());
    }

    /// @return the part of a deviation from 1 that is larger than the deadband.
    double deviation(double ratio, double deadband)
    {
        if (ratio > 1)
            return std::max(0.0, ratio - 1 - deadband);
        return std::min(0.0, ratio - 1 + deadband);
    }

    /// Turns load relative to the other targets, without noise, into a factor for the share.
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
    // Several checkers may pass on the same report.
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
    // The first values count evenly, so that the mean does not stay near the first one.
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
    // The median of all targets is not moved by one report that is wrong.
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

bool LoadEstimator::isEmpty(TargetId target, TimePoint now) const
{
    const std::optional<Duration> reportAge = age(target, now);
    if (!reportAge || *reportAge > freshAge)
        return false;
    const Load& load = m_loads.at(target);
    return load.emptyReports >= minEmptyReports && load.emptySince + minEmptyTime <= now;
}

}
