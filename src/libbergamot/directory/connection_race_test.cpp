/// @file
/// Guards against an entry host that waits for a connection timeout at each control host that has no power, while
/// another control host already runs.

#include "bergamotroute/connection_race.h"

#include <doctest/doctest.h>

using namespace bergamotroute;

namespace {

constexpr Duration attemptDelay { 30 };

struct Fixture {
    ManualClock clock;
    ConnectionRace race { attemptDelay };

    Fixture() { race.start({ "1:1", "2:1", "3:1" }, clock.now()); }

    std::vector<std::string> takeDue()
    {
        const std::optional<std::string> due = race.takeDueAttempt(clock.now());
        return due ? std::vector<std::string> { *due } : std::vector<std::string>();
    }
};

using Endpoints = std::vector<std::string>;

}

TEST_CASE_FIXTURE(Fixture, "each attempt that stays silent delays the next one by the attempt delay only")
{
    CHECK(takeDue() == Endpoints { "1:1" });
    CHECK(takeDue().empty());
    CHECK(race.nextAttempt() == clock.now() + attemptDelay);
    clock.advance(attemptDelay);
    CHECK(takeDue() == Endpoints { "2:1" });
    clock.advance(attemptDelay);
    CHECK(takeDue() == Endpoints { "3:1" });
    CHECK(race.nextAttempt() == noDeadline);
    CHECK(race.isRunning());
}

TEST_CASE_FIXTURE(Fixture, "a refused attempt starts the next one at once")
{
    takeDue();
    race.recordFailure("1:1", clock.now());
    CHECK(takeDue() == Endpoints { "2:1" });
}

TEST_CASE_FIXTURE(Fixture, "the first open connection wins, and the pending attempts are cancelled")
{
    takeDue();
    clock.advance(attemptDelay);
    takeDue();
    CHECK(race.recordConnected("2:1") == Endpoints { "1:1" });
    CHECK_FALSE(race.isRunning());
    CHECK(race.nextAttempt() == noDeadline);
    clock.advance(attemptDelay);
    CHECK(takeDue().empty());
}

TEST_CASE_FIXTURE(Fixture, "the race ends when every attempt has failed, and can be started again")
{
    for (const char* endpoint : { "1:1", "2:1", "3:1" }) {
        CHECK(race.isRunning());
        CHECK(takeDue() == Endpoints { endpoint });
        race.recordFailure(endpoint, clock.now());
    }
    CHECK_FALSE(race.isRunning());
    race.start({ "2:1" }, clock.now());
    CHECK(takeDue() == Endpoints { "2:1" });
}

TEST_CASE_FIXTURE(Fixture, "an attempt of an earlier race changes nothing")
{
    takeDue();
    race.start({ "2:1", "3:1" }, clock.now());
    takeDue();
    race.recordFailure("1:1", clock.now());
    CHECK(takeDue().empty());
    CHECK_FALSE(race.recordConnected("1:1").has_value());
    CHECK(race.isRunning());
}
