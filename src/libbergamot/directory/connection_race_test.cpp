/// @file
/// Guards against an entry host that waits for a connection timeout at each control host that has no power, while
/// another control host already runs.

#include "bergamotroute/connection_race.h"

#include <doctest/doctest.h>
#include <map>

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

TEST_CASE("a host that starts just after its attempt is connected within the connection timeout")
{
    constexpr Duration connectTimeout { 100 };
    constexpr Duration retryDelay { 50 };
    ManualClock clock;
    ConnectionRace race(attemptDelay, retryDelay);
    race.start({ "1:1", "2:1", "3:1" }, clock.now());
    std::map<std::string, TimePoint> pending;
    const auto advance = [&] {
        while (const std::optional<std::string> due = race.takeDueAttempt(clock.now()))
            pending[*due] = clock.now();
        clock.advance(Duration(1));
        for (auto attempt = pending.begin(); attempt != pending.end();) {
            const bool isTimedOut = clock.now() - attempt->second >= connectTimeout;
            if (isTimedOut)
                race.recordFailure(attempt->first, clock.now());
            attempt = isTimedOut ? pending.erase(attempt) : std::next(attempt);
        }
    };
    for (int i = 0; i < 400; ++i)
        advance();
    // Endpoint 2 runs from now on; attempts made before got no answer and get none.
    const TimePoint begin = clock.now();
    while (pending["2:1"] < begin && clock.now() - begin <= connectTimeout)
        advance();
    CHECK(clock.now() - begin <= connectTimeout);
    CHECK(race.recordConnected("2:1").has_value());
    CHECK_FALSE(race.isRunning());
}

TEST_CASE("endpoints that refuse are attempted again after 50, 100 and then each 200 ms, not in a busy loop")
{
    constexpr Duration retryDelay { 50 };
    ManualClock clock;
    ConnectionRace race(attemptDelay, retryDelay);
    race.start({ "1:1", "2:1" }, clock.now());
    const TimePoint begin = clock.now();
    std::map<std::string, std::vector<Duration::rep>> attempts;
    for (int i = 0; i < 600; ++i) {
        while (const std::optional<std::string> due = race.takeDueAttempt(clock.now())) {
            attempts[*due].push_back((clock.now() - begin).count());
            race.recordFailure(*due, clock.now());
        }
        CHECK(race.nextAttempt() > clock.now());
        clock.advance(Duration(1));
    }
    CHECK(attempts["1:1"] == std::vector<Duration::rep> { 0, 50, 150, 350, 550 });
    CHECK(attempts["2:1"] == attempts["1:1"]);
}

TEST_CASE_FIXTURE(Fixture, "an endpoint that becomes known during the race takes part once")
{
    takeDue();
    race.add("4:1");
    race.add("1:1");
    Endpoints attempted;
    for (int i = 0; i < 4; ++i) {
        clock.advance(attemptDelay);
        for (const std::string& endpoint : takeDue())
            attempted.push_back(endpoint);
    }
    CHECK(attempted == Endpoints { "2:1", "3:1", "4:1" });
}
