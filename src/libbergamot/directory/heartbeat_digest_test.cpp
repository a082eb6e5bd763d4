/// @file
/// Guards against targets that other control hosts lose, revive or judge wrongly because a heartbeat travels in short
/// form, and against short forms that save too little.

#include "bergamotroute/heartbeat_digest.h"

#include <doctest/doctest.h>

#include <deque>
#include <memory>
#include <random>

using namespace bergamotroute;

namespace {

constexpr auto ready = schema::TARGET_READY;
constexpr auto draining = schema::TARGET_DRAINING;

schema::TargetRecord makeHeartbeat(
    unsigned number, std::uint64_t sequence, schema::TargetPhase phase = ready, std::uint64_t start = 1'700'000'000'000)
{
    schema::TargetRecord record;
    record.set_id(std::to_string(2'000'000'000 + number));
    record.set_service("orders");
    record.set_endpoint("10.20." + std::to_string(number / 250) + '.' + std::to_string(number % 250) + ":8080");
    record.set_data_centre("centre-2");
    record.set_slots(24);
    record.set_phase(phase);
    record.set_born_ms(start);
    record.set_sequence(sequence);
    record.set_software_version("1.14.2");
    return record;
}

struct Host {
    TargetRegistry registry { RegistryOptions {} };
    HeartbeatDigestCounters counters;
    std::map<std::size_t, HeartbeatDigest> digests;
};

struct Network {
    ManualClock clock;
    std::vector<std::unique_ptr<Host>> hosts;
    std::set<std::size_t> oldHosts;
    std::uint64_t lastEpoch = 0;
    std::size_t bytes = 0;

    explicit Network(std::size_t size)
        : hosts(size)
    {
        for (std::size_t i = 0; i < size; ++i)
            restart(i);
    }

    void restart(std::size_t host)
    {
        hosts[host] = std::make_unique<Host>();
        ++lastEpoch;
        for (std::size_t peer = 0; peer < hosts.size(); ++peer)
            hosts[host]->digests.try_emplace(
                peer, HeartbeatDigest(hosts[host]->registry, lastEpoch, hosts[host]->counters));
        // Leaves that name no incarnation end targets here too.
        hosts[host]->registry.setContact(ControlContact::All);
    }

    void heartbeat(std::size_t host, const schema::TargetRecord& record)
    {
        hosts[host]->registry.merge(record, true, clock.now());
    }

    /// @param start incarnation that the call names; zero for none.
    void leave(std::size_t host, unsigned number, std::uint64_t start = 0)
    {
        hosts[host]->registry.leave(makeHeartbeat(number, 0).id(), start, clock.now());
    }

    schema::DirectoryExchange send(std::size_t from, std::size_t to)
    {
        schema::DirectoryExchange message;
        hosts[from]->digests.at(to).fill(message, clock.now());
        if (oldHosts.contains(from) || oldHosts.contains(to)) {
            // The version before neither writes nor reads these fields.
            for (schema::TargetRecord& record : *message.mutable_targets())
                record.clear_refresh_key();
            for (int field = 9; field <= 14; ++field)
                message.GetReflection()->ClearField(&message, message.GetDescriptor()->FindFieldByNumber(field));
        }
        bytes += message.ByteSizeLong();
        return message;
    }

    void deliver(const schema::DirectoryExchange& message, std::size_t from, std::size_t to)
    {
        hosts[to]->digests.at(from).apply(message, clock.now());
    }

    void exchange(std::size_t left, std::size_t right)
    {
        deliver(send(left, right), left, right);
        deliver(send(right, left), right, left);
    }

    void exchangeAll()
    {
        for (std::size_t pair = 0; pair < hosts.size() * hosts.size(); ++pair) {
            if (pair / hosts.size() != pair % hosts.size())
                exchange(pair / hosts.size(), pair % hosts.size());
        }
    }

    void advance(unsigned time)
    {
        clock.advance(Duration(time));
        for (const auto& host : hosts)
            host->registry.advance(clock.now());
    }

    const RegisteredTarget& at(std::size_t host, unsigned number)
    {
        const RegisteredTarget* target = hosts[host]->registry.find(makeHeartbeat(number, 0).id());
        REQUIRE(target != nullptr);
        return *target;
    }
};

/// Two hosts; target 1 has sent a heartbeat to host 0, and host 1 has acknowledged it.
struct Pair : Network {
    Pair()
        : Network(2)
    {
        heartbeat(0, makeHeartbeat(1, 10));
        exchange(0, 1);
        exchange(0, 1);
    }
};

/// @return bytes that 6 hosts exchange in 12 s for 3,000 targets with a heartbeat every 1.2 s, after a start of 6 s.
std::size_t bytesInSteadyState(const std::set<std::size_t>& oldHosts)
{
    Network network(6);
    network.oldHosts = oldHosts;
    for (unsigned step = 0; step < 180; ++step) {
        if (step == 60)
            network.bytes = 0;
        // Sequence numbers after some hours; they grow longer.
        for (unsigned i = step % 12; i < 3000; i += 12)
            network.heartbeat(i / 12 % 6, makeHeartbeat(i, 20'000 + step / 12));
        network.advance(100);
        if (step % 5 == 4)
            network.exchangeAll();
    }
    for (const auto& host : network.hosts) {
        CHECK(host->registry.records().size() == 3000);
        CHECK(host->counters.refreshesIgnored == 0);
        for (const auto& [id, target] : host->registry.records())
            REQUIRE_FALSE(target.silent);
    }
    return network.bytes;
}

}

TEST_CASE("heartbeats in steady state take at most a tenth of the bytes of whole records, and no target turns silent")
{
    CHECK(bytesInSteadyState({}) * 10 <= bytesInSteadyState({ 0, 1, 2, 3, 4, 5 }));
}

TEST_CASE_FIXTURE(Pair, "changed content travels whole until it is acknowledged, also if its message is lost")
{
    schema::TargetRecord record = makeHeartbeat(1, 11);
    record.set_cold_left_ms(5000);
    heartbeat(0, record);
    send(0, 1);
    record.set_sequence(12);
    heartbeat(0, record);
    CHECK(send(0, 1).targets_size() == 1);
    exchange(0, 1);
    CHECK(at(1, 1).slowStartUntil == clock.now() + Duration(5000));
    record.set_sequence(13);
    record.set_software_version("1.15.0");
    heartbeat(0, record);
    exchange(0, 1);
    CHECK(at(1, 1).record.software_version() == "1.15.0");
    record.set_sequence(14);
    heartbeat(0, record);
    CHECK(send(0, 1).targets_size() == 0);
}

TEST_CASE_FIXTURE(Pair, "a refresh from before a restart of the target does not reach the new incarnation")
{
    heartbeat(0, makeHeartbeat(1, 500));
    const schema::DirectoryExchange late = send(0, 1);
    REQUIRE(late.refresh_keys_size() == 1);
    heartbeat(0, makeHeartbeat(1, 1, ready, 1'800'000'000'000));
    exchange(0, 1);
    deliver(late, 0, 1);
    CHECK(at(1, 1).record.sequence() == 1);
    CHECK(hosts[1]->counters.refreshesIgnored == 1);
}

TEST_CASE_FIXTURE(Pair, "a restarted peer does not acknowledge a message that was made for its predecessor")
{
    heartbeat(0, makeHeartbeat(2, 1));
    const schema::DirectoryExchange early = send(0, 1);
    restart(1);
    deliver(early, 0, 1);
    exchange(1, 0);
    CHECK(at(1, 1).record.sequence() == 10);
}

TEST_CASE_FIXTURE(Pair, "keys of a restarted sender are not taken for those of its predecessor")
{
    restart(0);
    heartbeat(0, makeHeartbeat(7, 99));
    exchange(0, 1);
    CHECK(at(0, 7).refreshKey == 1);
    heartbeat(0, makeHeartbeat(7, 100));
    exchange(0, 1);
    CHECK(at(1, 1).record.sequence() == 10);
    CHECK(at(1, 7).record.sequence() == 100);
}

TEST_CASE_FIXTURE(Pair, "a refresh of an unknown target is answered by its whole record; a key is not used again")
{
    const std::uint32_t key = at(0, 1).refreshKey;
    for (unsigned i = 1; i <= 2; ++i)
        hosts[1]->registry.advance(clock.now() + i * Duration(120'000));
    REQUIRE(hosts[1]->registry.records().empty());
    heartbeat(0, makeHeartbeat(1, 11));
    exchange(0, 1);
    CHECK(hosts[1]->counters.refreshesIgnored == 1);
    exchange(0, 1);
    CHECK(at(1, 1).record.sequence() == 11);
    advance(120'000);
    advance(120'000);
    REQUIRE(hosts[0]->registry.records().empty());
    heartbeat(0, makeHeartbeat(2, 1));
    CHECK(at(0, 2).refreshKey > key);
}

TEST_CASE_FIXTURE(Pair, "a peer that now runs the version before gets whole records and loses nothing")
{
    restart(1);
    oldHosts = { 1 };
    exchange(0, 1);
    for (std::uint64_t sequence = 11; sequence < 15; ++sequence) {
        heartbeat(0, makeHeartbeat(1, sequence));
        heartbeat(1, makeHeartbeat(2, sequence));
        exchange(0, 1);
        CHECK(at(1, 1).record.sequence() == sequence);
        CHECK(at(0, 2).record.sequence() == sequence);
    }
}

TEST_CASE_FIXTURE(Pair, "silence is found at most 64 ms late and never early")
{
    heartbeat(0, makeHeartbeat(1, 11));
    advance(127);
    exchange(0, 1);
    advance(3872);
    CHECK_FALSE(at(1, 1).silent);
    advance(65);
    CHECK(at(1, 1).silent);
}

TEST_CASE_FIXTURE(Pair, "a host that was cut off hears a target again by a refresh")
{
    for (std::uint64_t sequence = 11; sequence < 15; ++sequence) {
        advance(1200);
        heartbeat(0, makeHeartbeat(1, sequence));
        send(0, 1);
    }
    CHECK_FALSE(at(0, 1).silent);
    CHECK(at(1, 1).silent);
    exchange(0, 1);
    CHECK(hosts[0]->counters.recordsSent == 1);
    CHECK_FALSE(at(1, 1).silent);
    CHECK(at(1, 1).record.sequence() == 14);
}

TEST_CASE_FIXTURE(
    Pair, "a refresh neither undoes a drain or leave that only the receiver knows, nor hides a later state")
{
    heartbeat(0, makeHeartbeat(1, 11));
    const schema::DirectoryExchange late = send(0, 1);
    heartbeat(1, makeHeartbeat(1, 12, draining));
    deliver(late, 0, 1);
    CHECK(at(1, 1).record.phase() == draining);
    // Ready again, by a heartbeat to the host that does not know of the drain.
    heartbeat(0, makeHeartbeat(1, 13));
    deliver(send(0, 1), 0, 1);
    exchange(1, 0);
    CHECK(at(1, 1).record.phase() == ready);
    leave(1, 1, makeHeartbeat(1, 0).born_ms());
    heartbeat(0, makeHeartbeat(1, 14));
    exchange(0, 1);
    for (const std::size_t host : { 0, 1 })
        CHECK(at(host, 1).record.phase() == schema::TARGET_GONE);
}

TEST_CASE("hosts agree after lost, late and repeated messages, restarts, drains and leaves")
{
    for (unsigned seed = 1; seed <= 40; ++seed) {
        CAPTURE(seed);
        std::mt19937 random(seed);
        const auto below = [&random](std::size_t limit) { return static_cast<unsigned>(random() % limit); };
        Network network(3);
        std::vector<std::uint64_t> starts(8, 1);
        std::deque<std::tuple<schema::DirectoryExchange, std::size_t, std::size_t>> messages;
        for (unsigned step = 1; step <= 2000; ++step) {
            const unsigned number = below(8);
            starts[number] += below(40) == 0 ? 1 : 0;
            network.heartbeat(below(3), makeHeartbeat(number, step, below(5) == 0 ? draining : ready, starts[number]));
            if (below(60) == 0)
                network.leave(below(3), number);
            const std::size_t from = below(3);
            const std::size_t to = (from + 1 + below(2)) % 3;
            messages.emplace_front(network.send(from, to), from, to);
            messages.resize(std::min<std::size_t>(messages.size(), 4));
            if (below(3) > 0)
                std::apply([&](auto&... message) { network.deliver(message...); }, messages[below(messages.size())]);
            if (below(400) == 0)
                network.restart(below(3));
            network.advance(below(50));
        }
        for (unsigned round = 0; round < 5; ++round)
            network.exchangeAll();
        for (const auto& [id, target] : network.hosts[0]->registry.records()) {
            for (const std::size_t host : { 1, 2 }) {
                const RegisteredTarget* other = network.hosts[host]->registry.find(id);
                REQUIRE(other != nullptr);
                CHECK(hasSameContent(other->record, target.record));
                CHECK(other->record.sequence() == target.record.sequence());
            }
        }
    }
}
