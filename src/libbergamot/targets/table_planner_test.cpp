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

TEST_CASE("a first table is settled and even; guards against a table that is born unbalanced")
{
    const Plan plan(evenShares(14));
    CHECK(movedCount(plan.table) == 0);
    for (TargetId id = 1; id <= 14; ++id) {
        CHECK(bucketsOf(plan.table, id) >= 73);
        CHECK(bucketsOf(plan.table, id) <= 74);
    }
}

TEST_CASE("unchanged shares plan nothing; guards against table updates without a cause")
{
    Plan plan(evenShares(14));
    CHECK_FALSE(plan.next(evenShares(14), start));
    TargetShares slightlyOff = evenShares(14);
    slightlyOff[3] = 1.02;
    CHECK_FALSE(plan.next(slightlyOff, start + Duration(60'000)));
}

TEST_CASE("a leaving target loses all buckets at once and nothing else moves; guards against broken or late drains")
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

TEST_CASE("a returning target gets its own buckets back; guards against moves of settled buckets")
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

TEST_CASE("rebalancing moves at most a tenth of the buckets in 5 s; guards against a table that turns over at once")
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

TEST_CASE("a base that is gone is replaced; guards against packets to a target that has left for good")
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

TEST_CASE("without usable targets the table stays; guards against buckets without a target")
{
    Plan plan(evenShares(3));
    CHECK_FALSE(plan.next({}, start + Duration(10'000)));
    CHECK(plan.table.buckets.front().current != noTarget);
}
