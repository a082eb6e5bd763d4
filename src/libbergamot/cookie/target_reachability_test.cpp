/// @file
/// Guards against a dead target that keeps its clients waiting for a second, and against a live target whose flows are
/// reset because the path to it is slow or full.

#include "cookie/target_reachability.h"

#include <doctest/doctest.h>

using namespace bergamotroute;

namespace {

struct Fixture {
    ManualClock clock;
    TargetReachability reachability;

    Fixture() { reachability.suspect(clock.now()); }

    /// Takes the next probe, lets it run for its timeout and records the outcome.
    bool probe(ProbeOutcome outcome)
    {
        REQUIRE(reachability.isProbeDue(clock.now()));
        clock.advance(reachability.takeProbe(true).timeout);
        return reachability.recordOutcome(outcome, clock.now());
    }
};

}

TEST_CASE_FIXTURE(Fixture, "a dead target is unreachable within a quarter of a second after the first sign")
{
    const TimePoint begin = clock.now();
    CHECK_FALSE(probe(ProbeOutcome::NoAnswer));
    CHECK(probe(ProbeOutcome::NoAnswer));
    CHECK(reachability.isUnreachable());
    CHECK(clock.now() - begin <= Duration(250));
}

TEST_CASE_FIXTURE(Fixture, "only the probe that decides needs a reference target")
{
    CHECK_FALSE(reachability.takeProbe(true).needsReference);
    reachability.recordOutcome(ProbeOutcome::NoAnswer, clock.now());
    CHECK(reachability.takeProbe(true).needsReference);
}

TEST_CASE_FIXTURE(Fixture, "after a report of another host the first probe decides and needs a reference target")
{
    reachability.addReport();
    CHECK(reachability.takeProbe(true).needsReference);
    CHECK(reachability.recordOutcome(ProbeOutcome::NoAnswer, clock.now()));
}

TEST_CASE_FIXTURE(Fixture, "without an answer of the reference target, two patient probes are needed")
{
    probe(ProbeOutcome::NoAnswer);
    CHECK_FALSE(probe(ProbeOutcome::Inconclusive));
    REQUIRE(reachability.isProbeDue(clock.now()));
    const ProbePlan patient = reachability.takeProbe(true);
    CHECK(patient.timeout >= Duration(300));
    CHECK_FALSE(patient.needsReference);
    clock.advance(patient.timeout);
    CHECK_FALSE(reachability.recordOutcome(ProbeOutcome::NoAnswer, clock.now()));
    clock.advance(Duration(100));
    CHECK(probe(ProbeOutcome::NoAnswer));
}

TEST_CASE_FIXTURE(Fixture, "if there is no reference target, two patient probes are needed")
{
    CHECK_FALSE(probe(ProbeOutcome::NoAnswer));
    for (int failures = 0; failures < 2; ++failures) {
        REQUIRE(reachability.isProbeDue(clock.now()));
        const ProbePlan patient = reachability.takeProbe(false);
        CHECK(patient.timeout >= Duration(300));
        clock.advance(patient.timeout);
        CHECK(reachability.recordOutcome(ProbeOutcome::NoAnswer, clock.now()) == (failures == 1));
        clock.advance(Duration(100));
    }
}

TEST_CASE_FIXTURE(Fixture, "a response ends the suspicion, and a later outcome of an old probe changes nothing")
{
    probe(ProbeOutcome::NoAnswer);
    reachability.takeProbe(true);
    reachability.recordResponse(clock.now());
    CHECK_FALSE(reachability.recordOutcome(ProbeOutcome::NoAnswer, clock.now()));
    CHECK_FALSE(reachability.isUnreachable());
    CHECK_FALSE(reachability.isProbeDue(clock.now()));
    reachability.suspect(clock.now());
    CHECK_FALSE(probe(ProbeOutcome::NoAnswer));
}

TEST_CASE_FIXTURE(Fixture, "an unreachable target is probed until it answers")
{
    probe(ProbeOutcome::NoAnswer);
    probe(ProbeOutcome::NoAnswer);
    CHECK_FALSE(reachability.isProbeDue(clock.now()));
    clock.advance(Duration(300));
    CHECK_FALSE(probe(ProbeOutcome::NoAnswer));
    clock.advance(Duration(300));
    CHECK(probe(ProbeOutcome::Connected));
    CHECK_FALSE(reachability.isUnreachable());
    CHECK_FALSE(reachability.isSuspected());
}

TEST_CASE_FIXTURE(Fixture, "one probe is pending at a time")
{
    reachability.takeProbe(true);
    clock.advance(Duration(1000));
    CHECK_FALSE(reachability.isProbeDue(clock.now()));
}
