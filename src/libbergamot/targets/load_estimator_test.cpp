#include "targets/load_estimator.h"

#include <doctest/doctest.h>

#include <array>
#include <vector>

using namespace bergamotroute;

namespace {

/// Fourteen targets with two slots each that report every second.
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

    /// Lets the targets report for a minute.
    /// @param open open connections that target 1 reports.
    /// @param busy busy slots that target 1 reports in turn.
    /// @param lag age of the reports of target 1 when they arrive.
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

// Guards against buckets that move because of noise.
TEST_CASE("if loads differ only by noise, all corrections are 1")
{
    Reports reports;
    reports.run(2'040, { 1, 2 });
    for (TargetId id = 1; id <= Reports::count; ++id)
        CHECK(reports.correction(id) == doctest::Approx(1));
}

// Guards against flows that accumulate on a slow target.
TEST_CASE("if one target reports high load, only its share falls, by a factor of at most 1.2")
{
    Reports reports;
    reports.run(5'000, { 2, 2 });
    CHECK(reports.correction() == doctest::Approx(1 / 1.2));
    CHECK(reports.correction(2) == doctest::Approx(1));
}

// Guards against a target that attracts all flows with false reports.
TEST_CASE("if a target reports no load at all, its correction is 1")
{
    Reports reports;
    reports.run(0, { 0, 0 });
    CHECK(reports.correction() == doctest::Approx(1));
}

// Guards against a target that understates its load.
TEST_CASE("if a target reports less load than the others, its share rises by at most 5%")
{
    Reports reports;
    reports.run(1'400, { 1, 1 });
    CHECK(reports.correction() > 1);
    CHECK(reports.correction() <= 1.05);
}

// Guards against decisions on old load.
TEST_CASE("as a report ages, its correction approaches 1 and is 1 after 10 s")
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

// Guards against reports that arrive regularly but are old.
TEST_CASE("if reports lag by 10 s behind the clocks of the other targets, their age is 10 s and the correction is 1")
{
    Reports reports;
    reports.run(5'000, { 2, 2 }, Duration(10'000));
    CHECK(reports.estimator.age(1, reports.clock.now()) == Duration(10'000));
    CHECK(reports.correction() == doctest::Approx(1));
}

// Guards against extra flows to a target whose report shows less load only because it is from an earlier time.
TEST_CASE("if a report of low load lags by 4.5 s, the correction is 1")
{
    Reports reports;
    reports.run(1'400, { 1, 1 }, Duration(4'500));
    CHECK(reports.correction() == doctest::Approx(1));
}

// Guards against a drain that ends because of a single wrong report.
TEST_CASE("a target is empty only after repeated reports without connections, and only while the last one is fresh")
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
