#include "targets/table_planner.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace bergamotroute;

namespace {

constexpr ServiceId service = 7;
constexpr std::uint32_t bucketCount = 1024;
const TimePoint start { Duration(1'000'000) };

bool noneGone(TargetId) { return false; }

TargetShares evenShares(TargetId count)
{
    TargetShares shares;
    for (TargetId id = 1; id <= count; ++id)
        shares[id] = 1;
    return shares;
}

std::int64_t bucketsOf(const BucketTable& table, TargetId id)
{
    return std::count_if(
        table.buckets.begin(), table.buckets.end(), [id](const Bucket& bucket) { return bucket.current == id; });
}

std::int64_t movedCount(const BucketTable& table)
{
    return std::count_if(table.buckets.begin(), table.buckets.end(), [](const Bucket& bucket) { return bucket.moved; });
}

struct Plan {
    TablePlanner planner { "host0" };
    BucketTable table;

    explicit Plan(const TargetShares& shares)
        : table(*planner.plan(service, nullptr, bucketCount, shares, noneGone, start))
    {
    }

    bool next(const TargetShares& shares, TimePoint now, const TablePlanner::IsGone& isGone = noneGone)
    {
        std::optional<BucketTable> planned = planner.plan(service, &table, bucketCount, shares, isGone, now);
        if (planned)
            table = *planned;
        return planned.has_value();
    }
};

}

// Guards against an unbalanced first table.
TEST_CASE("the first table for equal shares has no moved buckets and at most one bucket of difference between targets")
{
    const Plan plan(evenShares(14));
    CHECK(movedCount(plan.table) == 0);
    for (TargetId id = 1; id <= 14; ++id) {
        CHECK(bucketsOf(plan.table, id) >= 73);
        CHECK(bucketsOf(plan.table, id) <= 74);
    }
}

// Guards against table updates without a cause.
TEST_CASE("if the shares are unchanged or one differs by only 2%, no table is planned")
{
    Plan plan(evenShares(14));
    CHECK_FALSE(plan.next(evenShares(14), start));
    TargetShares slightlyOff = evenShares(14);
    slightlyOff[3] = 1.02;
    CHECK_FALSE(plan.next(slightlyOff, start + Duration(60'000)));
}

// Guards against a drain that breaks established flows or takes effect late.
TEST_CASE("if a target has no share any more, the next table moves all of its buckets and no others")
{
    Plan plan(evenShares(14));
    const BucketTable before = plan.table;
    TargetShares shares = evenShares(14);
    shares.erase(5);
    REQUIRE(plan.next(shares, start));
    CHECK(plan.table.version == before.version + 1);
    CHECK(bucketsOf(plan.table, 5) == 0);
    CHECK(movedCount(plan.table) == bucketsOf(before, 5));
    for (std::size_t i = 0; i < bucketCount; ++i) {
        CHECK(plan.table.buckets[i].base == before.buckets[i].base);
        if (before.buckets[i].current != 5)
            CHECK(plan.table.buckets[i] == before.buckets[i]);
    }
}

// Guards against moves of settled buckets.
TEST_CASE("if a target without a share gets it back, it gets its former buckets and no others move")
{
    Plan plan(evenShares(14));
    TargetShares without = evenShares(14);
    without.erase(5);
    REQUIRE(plan.next(without, start));
    const std::int64_t moved = movedCount(plan.table);
    REQUIRE(plan.next(evenShares(14), start + Duration(5'000)));
    CHECK(movedCount(plan.table) == moved);
    CHECK(bucketsOf(plan.table, 5) == moved);
}

// Guards against a change of shares that moves most buckets at once.
TEST_CASE("after a large change of shares, rebalancing moves at most a tenth of the buckets in 5 s")
{
    Plan plan(evenShares(4));
    TargetShares shares = evenShares(4);
    shares[1] = 20;
    std::int64_t before = 0;
    for (int step = 0; step < 5; ++step) {
        for (int ms = 0; ms < 5'000; ms += 500)
            plan.next(shares, start + Duration(step * 5'000 + ms));
        CHECK(movedCount(plan.table) - before <= bucketCount / 10);
        CHECK(movedCount(plan.table) > before);
        before = movedCount(plan.table);
    }
}

// Guards against packets to a target that is gone.
TEST_CASE("if a target is gone, it is replaced as base and as current target of all buckets")
{
    Plan plan(evenShares(3));
    TargetShares shares = evenShares(3);
    shares.erase(2);
    const auto isGone = [](TargetId id) { return id == 2; };
    REQUIRE(plan.next(shares, start, isGone));
    for (const Bucket& bucket : plan.table.buckets) {
        CHECK(bucket.base != 2);
        CHECK(bucket.current != 2);
    }
    CHECK_FALSE(plan.next(shares, start + Duration(10'000), isGone));
}

// Guards against buckets without a target.
TEST_CASE("if no target is usable, the table does not change")
{
    Plan plan(evenShares(3));
    CHECK_FALSE(plan.next({}, start + Duration(10'000)));
    CHECK(plan.table.buckets.front().current != noTarget);
}
