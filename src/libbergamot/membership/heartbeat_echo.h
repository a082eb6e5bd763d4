#pragma once

/// @file
/// Heartbeat echo: the 32-bit word in which a heartbeat reports what its sender last received from one other host.

#include "entry.pb.h"

#include <cstdint>

namespace bergamotroute {

/// Unit of echoed send times on the wire, in milliseconds.
inline constexpr std::int64_t sendTimeUnitMs = 10;

/// What one host last received from another.
struct HeartbeatEcho {
    /// Send time of the last heartbeat in units of 10 ms, modulo 2^17; the clock is that of the host that sent it.
    std::uint32_t sendTime = 0;
    /// State of the other host in the view of the host that reports.
    schema::MemberState state = schema::JOINING;
    /// Low 12 bits of the incarnation.
    std::uint32_t incarnation = 0;

    std::uint32_t pack() const;
    static HeartbeatEcho unpack(std::uint32_t word);
};

/// @return the low 12 bits of an incarnation, as HeartbeatEcho keeps them.
std::uint32_t truncateIncarnation(std::uint64_t incarnation);

/// @param sentMs send time in ms.
/// @return the send time in units of 10 ms, modulo 2^17.
std::uint32_t truncateSendTime(std::uint64_t sentMs);

/// Computes the age of a heartbeat of this host from the send time that a peer echoed.
/// @param echoed send time of this host in units of 10 ms, modulo 2^17.
/// @param nowMs current time of the same clock, in ms.
/// @return milliseconds since the heartbeat was sent, rounded up.
std::int64_t echoAgeMs(std::uint32_t echoed, std::uint64_t nowMs);

}
