#include "targets/health_monitor.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace bergamotroute;

namespace {

constexpr TargetId target = 42;
const TimePoint start { Duration(1'000'000) };

MembershipView viewOf(HostIndex self)
{
    MembershipView view;
    view.self = self;
    for (HostIndex i = 0; i < 9; ++i)
        view.members.push_back(
            { i, "host" + std::to_string(i), "dc" + std::to_string(i % 3), 1, schema::MEMBER_READY });
    return view;
}

/// Health monitors of nine hosts that receive each other's statuses.
struct Group {
    Group()
    {
        for (HostIndex i = 0; i < 9; ++i) {
            monitors.emplace_back(Duration(1'000));
            monitors.back().handleView(viewOf(i));
            monitors.back().addTarget(target, "dc1", start);
        }
    }

    /// Lets the checkers check the target once, and delivers their statuses.
    /// @param failing hosts whose checks fail.
    void check(const std::vector<HostIndex>& failing)
    {
        now += Duration(1'000);
        checkers.clear();
        for (HostIndex i = 0; i < 9; ++i) {
            if (monitors[i].takeDueTargets(now).empty())
                continue;
            checkers.push_back(i);
            const bool fails = std::find(failing.begin(), failing.end(), i) != failing.end();
            monitors[i].handleResult(target, !fails, now);
        }
        for (HostIndex from = 0; from < 9; ++from) {
            for (const schema::TargetStatus& status : monitors[from].takeStatuses()) {
                for (HostIndex to = 0; to < 9; ++to) {
                    if (to != from)
                        monitors[to].handleStatus(from, status.target_id(), status.healthy(), now);
                }
            }
        }
    }

    std::vector<HealthMonitor> monitors;
    std::vector<HostIndex> checkers;
    TimePoint now = start;
};

}

// Guards against checks by every host or by hosts of other data centres.
TEST_CASE("if three hosts are in the target's data centre, exactly these check it")
{
    Group group;
    group.check({});
    CHECK(group.checkers == std::vector<HostIndex> { 1, 4, 7 });
}

// Guards against a target taken out of use because the network path from one host is broken.
TEST_CASE("if the checks of only one checker fail, the target stays healthy on all hosts")
{
    Group group;
    for (int i = 0; i < 10; ++i)
        group.check({ 4 });
    for (const HealthMonitor& monitor : group.monitors)
        CHECK(monitor.isHealthy(target, group.now));
}

// Guards against new flows to a dead target.
TEST_CASE("if two of three checkers see three failures in a row, the target is unhealthy until two successes in a row")
{
    Group group;
    group.check({ 1, 7 });
    group.check({ 1, 7 });
    CHECK(group.monitors[0].isHealthy(target, group.now));
    group.check({ 1, 7 });
    for (const HealthMonitor& monitor : group.monitors)
        CHECK_FALSE(monitor.isHealthy(target, group.now));
    group.check({});
    CHECK_FALSE(group.monitors[0].isHealthy(target, group.now));
    group.check({});
    CHECK(group.monitors[0].isHealthy(target, group.now));
}

// Guards against a target that stays out of use because a checker that reported it as unhealthy has died.
TEST_CASE("an unhealthy status that is not repeated for 10 s no longer counts")
{
    Group group;
    for (int i = 0; i < 3; ++i)
        group.check({ 1, 4, 7 });
    CHECK_FALSE(group.monitors[0].isHealthy(target, group.now));
    CHECK(group.monitors[0].isHealthy(target, group.now + Duration(10'000)));
}

// Guards against heartbeats in which all three checkers repeat each load report.
TEST_CASE("if all checkers work, exactly one of them sends the load reports of the target")
{
    Group group;
    group.check({});
    std::size_t reporters = 0;
    for (const HealthMonitor& monitor : group.monitors)
        reporters += monitor.isLoadReporter(target, group.now) ? 1 : 0;
    CHECK(reporters == 1);
}
