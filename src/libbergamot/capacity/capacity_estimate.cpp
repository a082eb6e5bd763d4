#include "capacity/capacity_estimate.h"

#include "capacity/weighted_median.h"

#include <algorithm>
#include <cmath>

namespace bergamotroute {

namespace {

    /// Time constant with which this host's samples lose weight in their mean.
    constexpr double sampleTimeConstantMs = 500;
    /// Times in which evidence loses half of its weight in the median, and half of its significance. The former lets
    /// one or two responses show that a target is well again. The latter keeps the estimate until then: a slow target
    /// gets about one request per second.
    constexpr double weightHalfLifeMs = 700;
    constexpr double significanceHalfLifeMs = 2000;
    /// Newer samples by which an evidence loses half of its weight. Where samples are frequent, the latest ones decide,
    /// so that a change shows earlier.
    constexpr double halvingSamples = 4;
    /// Number of decayed samples below which evidence is dropped.
    constexpr double minSamples = 1.0 / 16;
    /// Largest numbers of samples that count of this host and of a reporting one. A host sends a flow to a given target
    /// once in 1 to 50 s, so the latter concerns only hosts that report false values.
    constexpr double maxOwnSamples = 4;
    constexpr double maxReportedSamples = 1;
    /// Weight of evidence from other data centres, and number of samples of this data centre from which on it does not
    /// count: the path to the target may be the cause, and it is a second old.
    constexpr double remoteWeight = 0.25;
    constexpr double sufficientSamples = 1;
    /// Requests of one route differ in length with a spread of 0.5 (natural logarithm), so the standard error of a
    /// median is 0.63 divided by the root of the number of samples. A deviation within 2 standard errors counts as
    /// none.
    constexpr double noise = 1.25;
    /// Smallest deviation that counts: below it, differences between targets do not matter to callers, and placement
    /// stays as it is without learning.
    constexpr double minDeviation = 0.4;
    /// Bound on the advantage of a fast target, so that it does not attract the flows of all hosts at once.
    constexpr double minSlowness = 0.5;
    /// Time for which unanswered requests count after they were examined; longer than the interval of examinations.
    constexpr Duration overdueValidity { 600 };
    constexpr double limitDecrease = 0.9;
    constexpr Duration limitIncreaseInterval { 1000 };
    /// A limit this far above the number of slots is dropped.
    constexpr std::uint32_t maxLimitAboveSlots = 16;
    /// Hosts that must report a limit before a host without refusals of its own applies it, so that a single host with
    /// false values has no effect.
    constexpr std::size_t minLimitReports = 2;

    double ageMs(TimePoint since, TimePoint now) { return static_cast<double>((now - since).count()); }

    double boundedLog(double ratio) { return std::log(std::clamp(ratio, 1 / maxSampleFactor, maxSampleFactor)); }

