/// @file
/// Guards against an entry host that stays with a control host that is dead or cut off from the majority.

#include "bergamotroute/control_selector.h"

#include <doctest/doctest.h>

using namespace bergamotroute;

namespace {

struct Fixture {
    ManualClock clock;
    ControlSelector selector { "entry-1", "a" };

    Fixture()
    {
        selector.addCandidate("1:1", "a");
        selector.addCandidate("2:1", "b");
        selector.addCandidate("3:1", "c");
    }
};

}

TEST_CASE_FIXTURE(Fixture, "the control host of the own data centre comes first")
{
    CHECK(selector.choose(clock.now()) == "1:1");
}

TEST_CASE_FIXTURE(Fixture, "a failed call and an isolated answer lead to another control host at once")
{
    selector.choose(clock.now());
    selector.recordFailure("1:1", clock.now());
    const std::string second = selector.choose(clock.now());
    CHECK(second != "1:1");
    selector.recordResponse(second, true, clock.now());
    const std::string third = selector.choose(clock.now());
    CHECK(third != "1:1");
    CHECK(third != second);
}

TEST_CASE_FIXTURE(Fixture, "when all others fail, an isolated control host is better than none")
{
    selector.choose(clock.now());
    selector.recordResponse("1:1", true, clock.now());
    selector.recordFailure("2:1", clock.now());
    selector.recordFailure("3:1", clock.now());
    CHECK(selector.choose(clock.now()) == "1:1");
}
