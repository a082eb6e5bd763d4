#include "bergamotroute/packet.h"

#include "bergamotroute/result_code.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <cstring>
#include <netinet/ip.h>
#include <netinet/ip6.h>
#include <netinet/tcp.h>
#include <netinet/udp.h>
#include <xxhash.h>

namespace bergamotroute {

namespace {

    constexpr std::array<std::uint8_t, 12> mappedPrefix { 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff };
    constexpr unsigned mappedPrefixBits = 96;
    constexpr unsigned addressBits = 128;
    constexpr unsigned versionShift = 4;

    template <typename Header> bool readHeader(std::span<const std::byte> bytes, Header& header)
    {
        if (bytes.size() < sizeof(Header))
            return false;
        std::memcpy(&header, bytes.data(), sizeof(Header));
        return true;
    }

    std::span<const std::byte> parseIpv4(std::span<const std::byte> bytes, PacketView& view, std::error_code& error)
    {
        constexpr std::size_t wordBytes = 4;
        iphdr header;
        if (!readHeader(bytes, header)) {
            error = ResultCode::PacketTooShort;
            return {};
        }
        const std::size_t headerLength = header.ihl * wordBytes;
        const std::size_t totalLength = ntohs(header.tot_len);
        if (headerLength < sizeof(iphdr) || totalLength < headerLength || totalLength > bytes.size()) {
            error = ResultCode::PacketBadLength;
            return {};
        }
        if (ntohs(header.frag_off) & (IP_MF | IP_OFFMASK)) {
            error = ResultCode::PacketFragment;
            return {};
        }
        std::array<std::uint8_t, 4> octets;
        std::memcpy(octets.data(), &header.saddr, octets.size());
        view.flow.source = IpAddress::fromV4(octets);
        std::memcpy(octets.data(), &header.daddr, octets.size());
        view.flow.destination = IpAddress::fromV4(octets);
        view.flow.protocol = static_cast<TransportProtocol>(header.protocol);
        return bytes.subspan(headerLength, totalLength - headerLength);
    }

    std::span<const std::byte> parseIpv6(std::span<const std::byte> bytes, PacketView& view, std::error_code& error)
    {
        ip6_hdr header;
        if (!readHeader(bytes, header)) {
            error = ResultCode::PacketTooShort;
            return {};
        }
        const std::size_t payloadLength = ntohs(header.ip6_plen);
        if (payloadLength > bytes.size() - sizeof(header)) {
            error = ResultCode::PacketBadLength;
            return {};
        }
        if (header.ip6_nxt == IPPROTO_FRAGMENT) {
            error = ResultCode::PacketFragment;
            return {};
        }
        std::memcpy(view.flow.source.bytes.data(), &header.ip6_src, view.flow.source.bytes.size());
        std::memcpy(view.flow.destination.bytes.data(), &header.ip6_dst, view.flow.destination.bytes.size());
        view.flow.protocol = static_cast<TransportProtocol>(header.ip6_nxt);
        return bytes.subspan(sizeof(header), payloadLength);
    }

    void parseTcp(std::span<const std::byte> segment, PacketView& view, std::error_code& error)
    {
        constexpr std::size_t wordBytes = 4;
        tcphdr header;
        if (!readHeader(segment, header)) {
            error = ResultCode::PacketTooShort;
            return;
        }
        const std::size_t headerLength = header.doff * wordBytes;
        if (headerLength < sizeof(tcphdr) || headerLength > segment.size()) {
            error = ResultCode::PacketBadLength;
            return;
        }
        view.flow.sourcePort = ntohs(header.source);
        view.flow.destinationPort = ntohs(header.dest);
        view.tcpFlags = header.th_flags;
        view.sequence = ntohl(header.seq);
        view.acknowledgement = ntohl(header.ack_seq);
        view.payload = segment.subspan(headerLength);
    }

