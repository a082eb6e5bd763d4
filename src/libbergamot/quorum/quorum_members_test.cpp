#include "quorum/quorum_test_support.h"

#include <doctest/doctest.h>

using namespace bergamotroute;
using namespace bergamotroute::test;

namespace {

schema::Command memberCommand(const std::string& requestId)
{
    schema::Command command;
    command.set_request_id(requestId);
    command.add_changes();
    return command;
}

schema::Command addMember(const std::string& requestId, const std::string& identity)
{
    schema::Command command = memberCommand(requestId);
    schema::ControlMember& member = *command.mutable_changes(0)->mutable_add_control_member();
    member.set_identity(identity);
    member.set_host(identity);
    member.set_rpc_endpoint("127.0.0.1:2000");
    return command;
}

schema::Command promoteMember(const std::string& requestId, const std::string& identity)
{
    schema::Command command = memberCommand(requestId);
    command.mutable_changes(0)->set_promote_control_member(identity);
    return command;
}

schema::Command demoteMember(const std::string& requestId, const std::string& identity)
{
    schema::Command command = memberCommand(requestId);
    command.mutable_changes(0)->set_demote_control_member(identity);
    return command;
}

schema::Command removeMember(const std::string& requestId, const std::string& identity)
{
    schema::Command command = memberCommand(requestId);
    command.mutable_changes(0)->set_remove_control_member(identity);
    return command;
}

std::uint32_t number(ResultCode code) { return static_cast<std::uint32_t>(code); }

}

