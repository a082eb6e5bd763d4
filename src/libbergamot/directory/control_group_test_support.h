#pragma once

/// @file
/// Test fixture of control hosts whose leader changes the members as MemberPolicy proposes, without network and disks.

#include "bergamotroute/member_policy.h"
#include "quorum/quorum_test_support.h"

#include <optional>
#include <string>
#include <vector>

namespace bergamotroute::test {

/// The quorum logs of some control hosts, with hosts that join, are removed for good, or lose their disks.
class ControlGroup {
public:
    ControlGroup(std::size_t count, std::uint64_t seed)
        : quorum(count, seed)
    {
        for (std::size_t i = 0; i < count; ++i)
            addHost(*quorum.members[i]);
    }

    void addSuccessor() { addHost(quorum.add("m" + std::to_string(m_hosts.size()))); }

    /// Ends a host for good.
    void remove(std::size_t number)
    {
        m_hosts[number].member->crash();
        m_hosts[number].isRemoved = true;
        m_hosts[number].startAt = noDeadline;
    }

    /// The host starts again after a time with what was on its disk.
    void crash(std::size_t number, Duration downTime)
    {
        m_hosts[number].member->crash();
        m_hosts[number].startAt = quorum.clock.now() + downTime;
    }

    /// The host starts again after a time with an empty disk.
    void loseDisk(std::size_t number, Duration downTime)
    {
        m_hosts[number].member->loseDisk();
        m_hosts[number].startAt = quorum.clock.now() + downTime;
    }

    void step()
    {
        quorum.step();
        startDueHosts();
        updateContacts();
        constexpr Duration policyInterval { 250 };
        if (quorum.clock.now() < m_nextPolicyStep)
            return;
        m_nextPolicyStep = quorum.clock.now() + policyInterval;
        for (Host& host : m_hosts)
            changeMembers(host);
    }

    void run(Duration time)
    {
        for (const TimePoint end = quorum.clock.now() + time; quorum.clock.now() < end;)
            step();
    }

    /// Submits a command to the leaders in turn until it is accepted.
    /// @return whether it was accepted within a time.
    bool change(Duration within)
    {
        const int number = m_acceptedChanges + 1;
        const auto command = makeCommand("change-" + std::to_string(number), "10.9.0." + std::to_string(number));
        const TimePoint end = quorum.clock.now() + within;
        while (quorum.clock.now() < end) {
            TestMember* leader = quorum.leader();
            const std::uint64_t token = leader ? quorum.submit(*leader, command) : 0;
            run(Duration(250));
            if (!leader || !leader->log || leader->answers[token].outcome() != schema::OUTCOME_ACCEPTED)
                continue;
            m_acceptedChanges = number;
            return true;
        }
        return false;
    }

    /// @return whether a leader with a lease has the changes that change() has seen accepted.
    bool hasAllChanges()
    {
        TestMember* leader = quorum.leader();
        return leader && leader->log->configuration().backends_size() >= m_acceptedChanges;
    }

    /// @return whether a leader has exactly the hosts that were not removed as voters, so that another one may be lost.
    bool isComplete()
    {
        TestMember* leader = quorum.leader();
        if (!leader)
            return false;
        const schema::ControlHostState state = leader->log->dump(quorum.clock.now());
        if (state.commit_index() != state.last_index())
            return false;
        const auto votes = [&state](const Host& host) {
            return std::any_of(state.members().begin(), state.members().end(),
                [&host](const auto& member) { return member.voter() && member.identity() == host.member->identity; });
        };
        return std::all_of(
            m_hosts.begin(), m_hosts.end(), [&votes](const Host& host) { return host.isRemoved != votes(host); });
    }

    std::size_t hostCount() const { return m_hosts.size(); }
    TestMember& member(std::size_t number) { return *m_hosts[number].member; }
    bool isRemoved(std::size_t number) const { return m_hosts[number].isRemoved; }

    TestQuorum quorum;

private:
    struct Host {
        TestMember* member = nullptr;
        std::string endpoint;
        bool isRemoved = false;
        TimePoint startAt = noDeadline;
        /// When this host last heard the others.
        std::map<std::string, TimePoint> lastHeard;
        std::map<std::string, std::string> endpointOf;
        MemberPolicy policy;
        std::optional<schema::Change> pendingChange;
        std::uint64_t token = 0;
    };

    void addHost(TestMember& member)
    {
        Host host;
        host.member = &member;
        host.endpoint = "127.0.0.1:" + std::to_string(1000 + m_hosts.size());
        m_hosts.push_back(std::move(host));
    }

    void startDueHosts()
    {
        for (Host& host : m_hosts) {
            if (host.startAt > quorum.clock.now())
                continue;
            host.startAt = noDeadline;
            host.lastHeard.clear();
            host.policy.reset();
            host.pendingChange.reset();
            host.member->start();
        }
    }

    void updateContacts()
    {
        for (Host& host : m_hosts) {
            for (const Host& other : m_hosts) {
                if (!host.member->log || !other.member->log
                    || !quorum.areConnected(host.member->identity, other.member->identity))
                    continue;
                host.lastHeard[other.member->identity] = quorum.clock.now();
                host.endpointOf[other.member->identity] = other.endpoint;
            }
        }
    }

    std::vector<AnnouncedControlHost> announcedTo(const Host& host) const
    {
        std::vector<AnnouncedControlHost> announced;
        for (const auto& [identity, heard] : host.lastHeard) {
            const std::string& endpoint = host.endpointOf.at(identity);
            announced.push_back({ identity, identity, endpoint, "z", quorum.clock.now() - heard });
        }
        return announced;
    }

    /// @return whether the last proposal of the host has no answer yet.
    bool isChangePending(Host& host) const
    {
        if (!host.pendingChange)
            return false;
        const auto answer = host.member->answers.find(host.token);
        if (answer == host.member->answers.end())
            return true;
        if (answer->second.outcome() != schema::OUTCOME_ACCEPTED)
            host.policy.handleRefusal(*host.pendingChange, quorum.clock.now());
        host.pendingChange.reset();
        return false;
    }

    void changeMembers(Host& host)
    {
        const TimePoint now = quorum.clock.now();
        const QuorumLog* log = host.member->log.get();
        if (!log || !log->isLeaseValid(now)) {
            host.policy.reset();
            host.pendingChange.reset();
            return;
        }
        if (isChangePending(host))
            return;
        const auto proposal
            = host.policy.advance(log->members(), announcedTo(host), host.member->identity, now, log->lostVoters());
        if (!proposal)
            return;
        schema::Command command;
        command.set_request_id("member-" + std::to_string(++m_memberChanges));
        *command.add_changes() = proposal->change;
        host.pendingChange = proposal->change;
        host.token = quorum.submit(*host.member, command);
    }

    std::vector<Host> m_hosts;
    TimePoint m_nextPolicyStep {};
    int m_acceptedChanges = 0;
    std::uint64_t m_memberChanges = 0;
};

}
