/// @file
/// Guards against an entry host that keeps calling a control host that is dead or isolated from the majority.

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

TEST_CASE_FIXTURE(Fixture, "the control host in the entry host's data centre is chosen first")
{
    CHECK(selector.choose(clock.now()) == "1:1");
}

TEST_CASE_FIXTURE(
    Fixture, "a failed call or a response from an isolated control host makes the selector switch at once")
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

TEST_CASE_FIXTURE(Fixture, "an isolated control host is chosen if calls to all others have failed")
{
    selector.choose(clock.now());
    selector.recordResponse("1:1", true, clock.now());
    selector.recordFailure("2:1", clock.now());
    selector.recordFailure("3:1", clock.now());
    CHECK(selector.choose(clock.now()) == "1:1");
}
