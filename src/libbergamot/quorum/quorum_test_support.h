#pragma once

/// @file
/// Test fixture that runs several quorum logs with a manual clock, a lossy network and simulated disks that lose
/// unsynced writes in a crash.

#include "bergamotroute/quorum_log.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace bergamotroute::test {

inline schema::Command makeCommand(const std::string& requestId, const std::string& address)
{
    schema::Command command;
    command.set_request_id(requestId);
    schema::BackendOverride& backend = *command.add_changes()->mutable_set_backend();
    backend.set_service("ordering");
    backend.set_address(address);
    backend.set_weight_percent(50);
    return command;
}

inline schema::Snapshot initialSnapshot(std::size_t count)
{
    schema::Snapshot snapshot;
    snapshot.set_last_index(1);
    snapshot.set_last_term(1);
    schema::Configuration& configuration = *snapshot.mutable_configuration();
    configuration.set_revision(1);
    configuration.set_term(1);
    configuration.set_flow_hash_key(7);
    configuration.add_services()->set_name("ordering");
    for (std::size_t i = 0; i < count; ++i) {
        schema::ControlMember& member = *configuration.add_control_members();
        member.set_identity("m" + std::to_string(i));
        member.set_host("host" + std::to_string(i));
        member.set_rpc_endpoint("127.0.0.1:" + std::to_string(1000 + i));
        member.set_voter(true);
    }
    return snapshot;
}

/// One quorum member with its simulated disk.
class TestMember final : public QuorumSink {
public:
    TestMember(std::string memberIdentity, const ManualClock& memberClock, std::uint64_t memberSeed)
        : identity(std::move(memberIdentity))
        , clock(memberClock)
        , seed(memberSeed)
    {
    }

    void start()
    {
        QuorumOptions options;
        options.identity = identity;
        options.host = identity;
        options.snapshotEntries = 20;
        options.seed = ++seed;
        pendingPersists.clear();
        lastRevision = 0;
        log = std::make_unique<QuorumLog>(options, disk, *this, clock.now());
    }

    /// Ends the process; unsynced writes are lost.
    void crash()
    {
        log.reset();
        pendingPersists.clear();
    }

    /// Ends the process and empties its disk; the next start has another identity at the same address.
    void loseDisk()
    {
        crash();
        formerIdentities.insert(identity);
        identity += '\'';
        disk = {};
    }

    /// Completes all pending persist requests.
    /// @param succeeded false reports that they failed and writes nothing.
    void sync(bool succeeded = true)
    {
        while (log && !pendingPersists.empty()) {
            const PersistRequest request = std::move(pendingPersists.front());
            pendingPersists.pop_front();
            if (succeeded)
                write(request);
            log->handlePersisted(request.id, succeeded, clock.now());
        }
    }

    void persist(const PersistRequest& request) override { pendingPersists.push_back(request); }
    void send(const schema::ControlMessage& message) override { outbox.push_back(message); }
    void answer(std::uint64_t token, const schema::CommandResult& result) override { answers[token] = result; }
    void configurationChanged(const schema::Configuration& configuration) override
    {
        revisionDecreased = revisionDecreased || configuration.revision() < lastRevision;
        lastRevision = configuration.revision();
    }
    void logEvent(ResultCode code, std::string_view) override { events.push_back(code); }

    std::string identity;
    /// Identities that the host had before it lost its disk.
    std::set<std::string> formerIdentities;
    const ManualClock& clock;
    std::uint64_t seed;
    StoredLog disk;
    std::unique_ptr<QuorumLog> log;
    std::deque<PersistRequest> pendingPersists;
    std::vector<schema::ControlMessage> outbox;
    std::map<std::uint64_t, schema::CommandResult> answers;
    std::vector<ResultCode> events;
    /// Latest revision that the current process has reported.
    std::uint64_t lastRevision = 0;
    bool revisionDecreased = false;

private:
    void write(const PersistRequest& request)
    {
        if (request.hardState)
            disk.hardState = *request.hardState;
        if (request.snapshot) {
            disk.snapshot = request.snapshot;
            disk.baseIndex = request.baseIndex;
            disk.baseTerm = request.baseTerm;
            disk.entries.clear();
        }
        for (const schema::LogEntry& entry : request.entries) {
            while (!disk.entries.empty() && disk.entries.back().index() >= entry.index())
                disk.entries.pop_back();
            disk.entries.push_back(entry);
        }
    }
};