    void parseUdp(std::span<const std::byte> datagram, PacketView& view, std::error_code& error)
    {
        udphdr header;
        if (!readHeader(datagram, header)) {
            error = ResultCode::PacketTooShort;
            return;
        }
        const std::size_t length = ntohs(header.len);
        if (length < sizeof(udphdr) || length > datagram.size()) {
            error = ResultCode::PacketBadLength;
            return;
        }
        view.flow.sourcePort = ntohs(header.source);
        view.flow.destinationPort = ntohs(header.dest);
        view.payload = datagram.subspan(sizeof(udphdr), length - sizeof(udphdr));
    }

}

bool IpAddress::isV4() const { return std::equal(mappedPrefix.begin(), mappedPrefix.end(), bytes.begin()); }

std::string IpAddress::toString() const
{
    std::array<char, INET6_ADDRSTRLEN> text {};
    if (isV4())
        inet_ntop(AF_INET, bytes.data() + mappedPrefix.size(), text.data(), text.size());
    else
        inet_ntop(AF_INET6, bytes.data(), text.data(), text.size());
    return text.data();
}

IpAddress IpAddress::parse(std::string_view text, std::error_code& error)
{
    error.clear();
    const std::string copy(text);
    std::array<std::uint8_t, 4> octets;
    if (inet_pton(AF_INET, copy.c_str(), octets.data()) == 1)
        return fromV4(octets);
    IpAddress address;
    if (inet_pton(AF_INET6, copy.c_str(), address.bytes.data()) != 1) {
        error = ResultCode::InvalidValue;
        return {};
    }
    return address;
}

IpAddress IpAddress::fromV4(std::span<const std::uint8_t, 4> octets)
{
    IpAddress address;
    std::copy(mappedPrefix.begin(), mappedPrefix.end(), address.bytes.begin());
    std::copy(octets.begin(), octets.end(), address.bytes.begin() + mappedPrefix.size());
    return address;
}

IpNetwork IpNetwork::parse(std::string_view text, std::error_code& error)
{
    const std::size_t slash = text.find('/');
    IpNetwork network;
    network.address = IpAddress::parse(text.substr(0, slash), error);
    if (error)
        return {};
    const unsigned offset = network.address.isV4() ? mappedPrefixBits : 0;
    network.prefixBits = addressBits;
    if (slash == std::string_view::npos)
        return network;
    const std::string_view digits = text.substr(slash + 1);
    unsigned prefix = 0;
    const auto [end, status] = std::from_chars(digits.data(), digits.data() + digits.size(), prefix);
    if (status != std::errc() || end != digits.data() + digits.size() || prefix > addressBits - offset) {
        error = ResultCode::InvalidValue;
        return {};
    }
    network.prefixBits = prefix + offset;
    return network;
}

bool IpNetwork::contains(const IpAddress& candidate) const
{
    constexpr unsigned byteBits = 8;
    const unsigned wholeBytes = prefixBits / byteBits;
    if (!std::equal(address.bytes.begin(), address.bytes.begin() + wholeBytes, candidate.bytes.begin()))
        return false;
    const unsigned remainingBits = prefixBits % byteBits;
    if (remainingBits == 0)
        return true;
    const unsigned mask = (0xff00u >> remainingBits) & 0xffu;
    return ((address.bytes[wholeBytes] ^ candidate.bytes[wholeBytes]) & mask) == 0;
}

PacketView parsePacket(std::span<const std::byte> bytes, std::error_code& error)
{
    error.clear();
    PacketView view;
    if (bytes.empty()) {
        error = ResultCode::PacketTooShort;
        return view;
    }
    const unsigned version = std::to_integer<unsigned>(bytes[0]) >> versionShift;
    std::span<const std::byte> transport;
    if (version == 4)
        transport = parseIpv4(bytes, view, error);
    else if (version == 6)
        transport = parseIpv6(bytes, view, error);
    else
        error = ResultCode::PacketBadVersion;
    if (error)
        return view;
    if (view.flow.protocol == TransportProtocol::Tcp)
        parseTcp(transport, view, error);
    else if (view.flow.protocol == TransportProtocol::Udp)
        parseUdp(transport, view, error);
    else
        error = ResultCode::PacketUnsupportedProtocol;
    return view;
}

std::uint64_t flowHash(const FlowKey& flow, std::uint64_t key)
{
    std::array<std::uint8_t, 40> buffer {};
    std::memcpy(buffer.data(), flow.source.bytes.data(), 16);
    std::memcpy(buffer.data() + 16, flow.destination.bytes.data(), 16);
    std::memcpy(buffer.data() + 32, &flow.sourcePort, sizeof(flow.sourcePort));
    std::memcpy(buffer.data() + 34, &flow.destinationPort, sizeof(flow.destinationPort));
    buffer[36] = static_cast<std::uint8_t>(flow.protocol);
    const std::uint64_t hash = XXH3_64bits_withSeed(buffer.data(), buffer.size(), key);
    return hash == 0 ? 1 : hash;
}

}
