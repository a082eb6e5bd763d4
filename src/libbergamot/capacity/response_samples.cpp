#include "capacity/response_samples.h"

#include <algorithm>

namespace bergamotroute {

namespace {

    /// A response faster than this share of the typical time and shorter than this share of the typical size is a
    /// refusal.
    constexpr double refusalTime = 0.25;
    constexpr double refusalBytes = 0.5;
    /// A client acknowledges every second packet. A first acknowledgement of more data shows that earlier ones were
    /// lost or have passed another host.
    constexpr std::uint32_t maxFirstAcknowledgement = 2 * 1500;
    /// Response times are measured in whole milliseconds.
    constexpr float minElapsedMs = 0.5;
    /// Limit on the number of routes with samples, about 2 MB, and the time after which an unused one is forgotten.
    constexpr std::size_t maxRoutes = 4096;
    constexpr Duration routeLifetime { 120'000 };

    /// @return factor by which the response time grows because a target with all slots busy queues requests.
    double loadFactor(std::uint32_t requests, std::uint32_t slots)
    {
        return std::max(1.0, static_cast<double>(requests) / slots);
    }

}

RouteTypical* ResponseSamples::findTypical(std::uint64_t routeKey, TimePoint now)
{
    auto found = m_typicals.find(routeKey);
    if (found == m_typicals.end()) {
        if (m_typicals.size() >= maxRoutes)
            return nullptr;
        found = m_typicals.emplace(routeKey, RouteTypical {}).first;
    }
    found->second.lastUse = now;
    return &found->second;
}

void ResponseSamples::dropAmbiguous(RequestMeasurement& measurement)
{
    ++m_counters.droppedAmbiguous;
    measurement.phase = Phase::None;
}

void ResponseSamples::observe(RequestMeasurement& measurement, const RequestProgress& progress,
    const RequestTarget& target, CapacityEstimate& estimate, TimePoint now)
{
    if (progress.isUntracked) {
        // Earlier packets have passed another host, so this one may be a retransmission.
        measurement = {};
        measurement.acknowledged = progress.acknowledgement;
        return;
    }
    if (progress.acknowledgesNewData)
        handleAcknowledgement(measurement, progress, target, estimate, now);
    const bool isFurtherData = measurement.phase == Phase::Waiting && progress.hasNewData;
    if (progress.isRetransmission && measurement.phase == Phase::Waiting)
        dropAmbiguous(measurement);
    if (progress.isEnd || (progress.hasNewData && !isFurtherData))
        complete(measurement, target, estimate, now);
    if (progress.isEnd)
        measurement.phase = Phase::None;
    else if (isFurtherData && !progress.isContiguous)
        dropAmbiguous(measurement);
    else if (isFurtherData)
        measurement.sentAt = now;
    else if (progress.hasNewData)
        start(measurement, progress, target, now);
}

void ResponseSamples::start(
    RequestMeasurement& measurement, const RequestProgress& progress, const RequestTarget& target, TimePoint now)
{
    measurement.phase = Phase::None;
    if (!progress.isContiguous || target.isSlowStart)
        return;
    measurement.phase = Phase::Waiting;
    measurement.sentAt = now;
    measurement.responseStart = progress.acknowledgement;
    measurement.acknowledged = progress.acknowledgement;
    measurement.requests = target.requests;
}

void ResponseSamples::handleAcknowledgement(RequestMeasurement& measurement, const RequestProgress& progress,
    const RequestTarget& target, CapacityEstimate& estimate, TimePoint now)
{
    const std::uint32_t acknowledgedBytes = progress.acknowledgement - measurement.acknowledged;
    measurement.acknowledged = progress.acknowledgement;
    if (measurement.phase == Phase::Waiting) {
        if (acknowledgedBytes > maxFirstAcknowledgement)
            dropAmbiguous(measurement);
        else
            judge(measurement, progress.hasNewData, target, estimate, now);
    }
    if (measurement.phase != Phase::Undecided)
        return;
    const std::uint32_t responseBytes = measurement.acknowledged - measurement.responseStart;
    RouteTypical* typical = findTypical(target.routeKey, now);
    if (typical && static_cast<float>(responseBytes) >= measurement.minResponseBytes)
        accept(measurement, target, *typical, estimate, now);
}

void ResponseSamples::judge(RequestMeasurement& measurement, bool isUpperBound, const RequestTarget& target,
    CapacityEstimate& estimate, TimePoint now)
{
    if (m_isOverloaded) {
        ++m_counters.droppedOverloaded;
        measurement.phase = Phase::None;
        return;
    }
    RouteTypical* typical = findTypical(target.routeKey, now);
    if (!typical) {
        measurement.phase = Phase::None;
        return;
    }
    measurement.elapsedMs = std::max(minElapsedMs, static_cast<float>((now - measurement.sentAt).count()));
    const bool isFast = typical->isKnown() && measurement.elapsedMs < typical->time.median();
    // An acknowledgement that comes with the next request includes the client's pause between the requests.
    if (isUpperBound && !isFast) {
        dropAmbiguous(measurement);
        return;
    }
    measurement.phase = Phase::Undecided;
    measurement.minResponseBytes = static_cast<float>(refusalBytes * typical->bytes.median());
    if (!isFast)
        accept(measurement, target, *typical, estimate, now);
}

void ResponseSamples::accept(RequestMeasurement& measurement, const RequestTarget& target, RouteTypical& typical,
    CapacityEstimate& estimate, TimePoint now)
{
    const double corrected = measurement.elapsedMs / loadFactor(measurement.requests, target.slots);
    if (typical.isKnown()) {
        estimate.addSample(corrected / typical.time.median(), now);
        ++m_counters.samples;
    }
    typical.time.add(static_cast<float>(corrected));
    measurement.phase = Phase::Answered;
}

void ResponseSamples::complete(
    RequestMeasurement& measurement, const RequestTarget& target, CapacityEstimate& estimate, TimePoint now)
{
    if (measurement.phase != Phase::Undecided && measurement.phase != Phase::Answered)
        return;
    RouteTypical* typical = findTypical(target.routeKey, now);
    if (!typical)
        return;
    // A short response that is not fast enough for a refusal is no evidence of speed either, and is dropped.
    const bool isRefusal = measurement.phase == Phase::Undecided && typical->isKnown()
        && measurement.elapsedMs < refusalTime * typical->time.median();
    typical->bytes.add(static_cast<float>(measurement.acknowledged - measurement.responseStart));
    if (!isRefusal)
        return;
    ++m_counters.refusals;
    estimate.addRefusal(measurement.requests, target.slots, now);
}

void ResponseSamples::examine(
    const RequestMeasurement& measurement, const RequestTarget& target, CapacityEstimate& estimate, TimePoint now)
{
    if (measurement.phase != Phase::Waiting || m_isOverloaded)
        return;
    const auto found = m_typicals.find(target.routeKey);
    if (found == m_typicals.end() || !found->second.isKnown())
        return;
    const auto age = static_cast<double>((now - measurement.sentAt).count());
    const double ratio = age / (loadFactor(measurement.requests, target.slots) * found->second.time.median());
    if (ratio > 1)
        estimate.addOverdue(ratio, now);
}

void ResponseSamples::expire(TimePoint now)
{
    std::erase_if(m_typicals, [now](const auto& item) { return now - item.second.lastUse >= routeLifetime; });
}

}
