/// @file
/// Guards against an evacuation that control hosts forget, bring back or date wrongly when calls are repeated or raced,
/// and when hosts are killed, replaced or cut off.

#include "bergamotroute/evacuation.h"
#include "quorum/quorum_test_support.h"

#include <doctest/doctest.h>

using namespace bergamotroute;
using namespace bergamotroute::test;

namespace {

/// A quorum that takes orders and withdrawals.
class EvacuationQuorum : public TestQuorum {
public:
    explicit EvacuationQuorum(std::uint64_t seed)
        : TestQuorum(3, seed)
    {
    }

    /// @return a command as a control host makes it from one call.
    schema::Command makeCall(const std::string& dataCentre, bool stops, const std::string& caller = "10.0.0.1")
    {
        return makeEvacuationCommand(
            { dataCentre, stops, caller, clock.wallMilliseconds() }, "call-" + std::to_string(++m_calls));
    }

    /// Sends a call until it is acknowledged.
    void acknowledge(const std::string& dataCentre, bool stops, const std::string& caller = "10.0.0.1")
    {
        REQUIRE(submitToLeader(makeCall(dataCentre, stops, caller)).outcome() == schema::OUTCOME_ACCEPTED);
    }

    /// @return true if every running member shows the same list with these names.
    bool allShow(std::initializer_list<std::string> names)
    {
        const std::vector<std::string> expected(names);
        return std::all_of(members.begin(), members.end(), [&](const auto& member) {
            if (!member->log || !member->log->isInitialized())
                return true;
            const schema::StoppedDataCentres list = listStoppedDataCentres(member->log->configuration());
            return std::vector<std::string>(list.names().begin(), list.names().end()) == expected;
        });
    }

    /// Ends all processes at once and starts them again from their disks.
    void losePower()
    {
        for (const auto& member : members)
            member->crash();
        for (const auto& member : members)
            member->start();
    }

private:
    int m_calls = 0;
};

const schema::DataCentre& firstDataCentre(const TestMember& member)
{
    return member.log->configuration().data_centres(0);
}

}

TEST_CASE("an order that is sent again through another leader is acknowledged and keeps its first time and caller")
{
    EvacuationQuorum quorum(21);
    quorum.acknowledge("east", true, "10.0.0.1");
    TestMember* leader = quorum.leader();
    REQUIRE(leader != nullptr);
    const std::string before = firstDataCentre(*leader).SerializeAsString();
    leader->crash();
    quorum.acknowledge("east", true, "10.0.0.2");
    quorum.run(Duration(500));
    REQUIRE(quorum.leader() != nullptr);
    CHECK(quorum.leader() != leader);
    CHECK(firstDataCentre(*quorum.leader()).SerializeAsString() == before);
}

TEST_CASE("an order and a withdrawal at the same time are both acknowledged and all hosts show the later one")
{
    for (const bool stopsLast : { true, false }) {
        EvacuationQuorum quorum(22);
        quorum.run(Duration(2000));
        TestMember* leader = quorum.leader();
        REQUIRE(leader != nullptr);
        const std::uint64_t first = quorum.submit(*leader, quorum.makeCall("east", !stopsLast));
        const std::uint64_t second = quorum.submit(*leader, quorum.makeCall("east", stopsLast));
        quorum.run(Duration(1000));
        CHECK(leader->answers[first].outcome() == schema::OUTCOME_ACCEPTED);
        CHECK(leader->answers[second].outcome() == schema::OUTCOME_ACCEPTED);
        CHECK((stopsLast ? quorum.allShow({ "east" }) : quorum.allShow({})));
    }
}

TEST_CASE("an order that reaches a deposed leader late does not undo a later withdrawal")
{
    EvacuationQuorum quorum(23);
    quorum.acknowledge("east", true);
    TestMember* old = quorum.leader();
    REQUIRE(old != nullptr);
    quorum.isolate(old->identity);
    quorum.run(Duration(5000));
    TestMember* current = quorum.leader();
    REQUIRE(current != nullptr);
    REQUIRE(current != old);
    const std::uint64_t withdrawal = quorum.submit(*current, quorum.makeCall("east", false));
    quorum.run(Duration(500));
    REQUIRE(current->answers[withdrawal].outcome() == schema::OUTCOME_ACCEPTED);
    const std::uint64_t late = quorum.submit(*old, quorum.makeCall("east", true));
    CHECK(old->answers[late].outcome() == schema::OUTCOME_UNKNOWN);
    quorum.heal();
    quorum.run(Duration(3000));
    CHECK(quorum.allShow({}));
}

