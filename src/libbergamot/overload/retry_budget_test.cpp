/// @file
/// Guards against second choices that multiply the connections of targets in a surge.

#include "overload/retry_budget.h"

#include "overload/steering_fixture.h"

using namespace bergamotroute;
using namespace bergamotroute::overloadtest;

namespace {

int takeAll(RetryBudget& budget, TimePoint now)
{
    int taken = 0;
    while (taken < 1000 && budget.take(now))
        ++taken;
    return taken;
}

}

TEST_CASE("daily peak: the budget is a tenth of the first packets of the last 10 s, plus 10")
{
    ManualClock clock;
    RetryBudget budget;
    CHECK(takeAll(budget, clock.now()) == 10);
    for (int second = 0; second < 8; ++second) {
        clock.advance(Duration(1000));
        for (int packet = 0; packet < 50; ++packet)
            budget.countFirstPacket(clock.now());
    }
    CHECK(takeAll(budget, clock.now()) == 40);
    clock.advance(Duration(11'000));
    CHECK(takeAll(budget, clock.now()) == 10);
}

TEST_CASE("unresponsive targets in a surge: with an empty budget a repeated first packet goes to the same target")
{
    for (const bool hasLink : { true, false }) {
        SteeringFixture host(hasLink ? linkBytesPerSecond : 0);
        int placedAgain = 0;
        for (std::uint16_t port = 1; port <= 100; ++port) {
            const Cookie cookie = host.handle(firstPacket(port, lookupPort)).cookie;
            host.clock.advance(Duration(1));
            const SteeringDecision again = host.handle(firstPacket(port, lookupPort, 1));
            REQUIRE(again.action == SteeringAction::Forward);
            placedAgain += again.code == ResultCode::FlowPlacedAgain ? 1 : 0;
            CHECK((again.cookie == cookie) == (again.code == ResultCode::FlowPlaced));
        }
        CHECK(placedAgain == (hasLink ? 20 : 100));
        CHECK(host.steering.counters().secondChoicesDenied == (hasLink ? 80 : 0));
    }
}

TEST_CASE("an empty budget sends no first packet to a target that is gone")
{
    SteeringFixture host;
    for (std::uint16_t port = 1; port <= 30; ++port) {
        host.handle(firstPacket(port, lookupPort));
        host.clock.advance(Duration(1));
        host.handle(firstPacket(port, lookupPort, 1));
    }
    const Cookie gone = host.handle(firstPacket(99, lookupPort)).cookie;
    host.steering.updateTarget(makeTarget(host.idOf(gone), schema::TARGET_GONE), host.clock.now());
    CHECK(host.handle(firstPacket(99, lookupPort, 1)).cookie != gone);
}
