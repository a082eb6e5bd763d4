#include "standins/common/fault_plan.h"

#include "bergamotroute/result_code.h"

#include <doctest/doctest.h>

using namespace bergamotroute;

namespace {

std::vector<std::vector<Duration>> decide(std::uint64_t seed, int count)
{
    FaultPlan plan(seed);
    plan.set("loss", "0.3");
    plan.set("duplicate", "0.2");
    plan.set("jitter_ms", "50");
    std::vector<std::vector<Duration>> decisions;
    decisions.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        decisions.push_back(plan.datagramDelays());
    return decisions;
}

}

// Guards against a failure that cannot be repeated because the proxy decides otherwise in the next run.
TEST_CASE("the same seed makes the same decisions")
{
    CHECK(decide(7, 200) == decide(7, 200));
    CHECK(decide(7, 200) != decide(8, 200));
}

// Guards against faults at another rate than asked for, and against faults that nobody asked for.
TEST_CASE("loss, duplication and reordering come at their rates")
{
    constexpr int count = 10'000;
    FaultPlan plan(1);
    CHECK(plan.datagramDelays() == std::vector<Duration> { Duration(0) });
    plan.set("loss", "0.3");
    plan.set("duplicate", "0.5");
    plan.set("reorder", "0.1");
    int lost = 0;
    int copies = 0;
    int late = 0;
    for (int i = 0; i < count; ++i) {
        const std::vector<Duration> delays = plan.datagramDelays();
        lost += delays.empty();
        copies += delays.size() == 2;
        late += !delays.empty() && delays[0] == plan.settings().reorderBy;
    }
    CHECK(lost == doctest::Approx(3000).epsilon(0.1));
    CHECK(copies == doctest::Approx(3500).epsilon(0.1));
    CHECK(late == doctest::Approx(700).epsilon(0.2));
}

// Guards against a typing error in a test that silently sets no fault.
TEST_CASE("unknown names and values out of range are refused")
{
    FaultPlan plan(1);
    CHECK(plan.set("lost", "0.3") == ResultCode::HttpNotFound);
    CHECK(plan.set("loss", "1.5") == ResultCode::InvalidValue);
    CHECK(plan.set("delay_ms", "") == ResultCode::InvalidValue);
    CHECK(plan.set("cut", "sideways") == ResultCode::InvalidValue);
    CHECK_FALSE(plan.set("cut", "up"));
    CHECK(plan.settings().isCutUp);
    CHECK_FALSE(plan.settings().isCutDown);
}
