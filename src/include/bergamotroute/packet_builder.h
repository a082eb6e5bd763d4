#pragma once

/// @file
/// Builds inner packets with checksums: resets and probes of the balancer, and the traffic of tests and stand-ins.

#include "bergamotroute/packet.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace bergamotroute {

/// Fields of a TCP segment to build.
struct TcpFields {
    std::uint8_t flags = 0;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    std::uint16_t window = 65'535;
};

/// Builds an IPv4 or IPv6 packet with one TCP segment (RFC 9293).
/// @param flow addresses and ports; both addresses must be of the same family.
/// @return the whole inner packet with valid checksums.
std::vector<std::byte> buildTcpPacket(
    const FlowKey& flow, const TcpFields& fields, std::span<const std::byte> payload = {});

/// Builds an IPv4 or IPv6 packet with one UDP datagram (RFC 768).
/// @param flow addresses and ports; both addresses must be of the same family.
/// @return the whole inner packet with valid checksums.
std::vector<std::byte> buildUdpPacket(const FlowKey& flow, std::span<const std::byte> payload);

}
