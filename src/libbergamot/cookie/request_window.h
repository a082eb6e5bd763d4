#pragma once

/// @file
/// Counts events in a sliding window of time.

#include "bergamotroute/clock.h"

#include <array>
#include <cstdint>

namespace bergamotroute {

/// First packets and further requests that were sent to one target in the last 1.1 s: one second and 100 ms of jitter
/// between sending and arrival. Times are rounded down to 100 ms, so up to 1.2 s count.
class RequestWindow {
public:
    static constexpr Duration length { 1100 };

    void addFirstPacket(TimePoint now) { ++bucketAt(now).firstPackets; }
    /// Records that a flow has ended with the one request that its first packet announced.
    /// @param placed time of that first packet.
    void endSingleRequestFlow(TimePoint placed);
    void addRequest(TimePoint now) { ++bucketAt(now).requests; }

    std::uint32_t firstPackets(TimePoint now) const { return sum(&Bucket::firstPackets, now); }

    /// @return flows whose first packets were sent in the window and which may send further requests.
    std::uint32_t unendedFlows(TimePoint now) const { return firstPackets(now) - sum(&Bucket::endedFlows, now); }

    /// @return requests other than those that first packets announce.
    std::uint32_t requests(TimePoint now) const { return sum(&Bucket::requests, now); }

private:
    static constexpr Duration bucketTime { 100 };
    /// The current bucket and those within the window.
    static constexpr std::int64_t bucketCount = length / bucketTime + 1;

    struct Bucket {
        std::int64_t number = 0;
        std::uint32_t firstPackets = 0;
        /// Of the flows with these first packets, those that have ended after one request.
        std::uint32_t endedFlows = 0;
        std::uint32_t requests = 0;
    };

    Bucket& bucketAt(TimePoint now);
    std::uint32_t sum(std::uint32_t Bucket::*count, TimePoint now) const;

    std::array<Bucket, bucketCount> m_buckets {};
};

}