/// A quorum of members and the network between them.
class TestQuorum {
public:
    TestQuorum(std::size_t count, std::uint64_t seed)
        : random(seed)
    {
        for (std::size_t i = 0; i < count; ++i)
            add("m" + std::to_string(i));
        members[0]->log->bootstrap(initialSnapshot(count), clock.now());
    }

    TestMember& add(const std::string& identity)
    {
        members.push_back(std::make_unique<TestMember>(identity, clock, random()));
        members.back()->start();
        return *members.back();
    }

    /// Advances the clock by one step, syncs disks at random as set by syncPercent, and delivers messages.
    void step()
    {
        clock.advance(stepDuration);
        for (const auto& member : members) {
            if (member->log && member->log->nextDeadline() <= clock.now())
                member->log->advance(clock.now());
            if (random() % 100 < syncPercent)
                member->sync();
            collect(*member);
        }
        deliver();
    }

    void run(Duration time)
    {
        for (const TimePoint end = clock.now() + time; clock.now() < end;)
            step();
    }

    TestMember* leader()
    {
        for (const auto& member : members) {
            if (member->log && member->log->isLeaseValid(clock.now()))
                return member.get();
        }
        return nullptr;
    }

    std::size_t leaseCount() const
    {
        return static_cast<std::size_t>(std::count_if(members.begin(), members.end(),
            [this](const auto& member) { return member->log && member->log->isLeaseValid(clock.now()); }));
    }

    /// Submits a command to a member without waiting.
    /// @return the token under which the member stores the result in answers.
    std::uint64_t submit(TestMember& member, const schema::Command& body)
    {
        const std::uint64_t token = ++lastToken;
        member.log->handleCommand(token, body, clock.now(), clock.wallMilliseconds());
        return token;
    }

    /// Submits a command to the leader until the outcome is known.
    /// @return the result, or an empty one after 100 attempts.
    schema::CommandResult submitToLeader(const schema::Command& body)
    {
        for (int attempt = 0; attempt < 100; ++attempt) {
            run(Duration(100));
            TestMember* target = leader();
            if (!target)
                continue;
            const std::uint64_t token = submit(*target, body);
            run(Duration(500));
            const auto found = target->answers.find(token);
            if (found != target->answers.end() && found->second.outcome() != schema::OUTCOME_UNKNOWN)
                return found->second;
        }
        return {};
    }

    void isolate(const std::string& identity) { m_isolated.insert(identity); }
    void heal() { m_isolated.clear(); }
    bool areConnected(const std::string& first, const std::string& second) const
    {
        return m_isolated.contains(first) == m_isolated.contains(second);
    }

    static constexpr Duration stepDuration { 10 };
    ManualClock clock;
    std::mt19937_64 random;
    std::vector<std::unique_ptr<TestMember>> members;
    std::uint64_t lastToken = 0;
    unsigned lossPercent = 0;
    unsigned duplicatePercent = 0;
    /// Probability that a member syncs its disk in a step.
    unsigned syncPercent = 100;
    /// Maximum message delay, in steps.
    unsigned maxDelaySteps = 1;

private:
    struct QueuedMessage {
        TimePoint due;
        schema::ControlMessage message;
    };

    void collect(TestMember& member)
    {
        for (const schema::ControlMessage& message : member.outbox) {
            const unsigned copies = random() % 100 < duplicatePercent ? 2 : 1;
            for (unsigned copy = 0; copy < copies; ++copy) {
                const auto delay = stepDuration * static_cast<Duration::rep>(random() % (maxDelaySteps + 1));
                if (random() % 100 >= lossPercent)
                    m_network.push_back({ clock.now() + delay, message });
            }
        }
        member.outbox.clear();
    }

    void deliver()
    {
        std::vector<QueuedMessage> waiting;
        std::swap(waiting, m_network);
        for (const QueuedMessage& item : waiting) {
            if (item.due > clock.now()) {
                m_network.push_back(item);
                continue;
            }
            for (const auto& member : members)
                deliver(item.message, *member);
        }
    }

    void deliver(const schema::ControlMessage& message, TestMember& receiver)
    {
        if (!receiver.log || !areConnected(message.from(), receiver.identity))
            return;
        if (receiver.identity == message.to())
            receiver.log->handleMessage(message, clock.now());
        if (!receiver.formerIdentities.contains(message.to()))
            return;
        for (const auto& sender : members) {
            if (sender->log && sender->identity == message.from())
                sender->log->handleLostVoter(message.to(), clock.now());
        }
    }

    std::set<std::string> m_isolated;
    std::vector<QueuedMessage> m_network;
};

}
