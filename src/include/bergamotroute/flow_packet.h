#pragma once

/// @file
/// A client's packet as cookie steering sees it. Carriers with a field that both ends echo fill it in: the product's
/// own packets from a TCP timestamp, other encapsulations from a field of theirs.

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace bergamotroute {

/// Names the target of a flow in each packet of the client; zero names none.
using Cookie = std::uint32_t;

/// Addresses (IPv4, host order) and ports of a flow, client to service.
struct FlowId {
    std::uint32_t clientAddress = 0;
    std::uint32_t serviceAddress = 0;
    std::uint16_t clientPort = 0;
    std::uint16_t servicePort = 0;

    auto operator<=>(const FlowId&) const = default;
};

/// @return 64 well mixed bits (XXH3).
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

    /// @return true for the packet that opens a flow, or a copy of it.
    bool isFirst() const { return syn && !ack; }
};

/// Reads and writes packets of one encapsulation.
class FlowPacketCodec {
public:
    virtual ~FlowPacketCodec() = default;

    /// @return the header, or nothing if the bytes are no packet.
    virtual std::optional<FlowPacket> parse(std::span<const std::byte> datagram) const = 0;

    /// Writes the cookie into a packet; the end-to-end checksum does not cover it.
    virtual void writeCookie(std::span<std::byte> datagram, Cookie cookie) const = 0;

    /// @return the bytes before a packet that tell a backend server which target is meant.
    virtual std::vector<std::byte> targetPrefix(std::uint64_t targetNumber) const = 0;

    /// @return a packet that resets a flow at the client.
    /// @param sequence a sequence number that the client accepts.
    virtual std::vector<std::byte> makeReset(const FlowId& flow, std::uint32_t sequence) const = 0;
};

}
