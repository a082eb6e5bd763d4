#include "targets/load_estimator.h"

#include <doctest/doctest.h>

#include <array>
#include <vector>

using namespace bergamotroute;

namespace {

/// Fourteen targets with two slots that report every second.
struct Reports {
    static constexpr TargetId count = 14;

    Reports()
    {
        for (TargetId id = 1; id <= count; ++id)
            candidates.push_back({ id, 2, 1 });
    }

    void report(TargetId id, std::uint32_t open, std::uint32_t busy, Duration lag = Duration(0))
    {
        schema::LoadReport report;
        report.set_open_connections(open);
        report.set_busy_slots(busy);
        report.set_time_ms(clock.wallMilliseconds() - static_cast<std::uint64_t>(lag.count()));
        estimator.handleReport(id, report, clock.now());
    }

    /// Lets the targets report for a minute; target 1 reports what is given, busy slots in turn.
    void run(std::uint32_t open, std::array<std::uint32_t, 2> busy, Duration lag = Duration(0))
    {
        for (unsigned second = 0; second < 60; ++second) {
            clock.advance(Duration(1'000));
            for (TargetId id = 2; id <= count; ++id)
                report(id, 2'000, 1 + second % 2);
            report(1, open, busy[second % 2], lag);
        }
    }

    double correction(TargetId id = 1) { return estimator.corrections(candidates, clock.now()).at(id); }

    ManualClock clock;
    LoadEstimator estimator;
    std::vector<LoadCandidate> candidates;
};

}

TEST_CASE("equal load corrects nothing; guards against buckets that move for noise")
{
    Reports reports;
    reports.run(2'040, { 1, 2 });
    for (TargetId id = 1; id <= Reports::count; ++id)
        CHECK(reports.correction(id) == doctest::Approx(1));
}

TEST_CASE("a loaded target loses share, at most 20%; guards against flows that pile up on a slow target")
{
    Reports reports;
    reports.run(5'000, { 2, 2 });
    CHECK(reports.correction() == doctest::Approx(1 / 1.2));
    CHECK(reports.correction(2) == doctest::Approx(1));
}

TEST_CASE("a false report of idleness gains nothing; guards against a lying target that draws all flows")
{
    Reports reports;
    reports.run(0, { 0, 0 });
    CHECK(reports.correction() == doctest::Approx(1));
}

TEST_CASE("a target that looks lighter gains little; guards against a target that understates its load")
{
    Reports reports;
    reports.run(1'400, { 1, 1 });
    CHECK(reports.correction() > 1);
    CHECK(reports.correction() <= 1.05);
}

TEST_CASE("a stale report decays to neutral; guards against decisions on old load")
{
    Reports reports;
    reports.run(5'000, { 2, 2 });
    const double fresh = reports.correction();
    reports.clock.advance(Duration(7'500));
    const double decaying = reports.correction();
    CHECK(decaying > fresh);
    CHECK(decaying < 1);
    reports.clock.advance(Duration(2'500));
    CHECK(reports.correction() == doctest::Approx(1));
}

TEST_CASE("lag is seen against the clocks of the others; guards against reports that arrive on time but are old")
{
    Reports reports;
    reports.run(5'000, { 2, 2 }, Duration(10'000));
    CHECK(reports.estimator.age(1, reports.clock.now()) == Duration(10'000));
    CHECK(reports.correction() == doctest::Approx(1));
}

TEST_CASE("a target is empty only after repeated fresh reports; guards against a drain that ends on one odd report")
{
    Reports reports;
    reports.run(2'000, { 1, 2 });
    for (int i = 0; i < 3; ++i) {
        CHECK_FALSE(reports.estimator.isEmpty(1, reports.clock.now()));
        reports.clock.advance(Duration(1'000));
        reports.report(1, 0, 0);
    }
    reports.clock.advance(Duration(1'000));
    reports.report(1, 0, 0);
    CHECK(reports.estimator.isEmpty(1, reports.clock.now()));
    reports.clock.advance(Duration(6'000));
    CHECK_FALSE(reports.estimator.isEmpty(1, reports.clock.now()));
}
