#pragma once

/// @file
/// Read-only view of the inner IPv4 or IPv6 packet and the hash of its flow.

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <system_error>

namespace bergamotroute {

/// An IPv4 or IPv6 address; IPv4 is held in its IPv4-mapped IPv6 form.
struct IpAddress {
    std::array<std::uint8_t, 16> bytes {};

    auto operator<=>(const IpAddress&) const = default;

    /// @return true if the address is IPv4.
    bool isV4() const;

    /// @return the address in its usual text form.
    std::string toString() const;

    /// Parses an address.
    /// @param text IPv4 or IPv6 text form.
    /// @param[out] error ResultCode::InvalidValue if the text is not an address.
    static IpAddress parse(std::string_view text, std::error_code& error);

    /// Makes an address from four bytes in network order.
    static IpAddress fromV4(std::span<const std::uint8_t, 4> octets);
};

/// A network such as 10.0.0.0/8.
struct IpNetwork {
    IpAddress address;
    /// Prefix length counted on the 128-bit form.
    unsigned prefixBits = 0;

    /// Parses address/prefix.
    /// @param[out] error ResultCode::InvalidValue if the text is not a network.
    static IpNetwork parse(std::string_view text, std::error_code& error);

    /// @return true if the address lies in the network.
    bool contains(const IpAddress& candidate) const;
};

/// Transport protocol numbers that the balancer forwards.
enum class TransportProtocol : std::uint8_t {
    Tcp = 6,
    Udp = 17,
};

/// TCP flag bits as in the header.
enum TcpFlag : std::uint8_t {
    TcpFin = 0x01,
    TcpSyn = 0x02,
    TcpRst = 0x04,
    TcpPsh = 0x08,
    TcpAck = 0x10,
};

/// The 5-tuple of a flow, client to service.
struct FlowKey {
    IpAddress source;
    IpAddress destination;
    std::uint16_t sourcePort = 0;
    std::uint16_t destinationPort = 0;
    TransportProtocol protocol = TransportProtocol::Tcp;

    auto operator<=>(const FlowKey&) const = default;
};

/// Fields of a packet that steering needs. The payload views the caller's buffer.
struct PacketView {
    FlowKey flow;
    /// TCP flags; zero for UDP.
    std::uint8_t tcpFlags = 0;
    /// TCP sequence number in host order.
    std::uint32_t sequence = 0;
    /// TCP acknowledgement number in host order.
    std::uint32_t acknowledgement = 0;
    /// Transport payload.
    std::span<const std::byte> payload;

    /// @return true for a TCP segment with SYN and without ACK.
    bool isFirstPacket() const { return (tcpFlags & (TcpSyn | TcpAck)) == TcpSyn; }
};

/// Parses an inner packet.
/// @param bytes the whole inner packet.
/// @param[out] error a 2xx result code; the view is valid only without error.
PacketView parsePacket(std::span<const std::byte> bytes, std::error_code& error);

/// Hashes a 5-tuple with XXH3 (Collet, xxHash), seeded so that callers cannot choose their bucket.
/// @param key flow hash key from the configuration.
/// @return 64 well mixed bits, never zero.
std::uint64_t flowHash(const FlowKey& flow, std::uint64_t key);

}
