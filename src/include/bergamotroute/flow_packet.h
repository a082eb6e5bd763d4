#pragma once

/// @file
/// A client's packet as cookie steering sees it. The cookie comes from a header field that both ends echo: the TCP
/// timestamp in the product's own packets, another such field in other encapsulations.

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace bergamotroute {

/// Identifies the target of a flow in each packet of the client; zero means no target.
using Cookie = std::uint32_t;

/// Addresses (IPv4, host byte order) and ports of a flow from client to service.
struct FlowId {
    std::uint32_t clientAddress = 0;
    std::uint32_t serviceAddress = 0;
    std::uint16_t clientPort = 0;
    std::uint16_t servicePort = 0;

    auto operator<=>(const FlowId&) const = default;
};

/// @return a well-mixed 64-bit hash (XXH3).
std::uint64_t hashFlow(const FlowId& flow, std::uint64_t seed);

struct FlowIdHash {
    std::size_t operator()(const FlowId& flow) const { return hashFlow(flow, 0); }
};

/// Header fields of a packet.
struct FlowPacket {
    FlowId flow;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    Cookie cookie = 0;
    std::uint16_t payloadBytes = 0;
    bool syn = false;
    bool ack = false;
    bool fin = false;
    bool rst = false;

    /// @return true for the packet that opens a flow and for its retransmissions.
    bool isFirst() const { return syn && !ack; }
};

/// Parses and builds packets of one encapsulation.
class FlowPacketCodec {
public:
    virtual ~FlowPacketCodec() = default;

    /// @return the header fields, or nothing if the bytes are not a valid packet.
    virtual std::optional<FlowPacket> parse(std::span<const std::byte> datagram) const = 0;

    /// Writes the cookie into a packet. The end-to-end checksum does not cover the cookie and stays valid.
    virtual void writeCookie(std::span<std::byte> datagram, Cookie cookie) const = 0;

    /// @return the bytes in front of a packet that tell a backend server which target the packet is for.
    virtual std::vector<std::byte> targetPrefix(std::uint64_t targetNumber) const = 0;

    /// @return a packet that resets a flow at the client.
    /// @param sequence a sequence number that the client accepts.
    virtual std::vector<std::byte> makeReset(const FlowId& flow, std::uint32_t sequence) const = 0;
};

}
