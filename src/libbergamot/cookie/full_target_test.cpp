/// @file
/// Guards against open flows that are reset because their target is busy: a target with a full queue answers neither
/// first packets nor connection probes, but it is alive.

#include "overload/steering_fixture.h"

using namespace bergamotroute;
using namespace bergamotroute::overloadtest;

namespace {

/// Probes a target every 100 ms without an answer.
void probeFor(SteeringFixture& fixture, Cookie cookie, Duration time)
{
    const TimePoint end = fixture.clock.now() + time;
    while (fixture.clock.now() < end) {
        fixture.probe(cookie, ProbeOutcome::NoAnswer);
        fixture.clock.advance(Duration(100));
    }
}

}

TEST_CASE("a full target that answers nothing for a second is not unreachable, and its flows stay open")
{
    SteeringFixture host(0);
    const FlowPacket first = firstPacket(1, lookupPort);
    const Cookie cookie = host.openAndSendRequest(first);
    host.report(cookie, 6);
    host.handle(subsequentPacket(first, cookie, 1101, 100, 600));
    const FlowPacket repeated = subsequentPacket(first, cookie, 1101, 100, 600);
    host.clock.advance(Duration(200));
    host.handle(repeated);
    probeFor(host, cookie, Duration(1000));
    CHECK(host.handle(repeated).action == SteeringAction::Forward);
    CHECK(host.steering.takeResets(host.idOf(cookie)).empty());
    // It answers, and a later repetition begins a new suspicion.
    host.handle(subsequentPacket(first, cookie, 1201, 100, 700));
    host.handle(subsequentPacket(first, cookie, 1201, 100, 700));
    probeFor(host, cookie, Duration(1000));
    CHECK(host.handle(subsequentPacket(first, cookie, 1201, 100, 700)).action == SteeringAction::Forward);
}

TEST_CASE("a full target that other hosts report is not unreachable at a host that has no flow there yet")
{
    SteeringFixture host(0);
    const FlowPacket first = firstPacket(1, lookupPort);
    const Cookie cookie = host.handle(first).cookie;
    host.report(cookie, 2);
    host.clock.advance(Duration(200));
    host.handle(firstPacket(1, lookupPort, 1));
    probeFor(host, cookie, Duration(1000));
    const FlowPacket moved = firstPacket(2, lookupPort);
    CHECK(host.handle(subsequentPacket(moved, cookie, 1001, 100, 500)).action == SteeringAction::Forward);
}

TEST_CASE("a target that dies while it is full is unreachable after 1.5 s of silence")
{
    SteeringFixture host(0);
    const FlowPacket first = firstPacket(1, lookupPort);
    const Cookie cookie = host.openAndSendRequest(first);
    host.report(cookie, 6);
    host.handle(subsequentPacket(first, cookie, 1101, 100, 600));
    host.handle(subsequentPacket(first, cookie, 1101, 100, 600));
    probeFor(host, cookie, Duration(2000));
    CHECK(host.handle(subsequentPacket(first, cookie, 1101, 100, 600)).action == SteeringAction::Reset);
}

TEST_CASE("requests that pile up at a target after it has died do not make it count as full")
{
    SteeringFixture host(0);
    const FlowPacket first = firstPacket(1, lookupPort);
    const Cookie cookie = host.openAndSendRequest(first);
    const FlowPacket repeated = subsequentPacket(first, cookie, 1001, 100, 500);
    host.clock.advance(Duration(200));
    host.report(cookie, 6);
    host.handle(repeated);
    CHECK_FALSE(host.probe(cookie, ProbeOutcome::NoAnswer));
    CHECK(host.probe(cookie, ProbeOutcome::NoAnswer));
    CHECK(host.handle(repeated).action == SteeringAction::Reset);
}

TEST_CASE("the outcome of a probe that began before the target's last response does not count against the target")
{
    SteeringFixture host(0);
    const FlowPacket first = firstPacket(1, lookupPort);
    const Cookie cookie = host.openAndSendRequest(first);
    host.handle(subsequentPacket(first, cookie, 1001, 100, 500));
    const std::vector<ProbeRequest> former = host.steering.takeProbes(host.clock.now());
    REQUIRE(former.size() == 1);
    host.handle(subsequentPacket(first, cookie, 1101, 100, 600));
    host.handle(subsequentPacket(first, cookie, 1101, 100, 600));
    host.steering.handleProbeOutcome(former[0].target, ProbeOutcome::NoAnswer, host.clock.now());
    CHECK_FALSE(host.probe(cookie, ProbeOutcome::NoAnswer));
    CHECK(host.handle(subsequentPacket(first, cookie, 1101, 100, 600)).action == SteeringAction::Forward);
}

TEST_CASE("a target that dies while it is idle is unreachable within 0.4 s, although its last requests fill its slots")
{
    SteeringFixture host(0);
    std::vector<FlowPacket> flows { firstPacket(1, lookupPort) };
    const Cookie cookie = host.openAndSendRequest(flows[0]);
    for (std::uint16_t port = 2; flows.size() < 2; ++port) {
        const FlowPacket first = firstPacket(port, lookupPort);
        if (host.openAndSendRequest(first) == cookie)
            flows.push_back(first);
    }
    for (const FlowPacket& first : flows)
        host.handle(subsequentPacket(first, cookie, 1101, 0, 600));
    host.clock.advance(Duration(2000));
    const TimePoint died = host.clock.now();
    for (int copy = 0; copy < 2; ++copy) {
        for (const FlowPacket& first : flows)
            host.handle(subsequentPacket(first, cookie, 1101, 100, 600));
        host.clock.advance(copy == 0 ? Duration(200) : Duration(0));
    }
    host.probe(cookie, ProbeOutcome::NoAnswer);
    CHECK(host.probe(cookie, ProbeOutcome::NoAnswer));
    CHECK(host.clock.now() - died <= Duration(400));
    CHECK(host.handle(subsequentPacket(flows[0], cookie, 1101, 100, 600)).action == SteeringAction::Reset);
}
