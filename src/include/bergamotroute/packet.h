#pragma once

/// @file
/// IP addresses, parsing of inner (decapsulated) IPv4 and IPv6 packets, and the flow hash.

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <system_error>

namespace bergamotroute {

/// An IPv4 or IPv6 address; IPv4 is stored as an IPv4-mapped IPv6 address.
struct IpAddress {
    std::array<std::uint8_t, 16> bytes {};

    auto operator<=>(const IpAddress&) const = default;

    bool isV4() const;

    /// @return the usual text form, such as "10.0.0.1" or "2001:db8::1".
    std::string toString() const;

    /// @param text IPv4 or IPv6 address in text form.
    /// @param[out] error ResultCode::InvalidValue if the text is not an address.
    static IpAddress parse(std::string_view text, std::error_code& error);

    /// @param octets IPv4 address in network byte order.
    static IpAddress fromV4(std::span<const std::uint8_t, 4> octets);
};

/// A network in CIDR notation, such as 10.0.0.0/8.
struct IpNetwork {
    IpAddress address;
    /// Prefix length of the 128-bit form; an IPv4 prefix counts 96 bits more.
    unsigned prefixBits = 0;

    /// Parses "address/prefix"; without a prefix the network is that one address.
    /// @param[out] error ResultCode::InvalidValue if the text is not a network.
    static IpNetwork parse(std::string_view text, std::error_code& error);

    bool contains(const IpAddress& candidate) const;
};

/// IP protocol numbers of the transport protocols that the balancer forwards.
enum class TransportProtocol : std::uint8_t {
    Tcp = 6,
    Udp = 17,
};

/// Flag bits of the TCP header.
enum TcpFlag : std::uint8_t {
    TcpFin = 0x01,
    TcpSyn = 0x02,
    TcpRst = 0x04,
    TcpPsh = 0x08,
    TcpAck = 0x10,
};

/// The 5-tuple of a flow in the direction from the caller to the service.
struct FlowKey {
    IpAddress source;
    IpAddress destination;
    std::uint16_t sourcePort = 0;
    std::uint16_t destinationPort = 0;
    TransportProtocol protocol = TransportProtocol::Tcp;

    auto operator<=>(const FlowKey&) const = default;
};

/// Fields of a packet that steering needs. The payload refers to the parsed buffer and is valid as long as that is.
struct PacketView {
    FlowKey flow;
    /// TCP flags; zero for UDP.
    std::uint8_t tcpFlags = 0;
    /// TCP sequence number in host byte order.
    std::uint32_t sequence = 0;
    /// TCP acknowledgement number in host byte order.
    std::uint32_t acknowledgement = 0;
    /// Payload of the TCP segment or UDP datagram.
    std::span<const std::byte> payload;

    /// @return true for a TCP segment with SYN and without ACK; false for UDP.
    bool isFirstPacket() const { return (tcpFlags & (TcpSyn | TcpAck)) == TcpSyn; }
};

/// @param bytes the whole inner packet; may have bytes after its IP length.
/// @param[out] error a 2xx result code (ResultCode::Packet...); the returned view is valid only without error.
PacketView parsePacket(std::span<const std::byte> bytes, std::error_code& error);

/// Hashes a 5-tuple with XXH3 (Collet, xxHash); the key is the seed, so that callers cannot choose their bucket.
/// @param key flow hash key from the configuration.
/// @return 64-bit hash, never zero; all its bits are well mixed.
std::uint64_t flowHash(const FlowKey& flow, std::uint64_t key);

}
