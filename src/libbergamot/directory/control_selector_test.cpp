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

TEST_CASE_FIXTURE(Fixture, "the control host in the entry host's data centre is ranked first")
{
    CHECK(selector.usable().empty());
    CHECK(selector.ranked(clock.now()).front() == "1:1");
    CHECK(selector.ranked(clock.now()).size() == 3);
}

TEST_CASE_FIXTURE(Fixture, "a failed call or a response from an isolated control host ends its use at once")
{
    selector.select("1:1");
    CHECK(selector.usable() == "1:1");
    selector.recordFailure("1:1", clock.now());
    CHECK(selector.usable().empty());
    const std::string second = selector.ranked(clock.now()).front();
    CHECK(second != "1:1");
    selector.select(second);
    selector.recordResponse(second, true, clock.now());
    CHECK(selector.usable().empty());
    const std::string third = selector.ranked(clock.now()).front();
    CHECK(third != "1:1");
    CHECK(third != second);
}

TEST_CASE_FIXTURE(Fixture, "an isolated control host is ranked before those to which calls have failed")
{
    selector.recordResponse("1:1", true, clock.now());
    selector.recordFailure("2:1", clock.now());
    selector.recordFailure("3:1", clock.now());
    CHECK(selector.ranked(clock.now()).front() == "1:1");
}