// Guards against a host whose disk was replaced and that votes under its former identity: with one of three members
// left there is no majority.
TEST_CASE("a member with a replaced disk does not vote under its former identity")
{
    TestQuorum quorum(3, 1);
    CHECK(quorum.submitToLeader(makeCommand("a", "10.0.0.1")).outcome() == schema::OUTCOME_ACCEPTED);
    quorum.members[1]->crash();
    quorum.members[2]->crash();
    quorum.members[1]->identity = "m1-new";
    quorum.members[1]->disk = {};
    quorum.members[1]->start();
    quorum.run(Duration(10'000));
    CHECK(quorum.leader() == nullptr);
    CHECK_FALSE(quorum.members[1]->log->isInitialized());
}

// Guards against a new member that votes before it has the log, and against two member changes at the same time.
TEST_CASE("a new member is a learner and can be promoted only after it has caught up")
{
    TestQuorum quorum(3, 2);
    CHECK(quorum.submitToLeader(addMember("add", "m3")).outcome() == schema::OUTCOME_ACCEPTED);
    CHECK(quorum.submitToLeader(promoteMember("early", "m3")).code() == number(ResultCode::MemberNotCaughtUp));
    TestMember& added = quorum.add("m3");
    quorum.run(Duration(2000));
    CHECK(added.log->isInitialized());
    CHECK(added.log->dump(quorum.clock.now()).role() == "learner");
    CHECK(quorum.submitToLeader(promoteMember("early", "m3")).code() == number(ResultCode::MemberNotCaughtUp));
    CHECK(quorum.submitToLeader(promoteMember("late", "m3")).outcome() == schema::OUTCOME_ACCEPTED);
    quorum.run(Duration(1000));
    CHECK(added.log->dump(quorum.clock.now()).role() == "follower");
    quorum.members[0]->crash();
    quorum.members[1]->crash();
    quorum.run(Duration(5000));
    // Two of four voters are not a majority.
    CHECK(quorum.leader() == nullptr);
}

// Guards against a new member that receives no state until the next change because the leader has no entries left to
// send to it.
TEST_CASE("a new member receives the state without a further change")
{
    TestQuorum quorum(3, 7);
    CHECK(quorum.submitToLeader(makeCommand("a", "10.0.0.1")).outcome() == schema::OUTCOME_ACCEPTED);
    TestMember& added = quorum.add("m3");
    CHECK(quorum.submitToLeader(addMember("add", "m3")).outcome() == schema::OUTCOME_ACCEPTED);
    quorum.run(Duration(2000));
    CHECK(added.log->configuration().backends_size() == 1);
    CHECK(added.log->configuration().control_members_size() == 4);
}

// Guards against a removal that leaves no reachable majority, and against a removed member that takes part again after
// a restart.
TEST_CASE("a removal that would leave no majority is rejected and a removed member stays stopped")
{
    TestQuorum quorum(3, 3);
    CHECK(quorum.submitToLeader(makeCommand("a", "10.0.0.1")).outcome() == schema::OUTCOME_ACCEPTED);
    TestMember* leader = quorum.leader();
    REQUIRE(leader != nullptr);
    TestMember& dead = *quorum.members[leader == quorum.members[2].get() ? 1 : 2];
    dead.crash();
    quorum.run(Duration(1000));
    CHECK(quorum.submitToLeader(removeMember("alive", leader->identity)).code() == number(ResultCode::MajorityLoss));
    dead.start();
    quorum.run(Duration(1000));
    CHECK(quorum.submitToLeader(removeMember("remove", dead.identity)).outcome() == schema::OUTCOME_ACCEPTED);
    quorum.run(Duration(500));
    CHECK(dead.log->role() == QuorumRole::Stopped);
    dead.crash();
    dead.start();
    CHECK(dead.log->role() == QuorumRole::Stopped);
    CHECK(std::count(dead.events.begin(), dead.events.end(), ResultCode::IdentityRetired) == 2);
    CHECK(quorum.submitToLeader(makeCommand("b", "10.0.0.2")).outcome() == schema::OUTCOME_ACCEPTED);
}

// Guards against a change that two of four voters commit, as a majority of the three after it, while the two others
// elect a leader that has never seen it, because they know of a lost disk.
TEST_CASE("a change of members needs a majority of the voters before it")
{
    TestQuorum quorum(4, 9);
    quorum.run(Duration(2000));
    TestMember* leader = quorum.leader();
    REQUIRE(leader != nullptr);
    std::vector<TestMember*> others;
    for (const auto& member : quorum.members) {
        if (member.get() != leader)
            others.push_back(member.get());
    }
    quorum.isolate(others[1]->identity);
    quorum.isolate(others[2]->identity);
    const std::uint64_t demotion = quorum.submit(*leader, demoteMember("demote", others[1]->identity));
    quorum.run(Duration(200));
    const std::uint64_t command = quorum.submit(*leader, makeCommand("a", "10.0.0.1"));
    quorum.run(Duration(200));
    CHECK(leader->answers[demotion].outcome() != schema::OUTCOME_ACCEPTED);
    CHECK(leader->answers[command].outcome() != schema::OUTCOME_ACCEPTED);
    others[0]->loseDisk();
    others[0]->start();
    quorum.isolate(others[0]->identity);
    for (int step = 0; step < 400; ++step) {
        quorum.step();
        REQUIRE(quorum.leaseCount() <= 1);
    }
    TestMember* second = quorum.leader();
    REQUIRE(second != nullptr);
    CHECK(second != leader);
    CHECK(second->log->electionsByHalf() == 1);
    quorum.heal();
    CHECK(quorum.submitToLeader(makeCommand("b", "10.0.0.2")).outcome() == schema::OUTCOME_ACCEPTED);
}

// Guards against voters that do not know that an acknowledged change of members is committed: they ask for a majority
// of the voters before it as well, of which the removed one and the lost leader are two.
TEST_CASE("right after an acknowledged removal the leader may be lost")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        TestQuorum quorum(4, seed);
        quorum.run(Duration(2000));
        TestMember* leader = quorum.leader();
        REQUIRE(leader != nullptr);
        TestMember& removed = *quorum.members[leader == quorum.members[0].get() ? 1 : 0];
        removed.crash();
        quorum.run(Duration(500));
        const std::uint64_t token = quorum.submit(*leader, removeMember("remove", removed.identity));
        for (int step = 0; step < 200 && !leader->answers.contains(token); ++step)
            quorum.step();
        REQUIRE(leader->answers[token].outcome() == schema::OUTCOME_ACCEPTED);
        leader->crash();
        quorum.run(Duration(4000));
        CHECK(quorum.leader() != nullptr);
    }
}

// Guards against a leader that leads on without a vote, and against a demoted member that counts in the majority or
// must join anew.
TEST_CASE("a leader that loses its vote steps down and follows with its log")
{
    TestQuorum quorum(4, 11);
    CHECK(quorum.submitToLeader(makeCommand("a", "10.0.0.1")).outcome() == schema::OUTCOME_ACCEPTED);
    TestMember* former = quorum.leader();
    REQUIRE(former != nullptr);
    CHECK(quorum.submitToLeader(demoteMember("demote", former->identity)).outcome() == schema::OUTCOME_ACCEPTED);
    quorum.run(Duration(3000));
    TestMember* leader = quorum.leader();
    REQUIRE(leader != nullptr);
    CHECK(leader != former);
    CHECK(former->log->dump(quorum.clock.now()).role() == "learner");
    CHECK(quorum.submitToLeader(makeCommand("b", "10.0.0.2")).outcome() == schema::OUTCOME_ACCEPTED);
    quorum.run(Duration(500));
    CHECK(former->log->configuration().backends_size() == 2);
    // Three voters: one of them and the former leader may be lost.
    former->crash();
    leader->crash();
    quorum.run(Duration(5000));
    CHECK(quorum.leader() != nullptr);
}

