/// @file
/// Guards against a quorum that shrinks or keeps dead members after a lost disk, a replaced host or a mere restart.

#include "bergamotroute/member_policy.h"

#include <doctest/doctest.h>
#include <vector>

using namespace bergamotroute;

namespace {

schema::ControlMember makeMember(const std::string& identity, const std::string& endpoint, bool voter = true)
{
    schema::ControlMember result;
    result.set_identity(identity);
    result.set_rpc_endpoint(endpoint);
    result.set_voter(voter);
    return result;
}

struct Fixture {
    ManualClock clock;
    MemberPolicy policy;
    std::vector<schema::ControlMember> members { makeMember("a", "1:1"), makeMember("b", "2:1"),
        makeMember("c", "3:1") };
    std::vector<AnnouncedControlHost> announced { { "a", "a", "1:1", "x" }, { "b", "b", "2:1", "y" },
        { "c", "c", "3:1", "z" } };

    std::optional<MembershipChange> nextChange() { return policy.advance(members, announced, "a", clock.now()); }

    void advanceClock(Duration time, const std::vector<std::string>& silent)
    {
        clock.advance(time);
        for (AnnouncedControlHost& host : announced) {
            const bool isSilent = std::find(silent.begin(), silent.end(), host.identity) != silent.end();
            host.age = isSilent ? host.age + time : Duration(0);
        }
    }
};

}

TEST_CASE_FIXTURE(Fixture, "an announced host is added as a non-voting member and then promoted")
{
    CHECK_FALSE(nextChange().has_value());
    announced.push_back({ "d", "d", "4:1", "w" });
    advanceClock(Duration(300), {});
    const auto added = nextChange();
    REQUIRE(added.has_value());
    CHECK(added->change.add_control_member().identity() == "d");
    CHECK_FALSE(added->change.add_control_member().voter());
    members.push_back(makeMember("d", "4:1", false));
    advanceClock(Duration(300), {});
    const auto promoted = nextChange();
    REQUIRE(promoted.has_value());
    CHECK(promoted->change.promote_control_member() == "d");
}

TEST_CASE_FIXTURE(Fixture, "a member whose disk was lost is removed before the new identity at its address is added")
{
    nextChange();
    announced[2] = { "c2", "c", "3:1", "z" };
    advanceClock(Duration(2000), {});
    const auto first = nextChange();
    REQUIRE(first.has_value());
    CHECK(first->change.remove_control_member() == "c");
    members.pop_back();
    advanceClock(Duration(300), {});
    const auto second = nextChange();
    REQUIRE(second.has_value());
    CHECK(second->change.add_control_member().identity() == "c2");
}

TEST_CASE_FIXTURE(Fixture, "a silent voter stays a member until another host has replaced it")
{
    nextChange();
    advanceClock(Duration(30'000), { "c" });
    CHECK_FALSE(nextChange().has_value());
    announced.push_back({ "d", "d", "4:1", "w" });
    advanceClock(Duration(300), { "c" });
    REQUIRE(nextChange()->change.has_add_control_member());
    members.push_back(makeMember("d", "4:1"));
    advanceClock(Duration(10'000), { "c" });
    const auto removed = nextChange();
    REQUIRE(removed.has_value());
    CHECK(removed->change.remove_control_member() == "c");
}

TEST_CASE_FIXTURE(
    Fixture, "after a planned replacement the silent voter is removed within seconds, before another host may be lost")
{
    // The replacement has joined. The leader is new and has not observed in which order the hosts joined.
    members.push_back(makeMember("b2", "5:1"));
    announced.push_back({ "b2", "b2", "5:1", "y" });
    announced[1].age = Duration(2500);
    CHECK_FALSE(nextChange().has_value());
    advanceClock(Duration(1000), { "b" });
    const auto removed = nextChange();
    REQUIRE(removed.has_value());
    CHECK(removed->change.remove_control_member() == "b");
}

TEST_CASE_FIXTURE(Fixture, "a voter that is silent for 8 s is kept if no host of its data centre joined later")
{
    members.push_back(makeMember("d", "4:1"));
    announced.push_back({ "d", "d", "4:1", "w" });
    nextChange();
    for (int i = 0; i < 8; ++i) {
        advanceClock(Duration(1000), { "b" });
        CHECK_FALSE(nextChange().has_value());
    }
}
