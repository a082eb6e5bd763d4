#include "bergamotroute/packet_builder.h"

#include <arpa/inet.h>
#include <cstring>
#include <netinet/ip.h>
#include <netinet/ip6.h>
#include <netinet/tcp.h>
#include <netinet/udp.h>

namespace bergamotroute {

namespace {

    constexpr std::uint8_t hopLimit = 64;
    constexpr std::size_t mappedV4Offset = 12;

    /// Internet checksum (RFC 1071) over several parts; each part except the last must have an even length.
    class Checksum {
    public:
        void add(std::span<const std::byte> bytes)
        {
            for (std::size_t i = 0; i < bytes.size(); ++i) {
                const std::uint32_t value = std::to_integer<std::uint32_t>(bytes[i]);
                m_sum += i % 2 == 0 ? value << 8 : value;
            }
        }

        void addWord(std::uint32_t word) { m_sum += (word >> 16) + (word & 0xffff); }

        std::uint16_t networkOrder() const
        {
            std::uint64_t sum = m_sum;
            while (sum >> 16)
                sum = (sum & 0xffff) + (sum >> 16);
            return htons(static_cast<std::uint16_t>(~sum));
        }

    private:
        std::uint64_t m_sum = 0;
    };

    template <typename Header> void writeHeader(std::span<std::byte> destination, const Header& header)
    {
        std::memcpy(destination.data(), &header, sizeof(Header));
    }

    std::uint16_t transportChecksum(const FlowKey& flow, std::span<const std::byte> transport)
    {
        Checksum sum;
        sum.add(std::as_bytes(std::span(flow.source.bytes)).subspan(flow.source.isV4() ? mappedV4Offset : 0));
        sum.add(std::as_bytes(std::span(flow.destination.bytes)).subspan(flow.destination.isV4() ? mappedV4Offset : 0));
        sum.addWord(static_cast<std::uint32_t>(flow.protocol));
        sum.addWord(static_cast<std::uint32_t>(transport.size()));
        sum.add(transport);
        return sum.networkOrder();
    }

    void writeIpv4(std::span<std::byte> packet, const FlowKey& flow)
    {
        iphdr header {};
        header.version = 4;
        header.ihl = sizeof(iphdr) / 4;
        header.tot_len = htons(static_cast<std::uint16_t>(packet.size()));
        header.frag_off = htons(IP_DF);
        header.ttl = hopLimit;
        header.protocol = static_cast<std::uint8_t>(flow.protocol);
        std::memcpy(&header.saddr, flow.source.bytes.data() + mappedV4Offset, sizeof(header.saddr));
        std::memcpy(&header.daddr, flow.destination.bytes.data() + mappedV4Offset, sizeof(header.daddr));
        Checksum sum;
        sum.add(std::as_bytes(std::span(&header, 1)));
        header.check = sum.networkOrder();
        writeHeader(packet, header);
    }

    void writeIpv6(std::span<std::byte> packet, const FlowKey& flow)
    {
        ip6_hdr header {};
        constexpr std::uint32_t ipv6Version = 6u << 28;
        header.ip6_flow = htonl(ipv6Version);
        header.ip6_plen = htons(static_cast<std::uint16_t>(packet.size() - sizeof(header)));
        header.ip6_nxt = static_cast<std::uint8_t>(flow.protocol);
        header.ip6_hlim = hopLimit;
        std::memcpy(&header.ip6_src, flow.source.bytes.data(), sizeof(header.ip6_src));
        std::memcpy(&header.ip6_dst, flow.destination.bytes.data(), sizeof(header.ip6_dst));
        writeHeader(packet, header);
    }

    /// Allocates a packet, writes its IP header and copies the payload after the space for the transport header.
    /// @param transportHeader size of the transport header in bytes.
    /// @param[out] transport the transport header and payload within the returned packet.
    std::vector<std::byte> beginPacket(const FlowKey& flow, std::size_t transportHeader,
        std::span<const std::byte> payload, std::span<std::byte>& transport)
    {
        const std::size_t ipHeader = flow.source.isV4() ? sizeof(iphdr) : sizeof(ip6_hdr);
        std::vector<std::byte> packet(ipHeader + transportHeader + payload.size());
        if (flow.source.isV4())
            writeIpv4(packet, flow);
        else
            writeIpv6(packet, flow);
        transport = std::span(packet).subspan(ipHeader);
        if (!payload.empty())
            std::memcpy(transport.data() + transportHeader, payload.data(), payload.size());
        return packet;
    }

}

std::vector<std::byte> buildTcpPacket(const FlowKey& flow, const TcpFields& fields, std::span<const std::byte> payload)
{
    std::span<std::byte> transport;
    std::vector<std::byte> packet = beginPacket(flow, sizeof(tcphdr), payload, transport);
    tcphdr header {};
    header.source = htons(flow.sourcePort);
    header.dest = htons(flow.destinationPort);
    header.seq = htonl(fields.sequence);
    header.ack_seq = htonl(fields.acknowledgement);
    header.doff = sizeof(tcphdr) / 4;
    header.th_flags = fields.flags;
    header.window = htons(fields.window);
    writeHeader(transport, header);
    header.check = transportChecksum(flow, transport);
    writeHeader(transport, header);
    return packet;
}

std::vector<std::byte> buildUdpPacket(const FlowKey& flow, std::span<const std::byte> payload)
{
    std::span<std::byte> transport;
    std::vector<std::byte> packet = beginPacket(flow, sizeof(udphdr), payload, transport);
    udphdr header {};
    header.source = htons(flow.sourcePort);
    header.dest = htons(flow.destinationPort);
    header.len = htons(static_cast<std::uint16_t>(transport.size()));
    writeHeader(transport, header);
    header.check = transportChecksum(flow, transport);
    if (header.check == 0)
        header.check = 0xffff;
    writeHeader(transport, header);
    return packet;
}

}
