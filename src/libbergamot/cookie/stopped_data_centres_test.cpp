/// @file
/// Guards against new flows at evacuated data centres, against the end of open flows there, and against an older list
/// that comes back.

#include "bergamotroute/cookie_steering.h"
#include "bergamotroute/held_packets.h"
#include "cookie/target_pool.h"

#include <doctest/doctest.h>

using namespace bergamotroute;

namespace {

constexpr std::uint32_t serviceAddress = 0xc6120001;
constexpr std::uint16_t servicePort = 443;

std::uint64_t parseTargetNumber(std::string_view id) { return std::stoull(std::string(id.substr(2)), nullptr, 16); }

RoutingDocument makeDocument()
{
    RoutingDocument document;
    document.version = 1;
    document.services = { "orders" };
    Route route;
    route.name = "r-1";
    route.address = serviceAddress;
    route.port = servicePort;
    route.services = { { "orders", 1 } };
    document.routes.push_back(route);
    return document;
}

RegisteredTarget makeTarget(const std::string& id, const std::string& dataCentre)
{
    RegisteredTarget target;
    target.record.set_id(id);
    target.record.set_service("orders");
    target.record.set_endpoint("10.0.0." + id.substr(2) + ":80");
    target.record.set_data_centre(dataCentre);
    target.record.set_slots(2);
    target.record.set_born_ms(1);
    return target;
}

schema::StoppedDataCentres makeList(std::uint64_t revision, std::initializer_list<const char*> names)
{
    schema::StoppedDataCentres list;
    list.set_revision(revision);
    for (const char* name : names)
        list.add_names(name);
    return list;
}

FlowPacket firstPacket(std::uint16_t clientPort, std::uint32_t retransmission = 0)
{
    FlowPacket packet;
    packet.flow = { 0x64400001, serviceAddress, clientPort, servicePort };
    packet.syn = true;
    packet.sequence = 1000;
    packet.acknowledgement = retransmission;
    return packet;
}

FlowPacket subsequentPacket(const FlowPacket& first, Cookie cookie)
{
    FlowPacket packet;
    packet.flow = first.flow;
    packet.ack = true;
    packet.cookie = cookie;
    packet.sequence = 1001;
    packet.payloadBytes = 100;
    packet.acknowledgement = 500;
    return packet;
}

/// An entry host in data centre a with two targets in each of the data centres a and b.
struct Fixture {
    ManualClock clock;
    CookieSteering steering { CookieSteeringOptions { "entry-1", "a", parseTargetNumber } };

    Fixture()
    {
        steering.installDocument(makeDocument());
        addTargets();
    }

    void addTargets()
    {
        for (const char* id : { "i-11", "i-12" })
            steering.updateTarget(makeTarget(id, "a"), clock.now());
        for (const char* id : { "i-21", "i-22" })
            steering.updateTarget(makeTarget(id, "b"), clock.now());
    }

    SteeringDecision handle(const FlowPacket& packet) { return steering.handlePacket(packet, clock.now()); }
    bool apply(const schema::StoppedDataCentres& list) { return steering.setStoppedDataCentres(list, clock.now()); }

    /// @return true if new flows get targets of data centre b only.
    bool placesOnlyAtB(std::uint16_t firstPort)
    {
        bool onlyAtB = true;
        for (std::uint16_t port = firstPort; port < firstPort + 40; ++port) {
            const SteeringDecision decision = handle(firstPacket(port));
            onlyAtB = onlyAtB && decision.action == SteeringAction::Forward && decision.target.starts_with("i-2");
        }
        return onlyAtB;
    }
};

}

TEST_CASE_FIXTURE(Fixture, "new flows avoid an evacuated data centre and open flows there continue, on any host")
{
    const FlowPacket first = firstPacket(1);
    const SteeringDecision placed = handle(first);
    REQUIRE(placed.target.starts_with("i-1"));
    const Cookie cookie = placed.cookie;
    CHECK(apply(makeList(5, { "a" })));
    CHECK(placesOnlyAtB(100));
    CHECK(handle(subsequentPacket(first, cookie)).action == SteeringAction::Forward);
    CHECK(steering.stoppedDataCentres().openFlows == 1);
    CHECK(steering.stoppedDataCentres().targets == 2);
    // A restarted entry host has no state of the flow.
    Fixture restarted;
    restarted.apply(makeList(5, { "a" }));
    CHECK(restarted.handle(subsequentPacket(first, cookie)).action == SteeringAction::Forward);
    CHECK(restarted.placesOnlyAtB(100));
}

TEST_CASE("a retransmitted first packet leaves the evacuated data centre though its target answers others")
{
    for (const bool isOrdered : { false, true }) {
        Fixture host;
        const FlowPacket other = firstPacket(1);
        const Cookie cookie = host.handle(other).cookie;
        std::uint16_t port = 2;
        while (host.handle(firstPacket(port)).cookie != cookie)
            ++port;
        host.clock.advance(Duration(200));
        host.handle(subsequentPacket(other, cookie));
        if (isOrdered)
            host.apply(makeList(5, { "a" }));
        const SteeringDecision decision = host.handle(firstPacket(port, 1));
        // Without the order the retransmission goes to the same target, because that one has answered since.
        CHECK((decision.cookie == cookie) == !isOrdered);
        CHECK(decision.target.starts_with(isOrdered ? "i-2" : "i-1"));
    }
}