    /// @return the deviation without what may be noise; continuous, and unchanged from twice the noise on.
    double significantDeviation(double logSlowness, double samples)
    {
        const double threshold = std::max(minDeviation, noise / std::sqrt(samples));
        const double size = std::abs(logSlowness);
        return std::copysign(std::clamp(2 * (size - threshold), 0.0, size), logSlowness);
    }

}

void CapacityEstimate::restart(TimePoint ignoreReportsUntil)
{
    *this = {};
    m_ignoreReportsUntil = ignoreReportsUntil;
}

void CapacityEstimate::decaySamples(TimePoint now)
{
    const double factor = std::exp(-ageMs(m_lastSample, now) / sampleTimeConstantMs);
    m_logSum *= factor;
    m_samples *= factor;
    m_lastSample = now;
}

void CapacityEstimate::noteOwnEvidence(TimePoint now)
{
    m_hasOwnEvidence = true;
    m_lastOwnEvidence = now;
}

void CapacityEstimate::addSample(double ratio, TimePoint now)
{
    decaySamples(now);
    m_logSum += boundedLog(ratio);
    m_samples += 1;
    noteOwnEvidence(now);
}

void CapacityEstimate::addOverdue(double ratio, TimePoint now)
{
    if (m_overdueAt != now) {
        decaySamples(now);
        m_overdueLogSum = 0;
        m_overdueCount = 0;
        m_overdueAt = now;
    }
    m_overdueLogSum += boundedLog(ratio);
    ++m_overdueCount;
    noteOwnEvidence(now);
}

void CapacityEstimate::addRefusal(std::uint32_t requests, std::uint32_t slots, TimePoint now)
{
    // A limit below the number of slots would leave slots idle. A target that refuses although it has free slots, as
    // far as this host knows, is fuller than known or broken: it counts as slow, otherwise it would attract all flows.
    if (requests <= slots)
        addSample(maxSampleFactor, now);
    const auto reduced = static_cast<std::uint32_t>(limitDecrease * requests);
    m_ownLimit = Limit { std::max(slots, reduced), now };
    noteOwnEvidence(now);
}

void CapacityEstimate::setReported(EvidenceHost host, const CapacityEvidence& evidence, bool isLocal, TimePoint now)
{
    if (now < m_ignoreReportsUntil)
        return;
    std::erase_if(m_reported, [host](const HostEvidence& known) { return known.host == host; });
    HostEvidence& entry = m_reported.emplace_back();
    entry.host = host;
    entry.isLocal = isLocal;
    entry.logSlowness = evidence.logSlowness;
    entry.samples = std::min(evidence.samples, maxReportedSamples);
    if (evidence.limit)
        entry.limit = Limit { *evidence.limit, now };
    entry.received = now;
}

std::optional<std::uint32_t> CapacityEstimate::currentLimit(
    const std::optional<Limit>& limit, std::uint32_t slots, TimePoint now)
{
    if (!limit)
        return std::nullopt;
    const auto raised = static_cast<std::uint32_t>((now - limit->since) / limitIncreaseInterval);
    const std::uint32_t current = std::max(slots, limit->requests) + raised;
    return current <= slots + maxLimitAboveSlots ? std::optional(current) : std::nullopt;
}

std::optional<CapacityEvidence> CapacityEstimate::ownEvidence(std::uint32_t slots, TimePoint now) const
{
    if (!m_hasOwnEvidence)
        return std::nullopt;
    const bool countsOverdue = m_overdueCount > 0 && now - m_overdueAt <= overdueValidity;
    CapacityEvidence evidence;
    evidence.limit = currentLimit(m_ownLimit, slots, now);
    // A later refusal is no new evidence of the speed.
    const bool isOld = std::exp2(-ageMs(m_lastSample, now) / significanceHalfLifeMs) < minSamples;
    evidence.samples = (isOld ? 0 : m_samples) + (countsOverdue ? m_overdueCount : 0);
    if (isOld && !evidence.limit)
        return std::nullopt;
    if (evidence.samples > 0)
        evidence.logSlowness = ((isOld ? 0 : m_logSum) + (countsOverdue ? m_overdueLogSum : 0)) / evidence.samples;
    return evidence;
}

double CapacityEstimate::samplesOf(const HostEvidence& evidence, double halfLifeMs, TimePoint now)
{
    const double age = std::exp2(-ageMs(evidence.received, now) / halfLifeMs);
    return evidence.samples * age * (evidence.isLocal ? 1 : remoteWeight);
}

void CapacityEstimate::dropOldReports(std::uint32_t slots, TimePoint now)
{
    std::erase_if(m_reported, [slots, now](const HostEvidence& evidence) {
        return samplesOf(evidence, significanceHalfLifeMs, now) < minSamples
            && !currentLimit(evidence.limit, slots, now);
    });
}

void CapacityEstimate::refreshSlowness(const std::optional<CapacityEvidence>& own, TimePoint now)
{
    // Reused between calls, so that a refresh allocates no memory.
    static thread_local std::vector<WeightedValue> values;
    values.clear();
    m_evidence = 0;
    double newerSamples = 0;
    double largest = 0;
    const auto add = [this, &newerSamples, &largest, now](const HostEvidence& evidence) {
        const double displacement = std::exp2(-newerSamples / halvingSamples);
        const double samples = samplesOf(evidence, significanceHalfLifeMs, now) * displacement;
        if (samples <= 0)
            return;
        newerSamples += samples;
        values.push_back({ evidence.logSlowness, samplesOf(evidence, weightHalfLifeMs, now) * displacement });
        m_evidence += samples;
        largest = std::max(largest, std::min(samples, maxReportedSamples));
    };
    if (own)
        add({ 0, true, own->logSlowness, std::min(own->samples, maxOwnSamples), {}, m_lastSample });
    // The latest come last.
    for (const bool isLocal : { true, false }) {
        if (!isLocal && m_evidence >= sufficientSamples)
            break;
        for (auto evidence = m_reported.rbegin(); evidence != m_reported.rend(); ++evidence) {
            if (evidence->isLocal == isLocal)
                add(*evidence);
        }
    }
    m_slowness = 1;
    // No single sample and no single reporting host decides: the request may be a long one, the host may be wrong.
    const double confirmed = m_evidence - largest;
    if (confirmed >= minSamples)
        m_slowness = std::max(minSlowness, std::exp(significantDeviation(takeWeightedMedian(values), confirmed)));
}

void CapacityEstimate::refreshLimit(const std::optional<CapacityEvidence>& own, std::uint32_t slots, TimePoint now)
{
    m_limit.reset();
    static thread_local std::vector<std::uint32_t> limits;
    limits.clear();
    for (const HostEvidence& evidence : m_reported) {
        if (const auto limit = currentLimit(evidence.limit, slots, now))
            limits.push_back(*limit);
    }
    if (own && own->limit)
        limits.push_back(*own->limit);
    else if (limits.size() < minLimitReports)
        return;
    const auto middle = limits.begin() + static_cast<std::ptrdiff_t>(limits.size() / 2);
    std::nth_element(limits.begin(), middle, limits.end());
    m_limit = *middle;
}

void CapacityEstimate::refresh(std::uint32_t slots, TimePoint now)
{
    dropOldReports(slots, now);
    const std::optional<CapacityEvidence> own = ownEvidence(slots, now);
    if (!own)
        m_hasOwnEvidence = false;
    refreshSlowness(own, now);
    refreshLimit(own, slots, now);
    m_lastEvidence.reset();
    if (own)
        m_lastEvidence = m_lastOwnEvidence;
    for (const HostEvidence& evidence : m_reported)
        m_lastEvidence = std::max(m_lastEvidence.value_or(evidence.received), evidence.received);
}

}
