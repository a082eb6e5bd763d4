#include "steering/service_table.h"

#include <doctest/doctest.h>
#include <set>

using namespace bergamotroute;

namespace {

BucketTable makeTable(std::uint64_t version)
{
    BucketTable table { 9, version, "e1", false, {} };
    for (TargetId i = 0; i < 64; ++i)
        table.buckets.push_back({ i % 5 + 1, i % 5 + 1, false });
    return table;
}

}

// Guards against a table on a receiving host that differs from the one the table leader encoded.
TEST_CASE("a full table or a delta decodes to the table that was encoded")
{
    const BucketTable before = makeTable(64);
    BucketTable after = before;
    after.version = 129;
    after.limited = true;
    after.buckets[3] = { 4, 7, true };
    after.buckets[40] = { 8, 8, false };
    after.buckets[63] = { 4, 4, true };
    for (const BucketTable* base : { static_cast<const BucketTable*>(nullptr), &before }) {
        const auto decoded = decodeTable(encodeTable(after, base), before, 64);
        REQUIRE(decoded);
        CHECK(decoded->buckets == after.buckets);
        CHECK(decoded->version == after.version);
        CHECK(decoded->limited);
    }
}

// Guards against a delta that is applied to a table other than its base, and against malformed updates that cause reads
// beyond the end of the table.
TEST_CASE("decoding fails for a delta to another version and for a malformed update")
{
    const BucketTable before = makeTable(64);
    BucketTable after = before;
    after.version = 129;
    after.buckets[5] = { 1, 2, true };
    const schema::TableUpdate delta = encodeTable(after, &before);
    CHECK_FALSE(decodeTable(delta, makeTable(65), 64));
    schema::TableUpdate outside = delta;
    outside.set_bucket_gaps(0, 64);
    CHECK_FALSE(decodeTable(outside, before, 64));
    schema::TableUpdate unknownTarget = delta;
    unknownTarget.set_current_index(0, 9);
    CHECK_FALSE(decodeTable(unknownTarget, before, 64));
    schema::TableUpdate shorter = encodeTable(after, nullptr);
    shorter.mutable_base_index()->RemoveLast();
    CHECK_FALSE(decodeTable(shorter, before, 64));
}

// Guards against two table leaders that publish different tables with the same version.
TEST_CASE("table versions increase for each leader and never collide between leaders")
{
    std::set<std::uint64_t> versions;
    for (HostIndex leader = 0; leader < 9; ++leader) {
        std::uint64_t version = 0;
        for (int i = 0; i < 20; ++i) {
            const std::uint64_t next = nextTableVersion(version, leader);
            CHECK(next > version);
            CHECK(versions.insert(next).second);
            version = next;
        }
    }
}

// Guards against changes of ownership in buckets that the removed host neither owned nor backed up.
TEST_CASE("removing a bucket's owner makes its backup the owner, and removing a host that is neither changes nothing")
{
    const std::vector<std::string> names { "e0", "e1", "e2", "e3", "e4" };
    const Ownership ownership(names);
    for (std::uint32_t bucket = 0; bucket < 500; ++bucket) {
        const BucketOwners before = ownership.rank(0x1f, 3, bucket);
        CHECK(before.owner != before.backup);
        const BucketOwners after = ownership.rank(0x1f & ~hostBit(before.owner), 3, bucket);
        CHECK(after.owner == before.backup);
        const HostIndex other = static_cast<HostIndex>(bucket % 5);
        if (other != before.owner && other != before.backup)
            CHECK(ownership.rank(0x1f & ~hostBit(other), 3, bucket) == before);
    }
}
