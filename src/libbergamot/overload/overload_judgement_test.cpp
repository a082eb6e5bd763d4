/// @file
/// Guards against live targets that an overloaded host judges unreachable: its own full link keeps first packets,
/// probes and responses waiting.

#include "overload/steering_fixture.h"

using namespace bergamotroute;
using namespace bergamotroute::overloadtest;

namespace {

/// A host that has just become overloaded.
struct OverloadedHost : SteeringFixture {
    OverloadedHost() { steering.setLinkState(makeLinkState(true)); }

    /// Probes a target for 2 s without an answer.
    void probeWithoutAnswer(Cookie cookie)
    {
        for (const TimePoint end = clock.now() + Duration(2000); clock.now() < end; clock.advance(Duration(100)))
            probe(cookie, ProbeOutcome::NoAnswer);
    }
};

}

TEST_CASE_FIXTURE(OverloadedHost, "surge of all: flows of live targets are not reset when probes get no answer")
{
    const FlowPacket first = firstPacket(1, lookupPort);
    const Cookie cookie = openAndSendRequest(first);
    const FlowPacket repeated = subsequentPacket(first, cookie, 1001, 100, 500);
    handle(repeated);
    probeWithoutAnswer(cookie);
    CHECK(handle(repeated).action == SteeringAction::Forward);
    CHECK(steering.takeResets(idOf(cookie)).empty());
    const schema::TargetLoadReport report = steering.makeReport();
    CHECK(report.overloaded());
    CHECK(report.unreachable_cookies().empty());
}

TEST_CASE_FIXTURE(OverloadedHost, "surge of all: a verdict from before the surge resets no flow during the surge")
{
    steering.setLinkState(makeLinkState(false));
    const FlowPacket first = firstPacket(1, lookupPort);
    const Cookie cookie = openAndSendRequest(first);
    const FlowPacket repeated = subsequentPacket(first, cookie, 1001, 100, 500);
    handle(repeated);
    probe(cookie, ProbeOutcome::NoAnswer);
    REQUIRE(probe(cookie, ProbeOutcome::NoAnswer));
    steering.setLinkState(makeLinkState(true));
    CHECK(steering.takeResets(idOf(cookie)).empty());
    CHECK(handle(repeated).action == SteeringAction::Forward);
    for (std::uint16_t port = 2; port < 10; ++port)
        CHECK(handle(firstPacket(port, lookupPort)).cookie != cookie);
}

TEST_CASE_FIXTURE(OverloadedHost, "surge of all: repeated first packets stay at their target, which is not avoided")
{
    const Cookie cookie = handle(firstPacket(1, lookupPort)).cookie;
    for (const std::uint32_t retransmission : { 1U, 2U }) {
        clock.advance(Duration(300));
        const SteeringDecision again = handle(firstPacket(1, lookupPort, retransmission));
        CHECK(again.action == SteeringAction::Forward);
        CHECK(again.cookie == cookie);
        CHECK(again.code == ResultCode::FlowPlaced);
    }
    CHECK(steering.counters().avoidedTargets == 0);
}

TEST_CASE_FIXTURE(OverloadedHost, "surge of all: a repeated first packet leaves a target that is gone or has ended")
{
    const Cookie gone = handle(firstPacket(1, lookupPort)).cookie;
    steering.updateTarget(makeTarget(idOf(gone), schema::TARGET_GONE), clock.now());
    CHECK(handle(firstPacket(1, lookupPort, 1)).cookie != gone);
    const Cookie ended = handle(firstPacket(2, lookupPort)).cookie;
    handle(firstPacket(2, lookupPort, 1));
    CHECK(probe(ended, ProbeOutcome::Refused));
    CHECK(handle(firstPacket(2, lookupPort, 2)).cookie != ended);
}

TEST_CASE_FIXTURE(OverloadedHost, "recovery: a dead target is unreachable within 2 s after the surge")
{
    const FlowPacket first = firstPacket(1, lookupPort);
    const Cookie cookie = openAndSendRequest(first);
    const FlowPacket repeated = subsequentPacket(first, cookie, 1001, 100, 500);
    handle(repeated);
    probeWithoutAnswer(cookie);
    steering.setLinkState(makeLinkState(false));
    probeWithoutAnswer(cookie);
    CHECK(handle(repeated).action == SteeringAction::Reset);
}

TEST_CASE("targets that an overloaded host reports as unreachable are neither avoided nor probed")
{
    SteeringFixture host;
    const FlowPacket first = firstPacket(1, lookupPort);
    const Cookie cookie = host.openAndSendRequest(first);
    host.report(cookie, 0, true, true);
    host.handle(subsequentPacket(first, cookie, 1101, 10, 500));
    CHECK(host.steering.takeProbes(host.clock.now()).empty());
    host.report(cookie, 0, true, false);
    host.handle(subsequentPacket(first, cookie, 1111, 10, 500));
    CHECK(host.steering.takeProbes(host.clock.now()).size() == 1);
}

TEST_CASE("without upload routes or a known link the state of the link changes no decision")
{
    for (const bool hasUploads : { false, true }) {
        SteeringFixture host(hasUploads ? 0 : linkBytesPerSecond);
        RoutingDocument document = makeDocument(2);
        if (!hasUploads)
            std::erase_if(document.routes, [](const Route& route) { return route.kind == RequestKind::Upload; });
        host.steering.installDocument(std::move(document));
        host.steering.setLinkState(makeLinkState(true));
        const Cookie cookie = host.handle(firstPacket(1, lookupPort)).cookie;
        host.clock.advance(Duration(200));
        CHECK(host.handle(firstPacket(1, lookupPort, 1)).cookie != cookie);
        CHECK_FALSE(host.steering.makeReport().overloaded());
    }
}

TEST_CASE_FIXTURE(OverloadedHost, "surge of all: a suspected target is probed at most twice per second")
{
    const FlowPacket first = firstPacket(1, lookupPort);
    const Cookie cookie = openAndSendRequest(first);
    handle(subsequentPacket(first, cookie, 1001, 100, 500));
    for (const ProbeOutcome outcome : { ProbeOutcome::NoAnswer, ProbeOutcome::Inconclusive }) {
        std::size_t probes = 0;
        for (const TimePoint end = clock.now() + Duration(2000); clock.now() < end; clock.advance(Duration(20))) {
            for (const ProbeRequest& request : steering.takeProbes(clock.now())) {
                ++probes;
                steering.handleProbeOutcome(request.target, outcome, clock.now());
            }
        }
        CHECK(probes <= 4);
    }
}