TEST_CASE("only the side of a partition with a majority accepts an order")
{
    EvacuationQuorum quorum(24);
    quorum.run(Duration(2000));
    TestMember* old = quorum.leader();
    REQUIRE(old != nullptr);
    quorum.isolate(old->identity);
    // The lease is still valid, so the order enters the log of the side without a majority.
    const std::uint64_t lost = quorum.submit(*old, quorum.makeCall("east", true));
    quorum.run(Duration(5000));
    CHECK(old->answers[lost].outcome() == schema::OUTCOME_UNKNOWN);
    quorum.acknowledge("west", true);
    quorum.heal();
    quorum.run(Duration(3000));
    CHECK(quorum.allShow({ "west" }));
}

TEST_CASE("an order whose leader is killed after it was sent to the others takes effect once when it is sent again")
{
    EvacuationQuorum quorum(25);
    quorum.maxDelaySteps = 0;
    quorum.run(Duration(2000));
    TestMember* leader = quorum.leader();
    REQUIRE(leader != nullptr);
    quorum.submit(*leader, quorum.makeCall("east", true, "10.0.0.1"));
    // The entry reaches the others within one step; their answers come in the next one.
    quorum.step();
    REQUIRE(leader->answers.empty());
    leader->crash();
    quorum.run(Duration(3000));
    REQUIRE(quorum.leader() != nullptr);
    CHECK(quorum.allShow({ "east" }));
    const std::string before = firstDataCentre(*quorum.leader()).SerializeAsString();
    quorum.acknowledge("east", true, "10.0.0.2");
    CHECK(firstDataCentre(*quorum.leader()).SerializeAsString() == before);
    CHECK(firstDataCentre(*quorum.leader()).changed_by() == "10.0.0.1");
    leader->start();
    quorum.run(Duration(3000));
    CHECK(quorum.allShow({ "east" }));
}

TEST_CASE("an order whose leader is killed before anything was sent takes effect when it is sent again")
{
    EvacuationQuorum quorum(28);
    quorum.run(Duration(2000));
    TestMember* leader = quorum.leader();
    REQUIRE(leader != nullptr);
    quorum.submit(*leader, quorum.makeCall("east", true, "10.0.0.1"));
    leader->outbox.clear();
    leader->sync();
    REQUIRE(leader->answers.empty());
    leader->crash();
    quorum.run(Duration(3000));
    CHECK(quorum.allShow({}));
    quorum.acknowledge("east", true, "10.0.0.2");
    // The killed leader has the first order at the same place in its log, where it was never committed.
    leader->start();
    quorum.run(Duration(3000));
    CHECK(quorum.allShow({ "east" }));
    CHECK(firstDataCentre(*leader).changed_by() == "10.0.0.2");
}

TEST_CASE("an evacuation survives a loss of power of all hosts, directly after the answer and after a snapshot")
{
    EvacuationQuorum quorum(26);
    quorum.acknowledge("east", true);
    const std::string before = firstDataCentre(*quorum.leader()).SerializeAsString();
    quorum.losePower();
    quorum.run(Duration(5000));
    REQUIRE(quorum.leader() != nullptr);
    CHECK(quorum.allShow({ "east" }));
    CHECK(firstDataCentre(*quorum.leader()).SerializeAsString() == before);
    // More commands than a snapshot takes, so that the order itself leaves the log.
    for (int i = 0; i < 30; ++i)
        quorum.submitToLeader(makeCommand("fill-" + std::to_string(i), "10.1.0.1"));
    REQUIRE(std::all_of(quorum.members.begin(), quorum.members.end(),
        [](const auto& member) { return member->disk.snapshot.has_value() && member->disk.baseIndex > 10; }));
    quorum.losePower();
    quorum.run(Duration(5000));
    REQUIRE(quorum.leader() != nullptr);
    CHECK(quorum.allShow({ "east" }));
    CHECK(firstDataCentre(*quorum.leader()).SerializeAsString() == before);
}