// Guards against a demotion that leaves no majority that answers.
TEST_CASE("a demotion that would leave no majority is rejected")
{
    TestQuorum quorum(3, 12);
    CHECK(quorum.submitToLeader(makeCommand("a", "10.0.0.1")).outcome() == schema::OUTCOME_ACCEPTED);
    TestMember* leader = quorum.leader();
    REQUIRE(leader != nullptr);
    TestMember& dead = *quorum.members[leader == quorum.members[2].get() ? 1 : 2];
    TestMember& alive
        = *quorum.members[leader == quorum.members[0].get() ? (&dead == quorum.members[1].get() ? 2 : 1) : 0];
    dead.crash();
    quorum.run(Duration(1000));
    CHECK(quorum.submitToLeader(demoteMember("alive", alive.identity)).code() == number(ResultCode::MajorityLoss));
    CHECK(quorum.submitToLeader(demoteMember("dead", dead.identity)).outcome() == schema::OUTCOME_ACCEPTED);
    CHECK(quorum.submitToLeader(demoteMember("again", dead.identity)).code() == number(ResultCode::MemberExists));
    CHECK(quorum.submitToLeader(makeCommand("b", "10.0.0.2")).outcome() == schema::OUTCOME_ACCEPTED);
}

// Guards against a host that reports a command as accepted after its disk has failed.
TEST_CASE("after a failed sync a member rejects commands and still serves reads")
{
    TestQuorum quorum(3, 4);
    CHECK(quorum.submitToLeader(makeCommand("a", "10.0.0.1")).outcome() == schema::OUTCOME_ACCEPTED);
    TestMember* failing = quorum.leader();
    REQUIRE(failing != nullptr);
    const std::uint64_t token = quorum.submit(*failing, makeCommand("b", "10.0.0.2"));
    failing->sync(false);
    CHECK(failing->answers[token].outcome() == schema::OUTCOME_UNKNOWN);
    const std::uint64_t later = quorum.submit(*failing, makeCommand("c", "10.0.0.3"));
    CHECK(failing->answers[later].code() == number(ResultCode::StorageFailed));
    CHECK(failing->log->configuration().backends_size() == 1);
    CHECK(quorum.submitToLeader(makeCommand("d", "10.0.0.4")).outcome() == schema::OUTCOME_ACCEPTED);
    CHECK(quorum.leader() != failing);
}

// Guards against a leader in a minority partition that continues to answer with outdated state.
TEST_CASE("an isolated leader loses its lease before another leader has one")
{
    TestQuorum quorum(3, 5);
    CHECK(quorum.submitToLeader(makeCommand("a", "10.0.0.1")).outcome() == schema::OUTCOME_ACCEPTED);
    TestMember* old = quorum.leader();
    REQUIRE(old != nullptr);
    quorum.isolate(old->identity);
    const std::uint64_t token = quorum.submit(*old, makeCommand("b", "10.0.0.2"));
    for (int step = 0; step < 500; ++step) {
        quorum.step();
        REQUIRE(quorum.leaseCount() <= 1);
    }
    CHECK_FALSE(old->log->isLeaseValid(quorum.clock.now()));
    CHECK(old->answers[token].outcome() == schema::OUTCOME_UNKNOWN);
    const std::uint64_t refused = quorum.submit(*old, makeCommand("c", "10.0.0.3"));
    CHECK(old->answers[refused].outcome() == schema::OUTCOME_UNKNOWN);
    CHECK(quorum.leader() != nullptr);
}

// Guards against command results that are lost when a snapshot is taken or a member restarts.
TEST_CASE("command results are kept across snapshots and restarts")
{
    TestQuorum quorum(3, 6);
    const schema::CommandResult first = quorum.submitToLeader(makeCommand("first", "10.0.0.1"));
    schema::Command stale = makeCommand("stale", "10.0.0.2");
    stale.set_expect_revision(first.revision() + 1000);
    const schema::CommandResult refused = quorum.submitToLeader(stale);
    CHECK(refused.code() == number(ResultCode::RevisionStale));
    for (int i = 0; i < 50; ++i)
        CHECK(
            quorum.submitToLeader(makeCommand("more" + std::to_string(i), "10.0.1." + std::to_string(i))).code() == 0);
    for (const auto& member : quorum.members) {
        REQUIRE(member->disk.snapshot.has_value());
        member->crash();
        member->start();
    }
    CHECK(quorum.submitToLeader(makeCommand("first", "10.0.0.1")).SerializeAsString() == first.SerializeAsString());
    CHECK(quorum.submitToLeader(stale).SerializeAsString() == refused.SerializeAsString());
    CHECK(quorum.submitToLeader(makeCommand("first", "10.0.0.9")).code() == number(ResultCode::RequestIdReused));
}
