#pragma once

/// @file
/// Takes samples of response times from the packets of clients. Targets answer clients directly, so a response is
/// seen only in the client's acknowledgements: its time from the request's last data packet to the first
/// acknowledgement of new response data, its size at the next request or at the end of the flow.

#include "capacity/capacity_estimate.h"
#include "capacity/route_typical.h"

#include <cstdint>
#include <unordered_map>

namespace bergamotroute {

/// What a packet shows about the request of its flow.
struct RequestProgress {
    std::uint32_t acknowledgement = 0;
    /// The flow was not tracked before this packet.
    bool isUntracked = false;
    /// The packet has data that was not seen before.
    bool hasNewData = false;
    /// The data follows the last data seen; otherwise packets have passed another host or were lost.
    bool isContiguous = false;
    bool isRetransmission = false;
    bool acknowledgesNewData = false;
    /// The packet ends the flow.
    bool isEnd = false;
};

/// Where a request goes.
struct RequestTarget {
    /// Identifies the route and the service.
    std::uint64_t routeKey = 0;
    /// Outstanding requests at the target as far as this host knows, including this one.
    std::uint32_t requests = 0;
    std::uint32_t slots = 1;
    /// The target is in slow start, so its response times say nothing about its later speed.
    bool isSlowStart = false;
};

/// State of the measurement of one flow's current request.
struct RequestMeasurement {
    enum class Phase : std::uint8_t {
        /// Nothing to measure, or the measurement is ambiguous.
        None,
        /// The request was sent and no response was acknowledged.
        Waiting,
        /// The response was fast; its size decides whether it is a refusal.
        Undecided,
        /// The time is recorded; the size is not yet known.
        Answered,
    };

    TimePoint sentAt;
    /// Acknowledgement of the client when the request was sent.
    std::uint32_t responseStart = 0;
    /// Last acknowledgement of the client.
    std::uint32_t acknowledged = 0;
    std::uint32_t requests = 0;
    float elapsedMs = 0;
    /// Size from which on a response is not a refusal.
    float minResponseBytes = 0;
    Phase phase = Phase::None;
};

/// Counters since the start of the process.
struct SampleCounters {
    std::uint64_t samples = 0;
    std::uint64_t refusals = 0;
    /// Dropped because the link of this host was overloaded.
    std::uint64_t droppedOverloaded = 0;
    /// Dropped because packets were retransmitted or have passed another host.
    std::uint64_t droppedAmbiguous = 0;
};

class ResponseSamples {
public:
    /// Sets whether the link of this host is overloaded, so that samples are not reliable.
    void setOverloaded(bool isOverloaded) { m_isOverloaded = isOverloaded; }

    /// Follows a flow's request with a packet that is not the first one of the flow.
    /// @param estimate takes the sample if the packet completes one.
    void observe(RequestMeasurement& measurement, const RequestProgress& progress, const RequestTarget& target,
        CapacityEstimate& estimate, TimePoint now);

    /// Adds a request to the estimate if it has been unanswered for longer than typical; to be called a few times per
    /// second for each flow whose request is outstanding.
    void examine(
        const RequestMeasurement& measurement, const RequestTarget& target, CapacityEstimate& estimate, TimePoint now);

    /// Forgets routes that are no longer used.
    void expire(TimePoint now);

    const SampleCounters& counters() const { return m_counters; }

private:
    using Phase = RequestMeasurement::Phase;

    RouteTypical* findTypical(std::uint64_t routeKey, TimePoint now);
    void handleAcknowledgement(RequestMeasurement& measurement, const RequestProgress& progress,
        const RequestTarget& target, CapacityEstimate& estimate, TimePoint now);
    void judge(RequestMeasurement& measurement, bool isUpperBound, const RequestTarget& target,
        CapacityEstimate& estimate, TimePoint now);
    void complete(
        RequestMeasurement& measurement, const RequestTarget& target, CapacityEstimate& estimate, TimePoint now);
    void accept(RequestMeasurement& measurement, const RequestTarget& target, RouteTypical& typical,
        CapacityEstimate& estimate, TimePoint now);
    void start(
        RequestMeasurement& measurement, const RequestProgress& progress, const RequestTarget& target, TimePoint now);
    void dropAmbiguous(RequestMeasurement& measurement);

    std::unordered_map<std::uint64_t, RouteTypical> m_typicals;
    SampleCounters m_counters;
    bool m_isOverloaded = false;
};

}
