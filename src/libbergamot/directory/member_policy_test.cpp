/// @file
/// Guards against a quorum that shrinks or keeps dead members after a lost disk, a replaced host or a mere restart.

#include "bergamotroute/member_policy.h"

#include <algorithm>
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

    void apply(const schema::Change& change)
    {
        const auto find = [this](const std::string& identity) {
            return std::find_if(members.begin(), members.end(),
                [&identity](const schema::ControlMember& member) { return member.identity() == identity; });
        };
        if (change.has_add_control_member())
            members.push_back(change.add_control_member());
        else if (change.change_case() == schema::Change::kPromoteControlMember)
            find(change.promote_control_member())->set_voter(true);
        else if (change.change_case() == schema::Change::kDemoteControlMember)
            find(change.demote_control_member())->set_voter(false);
        else
            members.erase(find(change.remove_control_member()));
    }

    /// Makes every change that the leader proposes for a time, in the steps of its periodic check.
    void run(Duration time, const std::vector<std::string>& silent)
    {
        constexpr Duration step { 250 };
        for (Duration passed { 0 }; passed < time; passed += step) {
            advanceClock(step, silent);
            if (const auto change = nextChange())
                apply(change->change);
        }
    }

    bool isVoter(const std::string& identity) const
    {
        return std::any_of(members.begin(), members.end(), [&identity](const schema::ControlMember& member) {
            return member.voter() && member.identity() == identity;
        });
    }

    bool isMember(const std::string& identity) const
    {
        return std::any_of(members.begin(), members.end(),
            [&identity](const schema::ControlMember& member) { return member.identity() == identity; });
    }

    std::size_t voterCount() const
    {
        return static_cast<std::size_t>(std::count_if(
            members.begin(), members.end(), [](const schema::ControlMember& member) { return member.voter(); }));
    }

    /// @return whether the voters have a majority without the hosts named.
    bool hasMajorityWithout(const std::vector<std::string>& lost) const
    {
        std::size_t voters = 0;
        std::size_t running = 0;
        for (const schema::ControlMember& member : members) {
            if (!member.voter())
                continue;
            ++voters;
            running += std::find(lost.begin(), lost.end(), member.identity()) == lost.end() ? 1 : 0;
        }
        return running > voters / 2;
    }
};

}

// Guards against a replaced host that stays a voter because no host remembers its announcements after a restart of all.
TEST_CASE_FIXTURE(Fixture, "a voter that was replaced before all hosts restarted does not count in the majority")
{
    members.push_back(makeMember("b2", "5:1"));
    announced = { { "a", "a", "1:1", "x" }, { "c", "c", "3:1", "z" }, { "b2", "b2", "5:1", "y" } };
    run(Duration(4000), {});
    CHECK(hasMajorityWithout({ "b", "c" }));
}

// Guards against a successor in another data centre that does not take the place of the lost host for 10 s.
TEST_CASE_FIXTURE(Fixture, "a successor in another data centre takes the place of a lost host within the catch-up time")
{
    nextChange();
    run(Duration(1000), { "b" });
    announced.push_back({ "d", "d", "4:1", "z" });
    run(Duration(4000), { "b" });
    CHECK(hasMajorityWithout({ "b", "c" }));
}

// Guards against a guess which host a successor is there to replace: a wrong one takes the vote of a host that stays,
// and with the former host and one disk lost nobody can be elected.
TEST_CASE_FIXTURE(Fixture, "a successor votes beside all running hosts, in whichever data centre it starts")
{
    for (const char* dataCentre : { "x", "y", "z", "w" }) {
        CAPTURE(dataCentre);
        members = { makeMember("a", "1:1"), makeMember("b", "2:1"), makeMember("c", "3:1") };
        announced.resize(3);
        policy.reset();
        nextChange();
        announced.push_back({ "d", "d", "4:1", dataCentre });
        run(Duration(1500), {});
        CHECK(voterCount() == 4);
        run(Duration(5000), {});
        CHECK(voterCount() == 4);
    }
}

// Guards against a planned replacement whose former host counts for long after it was taken away: the next host may be
// lost then.
TEST_CASE_FIXTURE(Fixture, "the former host of a planned replacement has no vote 1.5 s after it was taken away")
{
    nextChange();
    announced.push_back({ "b2", "b2", "5:1", "y" });
    run(Duration(4000), {});
    run(Duration(1500), { "b" });
    CHECK_FALSE(isVoter("b"));
    CHECK(hasMajorityWithout({ "b", "c" }));
}

// Guards against a new leader that keeps a replaced voter because it has not seen in which order the hosts joined.
TEST_CASE_FIXTURE(Fixture, "a new leader takes the vote of a replaced host within a second")
{
    members.push_back(makeMember("b2", "5:1"));
    announced.push_back({ "b2", "b2", "5:1", "y" });
    announced[1].age = Duration(2500);
    run(Duration(1000), { "b" });
    CHECK(hasMajorityWithout({ "b", "c" }));
}

// Guards against two successors in turn that leave two voters behind which no longer run.
TEST_CASE_FIXTURE(Fixture, "after two replacements a further host may be lost")
{
    nextChange();
    announced.push_back({ "b2", "b2", "5:1", "y" });
    run(Duration(4500), {});
    run(Duration(7000), { "b" });
    announced.push_back({ "c2", "c2", "6:1", "z" });
    run(Duration(4500), { "b" });
    CHECK(voterCount() == 4);
    run(Duration(1500), { "b", "c" });
    CHECK(hasMajorityWithout({ "b", "c", "a" }));
}

