#pragma once

/// @file
/// Compact form of what a host last heard of another, as heartbeats carry it.

#include "entry.pb.h"

#include <cstdint>

namespace bergamotroute {

/// Time unit of sender times on the wire, in milliseconds.
inline constexpr std::int64_t sendTimeUnitMs = 10;

/// What one host last heard of another.
struct HeartbeatEcho {
    /// Sender time in units of 10 ms, modulo 2^17.
    std::uint32_t sendTime = 0;
    schema::MemberState state = schema::JOINING;
    /// Low 12 bits of the incarnation.
    std::uint32_t incarnation = 0;

    std::uint32_t pack() const;
    static HeartbeatEcho unpack(std::uint32_t word);
};

/// @return the low bits of an incarnation as HeartbeatEcho keeps them.
std::uint32_t truncateIncarnation(std::uint64_t incarnation);

/// @param sentMs sender time in ms.
/// @return the sender time in wire units.
std::uint32_t truncateSendTime(std::uint64_t sentMs);

/// Restores the age of an echoed sender time.
/// @param echoed own sender time in wire units, as a peer returned it.
/// @param nowMs own sender time now, in ms.
/// @return milliseconds since the echoed time, rounded up.
std::int64_t echoAgeMs(std::uint32_t echoed, std::uint64_t nowMs);

}
