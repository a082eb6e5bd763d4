/// @file
/// Random histories of control hosts whose members change: successors, removed hosts and lost disks beside crashes,
/// partitions and lost or late messages.

#include "directory/control_group_test_support.h"

#include <doctest/doctest.h>

using namespace bergamotroute;
using namespace bergamotroute::test;

namespace {

class MemberHistory {
public:
    MemberHistory(std::size_t count, std::uint64_t seed)
        : m_group(count, seed)
        , m_random(seed * 37 + count)
    {
        m_group.quorum.duplicatePercent = 5;
    }

    void run(int steps)
    {
        for (int i = 0; i < steps; ++i) {
            injectFault();
            if (m_random() % 5 == 0)
                sendCommand();
            m_group.step();
            checkStep();
        }
        healAndWait();
        checkOutcome();
    }

    int replacements() const { return m_replacements; }
    int lostDisks() const { return m_lostDisks; }

private:
    std::size_t randomHost() { return m_random() % m_group.hostCount(); }

    Duration randomTime(int shortestMs, int longestMs)
    {
        const auto spread = static_cast<std::uint64_t>(longestMs - shortestMs);
        return Duration(shortestMs + static_cast<int>(m_random() % spread));
    }

    void crashOne()
    {
        const std::size_t host = randomHost();
        if (!m_group.isRemoved(host) && m_group.member(host).log)
            m_group.crash(host, randomTime(50, 4000));
    }

    void failPower()
    {
        for (std::size_t host = 0; host < m_group.hostCount(); ++host) {
            if (m_random() % 2 == 0 && !m_group.isRemoved(host) && m_group.member(host).log)
                m_group.crash(host, randomTime(50, 2000));
        }
    }

    void splitHosts()
    {
        m_group.quorum.heal();
        for (std::size_t host = 0; host < m_group.hostCount(); ++host) {
            if (m_random() % 2 == 0)
                m_group.quorum.isolate(m_group.member(host).identity);
        }
    }

    /// The disk of another host may be lost only once every host that was not removed votes.
    void loseDisk()
    {
        const std::size_t host = randomHost();
        if (m_group.isRemoved(host) || !m_group.member(host).log || !m_group.isComplete())
            return;
        m_group.loseDisk(host, randomTime(50, 2000));
        ++m_lostDisks;
    }

    /// Adds a successor, or removes a host for which one was added, if all others vote.
    void replaceHost()
    {
        if (!m_group.isComplete())
            return;
        const std::size_t host = randomHost();
        if (!m_hasSuccessor) {
            m_group.addSuccessor();
            m_hasSuccessor = true;
        } else if (!m_group.isRemoved(host)) {
            m_group.remove(host);
            m_hasSuccessor = false;
            ++m_replacements;
            // Another disk may be lost at the same time.
            if (m_random() % 2 == 0)
                loseDisk();
        }
    }

    void changeConditions()
    {
        static constexpr unsigned syncChoices[] = { 5, 20, 100 };
        static constexpr unsigned delayChoices[] = { 0, 6, 40 };
        static constexpr unsigned lossChoices[] = { 0, 5, 30 };
        m_group.quorum.syncPercent = syncChoices[m_random() % 3];
        m_group.quorum.maxDelaySteps = delayChoices[m_random() % 3];
        m_group.quorum.lossPercent = lossChoices[m_random() % 3];
    }

    void injectFault()
    {
        const auto choice = static_cast<unsigned>(m_random() % 2000);
        if (choice < 1)
            failPower();
        else if (choice < 8)
            crashOne();
        else if (choice < 12)
            splitHosts();
        else if (choice < 32)
            m_group.quorum.heal();
        else if (choice < 38)
            changeConditions();
        else if (choice < 78)
            loseDisk();
        else if (choice < 158)
            replaceHost();
    }

    void sendCommand()
    {
        TestMember* leader = m_group.quorum.leader();
        if (!leader)
            return;
        const int number = ++m_commands;
        const std::string address = "10." + std::to_string(number / 62500) + '.' + std::to_string(number / 250 % 250)
            + '.' + std::to_string(number % 250);
        m_addresses[m_group.quorum.submit(*leader, makeCommand("r" + std::to_string(number), address))] = address;
    }

    void checkStep()
    {
        REQUIRE(m_group.quorum.leaseCount() <= 1);
        for (std::size_t host = 0; host < m_group.hostCount(); ++host) {
            TestMember& member = m_group.member(host);
            collectAnswers(member);
            if (!member.log || member.log->role() != QuorumRole::Leader)
                continue;
            const auto [known, isNew] = m_leaderOfTerm.try_emplace(member.log->term(), member.identity);
            REQUIRE(known->second == member.identity);
        }
        if (TestMember* leader = m_group.quorum.leader())
            REQUIRE(leader->log->configuration().revision() >= m_highestAccepted);
    }

    void collectAnswers(TestMember& member)
    {
        for (const auto& [token, result] : member.answers) {
            const auto found = m_addresses.find(token);
            if (found == m_addresses.end() || result.outcome() != schema::OUTCOME_ACCEPTED)
                continue;
            m_accepted.insert(found->second);
            m_highestAccepted = std::max(m_highestAccepted, result.revision());
        }
        std::erase_if(member.answers, [this](const auto& item) { return m_addresses.contains(item.first); });
    }

    void healAndWait()
    {
        m_group.quorum.heal();
        m_group.quorum.lossPercent = 0;
        m_group.quorum.syncPercent = 100;
        m_group.quorum.maxDelaySteps = 1;
        constexpr Duration longestDownTime { 4000 };
        constexpr Duration recoveryTime { 12'000 };
        m_group.run(longestDownTime + recoveryTime);
    }

    void checkOutcome()
    {
        CHECK(m_group.change(Duration(2000)));
        TestMember* leader = m_group.quorum.leader();
        REQUIRE(leader != nullptr);
        std::set<std::string> present;
        for (const schema::BackendOverride& backend : leader->log->configuration().backends())
            present.insert(backend.address());
        for (const std::string& address : m_accepted)
            CHECK(present.contains(address));
        CHECK(m_group.isComplete());
    }

    ControlGroup m_group;
    std::mt19937_64 m_random;
    std::map<std::uint64_t, std::string> m_addresses;
    std::set<std::string> m_accepted;
    std::map<std::uint64_t, std::string> m_leaderOfTerm;
    std::uint64_t m_highestAccepted = 0;
    int m_commands = 0;
    int m_replacements = 0;
    int m_lostDisks = 0;
    bool m_hasSuccessor = false;
};

}

// Guards against a quorum that ends for good, two leaders in one term, two leases at once, and lost or outdated answers
// when members change: an election with half of the voters must not overlook an accepted change.
TEST_CASE("with replaced hosts and lost disks every accepted command stays, and the quorum goes on")
{
    int replacements = 0;
    int lostDisks = 0;
    for (const std::size_t count : { std::size_t { 3 }, std::size_t { 4 }, std::size_t { 6 } }) {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            CAPTURE(count);
            CAPTURE(seed);
            MemberHistory history(count, seed);
            history.run(6000);
            replacements += history.replacements();
            lostDisks += history.lostDisks();
        }
    }
    CHECK(replacements > 10);
    CHECK(lostDisks > 10);
}