TEST_CASE_FIXTURE(Fixture, "the second choice for a flow without an answer is not in the evacuated data centre")
{
    apply(makeList(5, { "a" }));
    REQUIRE(handle(firstPacket(1)).target.starts_with("i-2"));
    for (std::uint32_t copy = 1; copy <= 4; ++copy) {
        clock.advance(Duration(1000));
        CHECK(handle(firstPacket(1, copy)).target.starts_with("i-2"));
    }
}

TEST_CASE("a first packet that was held until the targets were known is not placed at an evacuated data centre")
{
    ManualClock clock;
    CookieSteering steering { CookieSteeringOptions { "entry-1", "a", parseTargetNumber } };
    REQUIRE(steering.handlePacket(firstPacket(1), clock.now()).action == SteeringAction::Hold);
    HeldPackets held(10, Duration(500));
    held.add({}, retransmissionKey(firstPacket(1)), clock.now());
    clock.advance(Duration(100));
    steering.installDocument(makeDocument());
    steering.setStoppedDataCentres(makeList(5, { "a" }), clock.now());
    steering.updateTarget(makeTarget("i-11", "a"), clock.now());
    steering.updateTarget(makeTarget("i-21", "b"), clock.now());
    std::string target;
    held.retry(clock.now(), [&](std::span<const std::byte>, bool) {
        target = steering.handlePacket(firstPacket(1), clock.now()).target;
        return true;
    });
    CHECK(target == "i-21");
}

TEST_CASE_FIXTURE(Fixture, "without a data centre in service new flows are refused at once and open flows continue")
{
    const FlowPacket first = firstPacket(1);
    const Cookie cookie = handle(first).cookie;
    apply(makeList(5, { "a", "b" }));
    const SteeringDecision refused = handle(firstPacket(2));
    CHECK(refused.action == SteeringAction::Reset);
    CHECK(refused.code == ResultCode::FlowNoTarget);
    CHECK(handle(subsequentPacket(first, cookie)).action == SteeringAction::Forward);
    apply(makeList(6, { "a" }));
    CHECK(placesOnlyAtB(100));
}

// Guards against a control host that was cut off, or a late answer, that brings an older state back.
TEST_CASE_FIXTURE(Fixture, "a list of the same or a lower revision has no effect")
{
    CHECK(apply(makeList(7, { "a" })));
    CHECK_FALSE(apply(makeList(6, {})));
    CHECK_FALSE(apply(makeList(7, { "b" })));
    CHECK_FALSE(apply({}));
    CHECK(placesOnlyAtB(100));
    CHECK(steering.stoppedDataCentres().revision == 7);
    CHECK(steering.stoppedDataCentres().count == 1);
}

// Guards against targets that start, restart or come into view during an evacuation and get new flows.
TEST_CASE_FIXTURE(Fixture, "a target that becomes known after the order gets no new flows")
{
    apply(makeList(5, { "a" }));
    RegisteredTarget late = makeTarget("i-13", "a");
    steering.updateTarget(late, clock.now());
    late.record.set_born_ms(2);
    steering.updateTarget(late, clock.now());
    CHECK(placesOnlyAtB(100));
}

TEST_CASE("the time of the return to service is known for data centres that were stopped and are not any more")
{
    ManualClock clock;
    TargetPool pool(parseTargetNumber);
    pool.setStoppedDataCentres(makeList(3, { "a" }), clock.now());
    CHECK_FALSE(pool.returnedAt("a").has_value());
    CHECK_FALSE(pool.returnedAt("b").has_value());
    clock.advance(Duration(1000));
    const TimePoint returned = clock.now();
    pool.setStoppedDataCentres(makeList(4, { "b" }), clock.now());
    CHECK(pool.returnedAt("a") == returned);
    CHECK_FALSE(pool.returnedAt("b").has_value());
    clock.advance(Duration(1000));
    // A change elsewhere does not move the time.
    pool.setStoppedDataCentres(makeList(5, {}), clock.now());
    CHECK(pool.returnedAt("a") == returned);
    pool.setStoppedDataCentres(makeList(6, { "a" }), clock.now());
    CHECK_FALSE(pool.returnedAt("a").has_value());
}

// Guards against a host that misses a whole evacuation and keeps the time of an earlier return.
TEST_CASE("a return that this host missed is known by the age that the control host tells")
{
    ManualClock clock;
    TargetPool pool(parseTargetNumber);
    pool.setStoppedDataCentres(makeList(3, { "a" }), clock.now());
    pool.setStoppedDataCentres(makeList(4, {}), clock.now());
    clock.advance(Duration(5000));
    schema::StoppedDataCentres list = makeList(8, {});
    list.add_returned()->set_name("a");
    list.mutable_returned(0)->set_age_ms(400);
    pool.setStoppedDataCentres(list, clock.now());
    CHECK(pool.returnedAt("a") == clock.now() - Duration(400));
    pool.setStoppedDataCentres(makeList(9, { "a" }), clock.now());
    CHECK_FALSE(pool.returnedAt("a").has_value());
}
