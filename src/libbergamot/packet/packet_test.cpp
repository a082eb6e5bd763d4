#include "bergamotroute/packet.h"
#include "bergamotroute/packet_builder.h"
#include "bergamotroute/result_code.h"

#include <array>
#include <doctest/doctest.h>

using namespace bergamotroute;

namespace {

FlowKey makeFlow(std::string_view source, std::string_view destination, TransportProtocol protocol)
{
    std::error_code error;
    FlowKey flow { IpAddress::parse(source, error), IpAddress::parse(destination, error), 40'000, 443, protocol };
    REQUIRE_FALSE(error);
    return flow;
}

}

// Guards against packets whose parsed fields differ from those that were sent.
TEST_CASE("parsing a built packet returns the fields it was built from")
{
    const std::array<std::byte, 3> payload { std::byte { 'a' }, std::byte { 'b' }, std::byte { 'c' } };
    for (const auto& [source, destination] :
        { std::pair("10.0.0.1", "10.9.0.1"), std::pair("2001:db8::1", "2001:db8::2") }) {
        const FlowKey flow = makeFlow(source, destination, TransportProtocol::Tcp);
        const auto packet
            = buildTcpPacket(flow, { .flags = TcpAck | TcpPsh, .sequence = 7, .acknowledgement = 9 }, payload);
        std::error_code error;
        const PacketView view = parsePacket(packet, error);
        REQUIRE_FALSE(error);
        CHECK(view.flow == flow);
        CHECK(view.sequence == 7);
        CHECK(view.acknowledgement == 9);
        CHECK(view.payload.size() == payload.size());
        CHECK_FALSE(view.isFirstPacket());
        const FlowKey udpFlow = makeFlow(source, destination, TransportProtocol::Udp);
        const auto datagram = buildUdpPacket(udpFlow, payload);
        CHECK(parsePacket(datagram, error).flow == udpFlow);
        CHECK_FALSE(error);
    }
}

// Guards against reads past the end of a truncated packet.
TEST_CASE("a packet that is truncated at any length is rejected")
{
    const auto packet = buildTcpPacket(makeFlow("10.0.0.1", "10.9.0.1", TransportProtocol::Tcp), { .flags = TcpSyn });
    for (std::size_t size = 0; size < packet.size(); ++size) {
        std::error_code error;
        parsePacket(std::span(packet).first(size), error);
        CHECK(error);
    }
}

// Guards against flows whose packets hash differently on different hosts, and against a hash key without effect.
TEST_CASE("the flow hash depends only on the 5-tuple and the key")
{
    const FlowKey flow = makeFlow("10.0.0.1", "10.9.0.1", TransportProtocol::Tcp);
    FlowKey other = flow;
    other.sourcePort = 40'001;
    CHECK(flowHash(flow, 1) == flowHash(FlowKey(flow), 1));
    CHECK(flowHash(flow, 1) != flowHash(flow, 2));
    CHECK(flowHash(flow, 1) != flowHash(other, 1));
}

// Guards against announcements that are accepted from outside the allowed networks.
TEST_CASE("a network contains only the addresses under its prefix")
{
    std::error_code error;
    const IpNetwork network = IpNetwork::parse("10.1.0.0/20", error);
    REQUIRE_FALSE(error);
    CHECK(network.contains(IpAddress::parse("10.1.15.255", error)));
    CHECK_FALSE(network.contains(IpAddress::parse("10.1.16.0", error)));
    CHECK_FALSE(network.contains(IpAddress::parse("2001:db8::1", error)));
    IpNetwork::parse("10.1.0.0/33", error);
    CHECK(error == ResultCode::InvalidValue);
}
