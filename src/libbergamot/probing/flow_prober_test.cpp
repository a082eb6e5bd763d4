#include "bergamotroute/entry_host.h"
#include "bergamotroute/flow_prober.h"
#include "bergamotroute/packet_builder.h"

#include <doctest/doctest.h>

using namespace bergamotroute;

namespace {

constexpr std::uint64_t flow = 99;

FlowKey callerKey()
{
    std::error_code error;
    return { IpAddress::parse("192.0.2.7", error), IpAddress::parse("198.51.100.1", error), 40'000, 443,
        TransportProtocol::Tcp };
}

struct ProberFixture {
    ProberFixture()
    {
        schema::Configuration configuration;
        schema::Service* service = configuration.add_services();
        service->set_address("198.51.100.1");
        service->add_ports(443);
        service->set_protocol(schema::TCP);
        service->set_probe_idle_seconds(60);
        prober->handleConfiguration(configuration, clock.now());
    }

    void receive(std::uint8_t flags, std::uint32_t sequence, std::uint32_t acknowledgement)
    {
        const std::vector<std::byte> bytes = buildTcpPacket(callerKey(), { flags, sequence, acknowledgement });
        std::error_code error;
        prober->handlePacket(flow, parsePacket(bytes, error), clock.now());
    }

    std::vector<ProbeAction> advanceBy(Duration time)
    {
        clock.advance(time);
        return prober->advance(clock.now());
    }

    ManualClock clock;
    std::unique_ptr<FlowProber> prober = makeFlowProber({});
};

}

// Guards against probes that the caller's TCP stack ignores: a keep-alive must lie below the acknowledged number.
TEST_CASE("an idle flow gets a keep-alive with the sequence number just below the acknowledged one")
{
    ProberFixture fixture;
    fixture.receive(TcpSyn, 1'000, 0);
    fixture.receive(TcpAck, 1'001, 5'000);
    CHECK(fixture.prober->nextDeadline() <= fixture.clock.now() + Duration(60'000));
    CHECK(fixture.advanceBy(Duration(59'999)).empty());
    const std::vector<ProbeAction> actions = fixture.advanceBy(Duration(1));
    REQUIRE(actions.size() == 1);
    CHECK(actions[0].kind == ProbeAction::Kind::Probe);
    std::error_code error;
    const PacketView probe = parsePacket(actions[0].packet, error);
    REQUIRE_FALSE(error);
    CHECK(probe.flow.source == callerKey().destination);
    CHECK(probe.flow.destinationPort == callerKey().sourcePort);
    CHECK(probe.sequence == 4'999);
    CHECK(probe.acknowledgement == 1'001);
    CHECK(probe.tcpFlags == TcpAck);
}

// Guards against resets of flows that are idle but alive.
TEST_CASE("an idle flow that answers each probe is never reset")
{
    ProberFixture fixture;
    fixture.receive(TcpAck, 1'001, 5'000);
    for (int round = 0; round < 20; ++round) {
        const std::vector<ProbeAction> actions = fixture.advanceBy(Duration(60'000));
        REQUIRE(actions.size() == 1);
        CHECK(actions[0].kind == ProbeAction::Kind::Probe);
        fixture.receive(TcpAck, 1'001, 5'000);
    }
}

// Guards against dead flows that are never ended.
TEST_CASE("after five unanswered probes the target and the caller get a reset")
{
    ProberFixture fixture;
    fixture.receive(TcpAck, 1'001, 5'000);
    CHECK(fixture.advanceBy(Duration(60'000)).size() == 1);
    for (int probe = 2; probe <= 5; ++probe) {
        CHECK(fixture.advanceBy(Duration(74'999)).empty());
        CHECK(fixture.advanceBy(Duration(1)).size() == 1);
    }
    const std::vector<ProbeAction> actions = fixture.advanceBy(Duration(75'000));
    REQUIRE(actions.size() == 2);
    CHECK(actions[0].kind == ProbeAction::Kind::ResetTarget);
    CHECK(actions[1].kind == ProbeAction::Kind::ResetCaller);
    std::error_code error;
    const PacketView toTarget = parsePacket(actions[0].packet, error);
    CHECK(toTarget.flow == callerKey());
    CHECK(toTarget.sequence == 1'001);
    CHECK((toTarget.tcpFlags & TcpRst) != 0);
    const PacketView toCaller = parsePacket(actions[1].packet, error);
    CHECK(toCaller.flow.destination == callerKey().source);
    CHECK(toCaller.sequence == 5'000);
    CHECK(fixture.advanceBy(Duration(3'600'000)).empty());
    CHECK(fixture.prober->nextDeadline() == noDeadline);
}

// Guards against resets that hit a new connection on the same 5-tuple.
TEST_CASE("a flow that ended or was removed is not probed")
{
    ProberFixture fixture;
    fixture.receive(TcpAck, 1'001, 5'000);
    fixture.receive(TcpRst, 1'001, 0);
    CHECK(fixture.advanceBy(Duration(60'000)).empty());
    fixture.receive(TcpAck, 1'001, 5'000);
    fixture.prober->forget(flow);
    CHECK(fixture.advanceBy(Duration(60'000)).empty());
    fixture.receive(TcpFin | TcpAck, 1'001, 5'000);
    CHECK(fixture.advanceBy(Duration(60'000)).empty());
}

// Guards against probes with a sequence number that was acknowledged long ago.
TEST_CASE("a late duplicate of a packet does not turn sequence numbers back")
{
    ProberFixture fixture;
    fixture.receive(TcpAck, 4'294'967'290U, 5'000);
    fixture.receive(TcpAck, 10, 6'000);
    fixture.receive(TcpAck, 4'294'967'290U, 5'000);
    const std::vector<ProbeAction> actions = fixture.advanceBy(Duration(60'000));
    REQUIRE(actions.size() == 1);
    std::error_code error;
    const PacketView probe = parsePacket(actions[0].packet, error);
    CHECK(probe.sequence == 5'999);
    CHECK(probe.acknowledgement == 10);
}