// Guards against a new host that votes before it has caught up, and against one that waits for a second one to come
// before it may vote.
TEST_CASE_FIXTURE(Fixture, "announced hosts are added as non-voting members and then promoted")
{
    CHECK_FALSE(nextChange().has_value());
    announced.push_back({ "d", "d", "4:1", "w" });
    advanceClock(Duration(300), {});
    const auto added = nextChange();
    REQUIRE(added.has_value());
    CHECK(added->change.add_control_member().identity() == "d");
    CHECK_FALSE(added->change.add_control_member().voter());
    members.push_back(makeMember("d", "4:1", false));
    run(Duration(1000), {});
    CHECK(isVoter("d"));
    announced.push_back({ "e", "e", "5:1", "w" });
    run(Duration(2000), {});
    CHECK(isVoter("e"));
    CHECK(voterCount() == 5);
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

// Guards against a member that is removed although no host has taken its place, and against one that stays for good.
TEST_CASE_FIXTURE(
    Fixture, "a silent voter keeps its vote until another host has it, and is removed 10 s after its loss")
{
    nextChange();
    run(Duration(30'000), { "c" });
    CHECK(isVoter("c"));
    announced.push_back({ "d", "d", "4:1", "w" });
    run(Duration(2000), { "c" });
    CHECK(isVoter("d"));
    CHECK(voterCount() == 3);
    CHECK_FALSE(isMember("c"));
}

// Guards against a silent voter among an odd number: with one more host removed and a disk lost, two of five are left,
// while two of four are enough once one disk is known to be lost.
TEST_CASE_FIXTURE(Fixture, "of five voters a silent one loses its vote although no other host can have it")
{
    for (const char* identity : { "d", "e" }) {
        announced.push_back({ identity, identity, std::string(identity) + ":1", "w" });
        members.push_back(makeMember(identity, std::string(identity) + ":1"));
    }
    nextChange();
    run(Duration(1500), { "c" });
    CHECK_FALSE(isVoter("c"));
    run(Duration(1000), {});
    CHECK(isVoter("c"));
    CHECK(voterCount() == 5);
}

// Guards against a host that must join anew with an empty disk after a mere restart.
TEST_CASE_FIXTURE(Fixture, "a voter that is silent for 8 s stays a member, also if its vote has gone to another host")
{
    members.push_back(makeMember("d", "4:1"));
    announced.push_back({ "d", "d", "4:1", "w" });
    nextChange();
    run(Duration(8000), { "b" });
    CHECK(isMember("b"));
    CHECK(isVoter("d"));
    run(Duration(5000), {});
    CHECK(isVoter("b"));
    CHECK(voterCount() == 4);
}

// Guards against members that lose and gain their votes in turn without end.
TEST_CASE_FIXTURE(Fixture, "all members of a deployment of eight hosts vote, and no change follows")
{
    for (const char* identity : { "d", "e", "f", "g", "h" }) {
        announced.push_back(
            { identity, identity, std::string(identity) + ":1", std::string(1, "xyzw"[members.size() % 4]) });
        members.push_back(makeMember(identity, std::string(identity) + ":1", false));
    }
    run(Duration(10'000), {});
    CHECK(voterCount() == 8);
    for (int i = 0; i < 40; ++i) {
        advanceClock(Duration(250), {});
        CHECK_FALSE(nextChange().has_value());
    }
}

// Guards against a host that is told to stop and takes the majority with it, although another one could vote.
TEST_CASE_FIXTURE(Fixture, "the vote of a stopping host goes to a running member at once")
{
    members.push_back(makeMember("d", "4:1", false));
    announced.push_back({ "d", "d", "4:1", "w" });
    nextChange();
    run(Duration(5000), {});
    announced[0].isStopping = true;
    run(Duration(750), {});
    CHECK(hasMajorityWithout({ "a", "b" }));
}

// Guards against a voter that loses its vote although the data centres of the others are not known yet, as to a new
// leader.
TEST_CASE_FIXTURE(Fixture, "no running voter loses its vote while the data centre of a voter is unknown")
{
    members.push_back(makeMember("d", "4:1"));
    announced.pop_back();
    announced.push_back({ "d", "d", "4:1", "w" });
    run(Duration(1500), {});
    CHECK(voterCount() == 4);
}

// Guards against a member that cannot be promoted, since its disk is full, and keeps another one from taking the place
// of a lost voter; and against refused promotions without a pause.
TEST_CASE_FIXTURE(Fixture, "a member whose promotion is refused is passed over for a while")
{
    for (const char* identity : { "d", "e" }) {
        announced.push_back({ identity, identity, std::string(identity) + ":1", "w" });
        members.push_back(makeMember(identity, std::string(identity) + ":1", false));
    }
    announced[2].age = Duration(2000);
    const auto refused = nextChange();
    REQUIRE(refused.has_value());
    REQUIRE(refused->change.change_case() == schema::Change::kPromoteControlMember);
    policy.handleRefusal(refused->change, clock.now());
    CHECK_FALSE(nextChange().has_value());
    run(Duration(750), { "c" });
    CHECK_FALSE(isVoter(refused->change.promote_control_member()));
    CHECK(hasMajorityWithout({ "b", "c" }));
}
