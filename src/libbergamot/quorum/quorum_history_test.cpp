#include "quorum/quorum_test_support.h"

#include <doctest/doctest.h>

using namespace bergamotroute;
using namespace bergamotroute::test;

namespace {

/// Results that a client has received for one command.
struct TrackedCommand {
    schema::Command command;
    std::set<std::uint64_t> acceptedRevisions;
    bool refused = false;
};

/// Runs random faults and commands and checks every step against the results that clients have received.
class RandomHistory {
public:
    RandomHistory(std::size_t count, std::uint64_t seed)
        : m_quorum(count, seed)
        , m_random(seed * 31 + count)
    {
        m_quorum.duplicatePercent = 5;
    }

    void run(int steps)
    {
        for (int i = 0; i < steps; ++i) {
            injectFault();
            if (chance(20))
                sendCommand();
            m_quorum.step();
            collectAnswers();
            checkLease();
        }
        healAndWait();
        checkOutcome();
    }

    std::size_t acceptedCount() const
    {
        return static_cast<std::size_t>(std::count_if(m_requests.begin(), m_requests.end(),
            [](const auto& item) { return !item.second.acceptedRevisions.empty(); }));
    }

private:
    bool chance(unsigned percent) { return m_random() % 1000 < percent * 10; }

    TestMember& randomMember() { return *m_quorum.members[m_random() % m_quorum.members.size()]; }

    /// Changes sync rate, message delay and loss, so that periods with unsynced records and late messages occur.
    void changeConditions()
    {
        static constexpr unsigned syncChoices[] = { 5, 20, 100 };
        static constexpr unsigned delayChoices[] = { 0, 6, 40 };
        static constexpr unsigned lossChoices[] = { 0, 5, 30 };
        m_quorum.syncPercent = syncChoices[m_random() % 3];
        m_quorum.maxDelaySteps = delayChoices[m_random() % 3];
        m_quorum.lossPercent = lossChoices[m_random() % 3];
    }

    /// Crashes each member with a probability of 50 %, as a power failure does.
    void injectPowerFailure()
    {
        for (const auto& member : m_quorum.members) {
            if (chance(50))
                member->crash();
        }
    }

    void startAll()
    {
        for (const auto& member : m_quorum.members) {
            if (!member->log)
                member->start();
        }
    }

    void injectFault()
    {
        const auto choice = static_cast<unsigned>(m_random() % 1000);
        if (choice < 2)
            injectPowerFailure();
        else if (choice < 5)
            randomMember().crash();
        else if (choice < 15)
            startAll();
        else if (choice < 19)
            m_quorum.isolate(randomMember().identity);
        else if (choice < 25)
            m_quorum.heal();
        else if (choice < 30)
            changeConditions();
    }

    void sendCommand()
    {
        TestMember* target = chance(30) ? &randomMember() : m_quorum.leader();
        if (!target || !target->log)
            return;
        const bool resend = !m_requests.empty() && chance(25);
        const std::size_t number = resend ? m_random() % m_requests.size() : m_requests.size();
        const std::string id = "r" + std::to_string(number);
        TrackedCommand& request = m_requests[id];
        if (!resend) {
            request.command
                = makeCommand(id, "10.0." + std::to_string(number / 250) + '.' + std::to_string(number % 250));
            // 33 % of the commands expect a revision; 30 % of these expect an outdated one.
            if (chance(33))
                request.command.set_expect_revision(target->log->configuration().revision() - (chance(30) ? 1 : 0));
        }
        m_tokens[m_quorum.submit(*target, request.command)] = id;
    }

    void collectAnswers()
    {
        for (const auto& member : m_quorum.members) {
            for (const auto& [token, result] : member->answers) {
                TrackedCommand& request = m_requests[m_tokens[token]];
                if (result.outcome() == schema::OUTCOME_ACCEPTED) {
                    request.acceptedRevisions.insert(result.revision());
                    m_highestAcceptedRevision = std::max(m_highestAcceptedRevision, result.revision());
                }
                request.refused = request.refused || result.outcome() == schema::OUTCOME_NOT_ACCEPTED;
            }
            member->answers.clear();
        }
    }

    void checkLease()
    {
        REQUIRE(m_quorum.leaseCount() <= 1);
        if (TestMember* leader = m_quorum.leader())
            REQUIRE(leader->log->configuration().revision() >= m_highestAcceptedRevision);
    }

    void healAndWait()
    {
        m_quorum.heal();
        m_quorum.lossPercent = 0;
        m_quorum.syncPercent = 100;
        m_quorum.maxDelaySteps = 1;
        startAll();
        m_quorum.run(Duration(8000));
        collectAnswers();
    }

    void checkOutcome()
    {
        const schema::Configuration& first = m_quorum.members[0]->log->configuration();
        for (const auto& member : m_quorum.members) {
            CHECK(member->log->configuration().SerializeAsString() == first.SerializeAsString());
            CHECK_FALSE(member->revisionDecreased);
        }
        std::set<std::string> present;
        for (const schema::BackendOverride& backend : first.backends())
            present.insert(backend.address());
        for (const auto& [id, request] : m_requests) {
            const std::string& address = request.command.changes(0).set_backend().address();
            CHECK(request.acceptedRevisions.size() <= 1);
            if (!request.acceptedRevisions.empty()) {
                CHECK_FALSE(request.refused);
                CHECK(present.contains(address));
            }
            if (request.refused)
                CHECK_FALSE(present.contains(address));
        }
    }

    TestQuorum m_quorum;
    std::mt19937_64 m_random;
    std::map<std::string, TrackedCommand> m_requests;
    std::map<std::uint64_t, std::string> m_tokens;
    std::uint64_t m_highestAcceptedRevision = 0;
};

}

// Guards against accepted commands that are lost, rejected commands that take effect, two valid leases at once, stale
// reads under a valid lease and decreasing revisions, caused by crashes, unsynced writes, partitions, and lost, delayed
// or duplicated messages.
TEST_CASE("under random faults every result that a client received stays valid")
{
    for (const std::size_t count : { std::size_t { 3 }, std::size_t { 5 } }) {
        for (std::uint64_t seed = 1; seed <= 25; ++seed) {
            CAPTURE(count);
            CAPTURE(seed);
            RandomHistory history(count, seed);
            history.run(6000);
            CHECK(history.acceptedCount() > 20);
        }
    }
}