// Guards against a restarted control host that hands out the state from before an acknowledged order as the current
// one.
TEST_CASE(
    "after a loss of power directly after the answer a host that has the order shows it or knows that it is unsure")
{
    EvacuationQuorum quorum(29);
    quorum.maxDelaySteps = 0;
    quorum.run(Duration(2000));
    TestMember* leader = quorum.leader();
    REQUIRE(leader != nullptr);
    const std::uint64_t token = quorum.submit(*leader, quorum.makeCall("east", true));
    while (!leader->answers.contains(token))
        quorum.step();
    REQUIRE(leader->answers[token].outcome() == schema::OUTCOME_ACCEPTED);
    quorum.losePower();
    std::size_t aware = 0;
    for (const auto& member : quorum.members) {
        const bool shows = listStoppedDataCentres(member->log->configuration()).names_size() == 1;
        aware += shows || member->log->hasUncommittedDataCentreChange() ? 1 : 0;
    }
    CHECK(aware >= 2);
    CHECK_FALSE(quorum.allShow({ "east" }));
    quorum.run(Duration(3000));
    CHECK(quorum.allShow({ "east" }));
    for (const auto& member : quorum.members)
        CHECK_FALSE(member->log->hasUncommittedDataCentreChange());
}

TEST_CASE("a member that replaces a lost disk during an evacuation gets it, and holds it when the others are replaced")
{
    EvacuationQuorum quorum(27);
    quorum.acknowledge("east", true);
    const std::uint64_t revision = quorum.leader()->log->configuration().data_centres_revision();
    for (int i = 0; i < 3; ++i) {
        TestMember& lost = *quorum.members[static_cast<std::size_t>(i)];
        lost.crash();
        const std::string added = "new-" + std::to_string(i);
        schema::Command join;
        join.set_request_id("add-" + added);
        schema::ControlMember& member = *join.add_changes()->mutable_add_control_member();
        member.set_identity(added);
        member.set_host(added);
        member.set_rpc_endpoint("127.0.0.1:" + std::to_string(2000 + i));
        REQUIRE(quorum.submitToLeader(join).outcome() == schema::OUTCOME_ACCEPTED);
        quorum.add(added);
        quorum.run(Duration(2000));
        schema::Command promote;
        promote.set_request_id("promote-" + added);
        promote.add_changes()->set_promote_control_member(added);
        REQUIRE(quorum.submitToLeader(promote).outcome() == schema::OUTCOME_ACCEPTED);
        schema::Command removal;
        removal.set_request_id("remove-" + lost.identity);
        removal.add_changes()->set_remove_control_member(lost.identity);
        REQUIRE(quorum.submitToLeader(removal).outcome() == schema::OUTCOME_ACCEPTED);
    }
    quorum.run(Duration(2000));
    REQUIRE(quorum.leader() != nullptr);
    CHECK(quorum.allShow({ "east" }));
    CHECK(quorum.leader()->log->configuration().data_centres_revision() == revision);
    quorum.acknowledge("east", false);
    quorum.run(Duration(500));
    CHECK(quorum.allShow({}));
    CHECK(quorum.leader()->log->configuration().data_centres_revision() > revision);
}

// Guards against an acknowledged call that is undone by lost messages, slow disks and crashes of any host.
TEST_CASE("under random faults the last acknowledged call of each data centre stays in force")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        EvacuationQuorum quorum(seed);
        quorum.lossPercent = 10;
        quorum.duplicatePercent = 5;
        quorum.syncPercent = 20;
        quorum.maxDelaySteps = 6;
        bool isStopped = false;
        std::uint64_t lastRevision = 0;
        for (int round = 0; round < 8; ++round) {
            isStopped = !isStopped;
            quorum.acknowledge("east", isStopped);
            if (quorum.random() % 2 == 0)
                quorum.losePower();
            else
                quorum.members[quorum.random() % 3]->crash();
            for (const auto& member : quorum.members) {
                if (!member->log)
                    member->start();
            }
            quorum.run(Duration(5000));
            REQUIRE(quorum.leader() != nullptr);
            const schema::Configuration& configuration = quorum.leader()->log->configuration();
            CHECK(listStoppedDataCentres(configuration).names_size() == (isStopped ? 1 : 0));
            CHECK(configuration.data_centres_revision() > lastRevision);
            lastRevision = configuration.data_centres_revision();
        }
    }
}
