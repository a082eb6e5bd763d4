#include "steering/flow_cache.h"

#include <doctest/doctest.h>
#include <map>
#include <random>

using namespace bergamotroute;

namespace {

constexpr std::uint32_t bucketCount = 64;

}

// Guards against entries that are lost or duplicated when erase() moves later entries into the free slot.
TEST_CASE("the flow cache holds the same entries as a map after random inserts and erases")
{
    FlowCache cache(1000, bucketCount);
    std::map<std::uint64_t, TargetId> expected;
    std::mt19937_64 random(5);
    for (int i = 0; i < 20'000; ++i) {
        const std::uint64_t flow = (random() % 900 + 1) * 0x9e37'79b9'7f4a'7c15;
        if (random() % 3 == 0) {
            cache.erase(flow);
            expected.erase(flow);
        } else {
            const auto target = static_cast<TargetId>(random() % 7 + 1);
            REQUIRE(cache.insert(flow, 0, target, 1) != nullptr);
            expected[flow] = target;
        }
    }
    CHECK(cache.size() == expected.size());
    for (const auto& [flow, target] : expected) {
        const FlowEntry* entry = cache.find(flow, 0);
        REQUIRE(entry != nullptr);
        CHECK(entry->target == target);
    }
}

// Guards against the eviction of flow records whose target cannot be derived from the bucket table.
TEST_CASE("a full flow cache evicts only entries that are not pinned")
{
    FlowCache cache(256, bucketCount);
    std::mt19937_64 random(6);
    std::vector<std::uint64_t> pinned;
    for (int i = 0; i < 2000; ++i) {
        const std::uint64_t flow = random() | 1;
        FlowEntry* entry = cache.insert(flow, 0, 1, static_cast<FlowTick>(i));
        REQUIRE(entry != nullptr);
        if (i % 20 == 0 && pinned.size() < 100) {
            cache.setPinned(*entry, true);
            pinned.push_back(flow);
        }
    }
    CHECK(cache.size() == 256);
    CHECK(cache.pinned() == pinned.size());
    for (const std::uint64_t flow : pinned)
        CHECK(cache.find(flow, 0) != nullptr);
}

// Guards against a cache that exceeds its capacity or evicts a pinned entry when all entries are pinned, and against
// wrong counts of pinned entries.
TEST_CASE("a flow cache full of pinned entries rejects a new entry and counts pinned entries until they are erased")
{
    FlowCache cache(64, bucketCount);
    std::mt19937_64 random(7);
    std::uint32_t inBuckets = 0;
    for (int i = 0; i < 64; ++i)
        cache.setPinned(*cache.insert(random() | 1, 2, 1, 0), true);
    CHECK(cache.insert(random() | 1, 2, 1, 0) == nullptr);
    for (std::uint32_t bucket = 0; bucket < bucketCount; ++bucket)
        inBuckets += cache.pinnedIn(2, bucket);
    CHECK(inBuckets == 64);
    cache.sweep(200, [](const FlowEntry&) { return true; });
    cache.sweep(200, [](const FlowEntry&) { return true; });
    CHECK(cache.size() == 0);
    CHECK(cache.pinned() == 0);
}

// Guards against the use of one service's entry for a packet of another service with the same flow hash.
TEST_CASE("a lookup finds an entry only for the service it was inserted for")
{
    FlowCache cache(64, bucketCount);
    cache.insert(77, 1, 5, 0);
    CHECK(cache.find(77, 1) != nullptr);
    CHECK(cache.find(77, 2) == nullptr);
}
