#include "properties.h"

#include "mutation.h"

#include "bergamotroute/packet_builder.h"

namespace bergamotroute::properties {

namespace {

    FlowKey anyFlow()
    {
        FlowKey key;
        const auto octets = *rc::gen::container<std::array<std::uint8_t, 8>>(rc::gen::arbitrary<std::uint8_t>());
        const std::span<const std::uint8_t, 8> view(octets);
        key.source = IpAddress::fromV4(view.first<4>());
        key.destination = IpAddress::fromV4(view.last<4>());
        if (*rc::gen::arbitrary<bool>()) {
            key.source.bytes[0] = 0x20;
            key.destination.bytes[0] = 0x20;
        }
        key.sourcePort = *rc::gen::arbitrary<std::uint16_t>();
        key.destinationPort = *rc::gen::arbitrary<std::uint16_t>();
        return key;
    }

    std::string anyTcpPacket(FlowKey& key, TcpFields& fields, std::string& payload)
    {
        key = anyFlow();
        fields.flags = *rc::gen::inRange<std::uint8_t>(0, 32);
        fields.sequence = *rc::gen::arbitrary<std::uint32_t>();
        fields.acknowledgement = *rc::gen::arbitrary<std::uint32_t>();
        payload = *rc::gen::arbitrary<std::string>();
        const std::vector<std::byte> packet = buildTcpPacket(key, fields, asBytes(payload));
        return { reinterpret_cast<const char*>(packet.data()), packet.size() };
    }

    /// Guards against a parser that reports another flow than the one that was sent.
    bool checkRoundTrip()
    {
        return rc::check("parsing a generated TCP packet returns the fields it was built from", [] {
            FlowKey key;
            TcpFields fields;
            std::string payload;
            const std::string packet = anyTcpPacket(key, fields, payload);
            std::error_code error;
            const PacketView view = parsePacket(asBytes(packet), error);
            RC_ASSERT(!error);
            RC_ASSERT(view.flow == key);
            RC_ASSERT(view.tcpFlags == fields.flags);
            RC_ASSERT(view.sequence == fields.sequence);
            RC_ASSERT(view.acknowledgement == fields.acknowledgement);
            RC_ASSERT(
                std::equal(view.payload.begin(), view.payload.end(), asBytes(payload).begin(), asBytes(payload).end()));
        });
    }

    /// Guards against reads outside the packet when a length field of a header is wrong.
    bool checkMalformedPacket()
    {
        return rc::check("a malformed packet is rejected, or its payload lies within the packet", [] {
            FlowKey key;
            TcpFields fields;
            std::string payload;
            const std::string packet = anyInput(anyTcpPacket(key, fields, payload));
            std::error_code error;
            const std::span<const std::byte> bytes = asBytes(packet);
            const PacketView view = parsePacket(bytes, error);
            if (error) {
                RC_ASSERT(error.value() >= 200);
                RC_ASSERT(error.value() < 300);
                return;
            }
            RC_ASSERT(view.payload.size() <= bytes.size());
            RC_ASSERT(view.payload.empty() || view.payload.data() >= bytes.data());
            RC_ASSERT(view.payload.empty() || view.payload.data() + view.payload.size() <= bytes.data() + bytes.size());
        });
    }

}

bool checkPackets()
{
    const bool roundTrip = checkRoundTrip();
    return checkMalformedPacket() && roundTrip;
}

}
