/// @file
/// Guards against targets that reappear after they are gone or leave the draining state, because of late, duplicated or
/// reordered heartbeats, reused addresses, or restarts under the same id.

#include "bergamotroute/target_registry.h"

#include <doctest/doctest.h>

using namespace bergamotroute;

namespace {

schema::TargetRecord makeHeartbeat(const std::string& id, std::uint64_t startTimeMs, std::uint64_t sequence,
    schema::TargetPhase phase = schema::TARGET_READY, const std::string& endpoint = "10.0.0.1:80")
{
    schema::TargetRecord record;
    record.set_id(id);
    record.set_service("orders");
    record.set_endpoint(endpoint);
    record.set_slots(2);
    record.set_phase(phase);
    record.set_born_ms(startTimeMs);
    record.set_sequence(sequence);
    return record;
}

schema::TargetPhase phaseOf(const TargetRegistry& registry, const std::string& id)
{
    const RegisteredTarget* target = registry.find(id);
    REQUIRE(target != nullptr);
    return target->record.phase();
}

struct Fixture {
    ManualClock clock;
    TargetRegistry registry { RegistryOptions {} };

    TargetEvent merge(const schema::TargetRecord& record) { return registry.merge(record, true, clock.now()); }

    void advance(Duration time)
    {
        clock.advance(time);
        registry.advance(clock.now());
    }
};

}

TEST_CASE_FIXTURE(Fixture, "a late heartbeat in state ready does not undo an acknowledged drain")
{
    CHECK(merge(makeHeartbeat("i-1", 100, 1)) == TargetEvent::Found);
    CHECK(merge(makeHeartbeat("i-1", 100, 3, schema::TARGET_DRAINING)) == TargetEvent::Draining);
    CHECK(merge(makeHeartbeat("i-1", 100, 2)) == TargetEvent::Ignored);
    CHECK(phaseOf(registry, "i-1") == schema::TARGET_DRAINING);
}

TEST_CASE_FIXTURE(Fixture,
    "a target that is gone is not brought back by a heartbeat of that incarnation, only by a later incarnation")
{
    merge(makeHeartbeat("i-1", 100, 1));
    CHECK(registry.leave("i-1", 100, clock.now()) == TargetEvent::Gone);
    CHECK(merge(makeHeartbeat("i-1", 100, 99)) == TargetEvent::Ignored);
    CHECK(phaseOf(registry, "i-1") == schema::TARGET_GONE);
    // The sequence numbers of a target that restarts under the same id start again at 1.
    CHECK(merge(makeHeartbeat("i-1", 200, 1)) == TargetEvent::Found);
    CHECK(phaseOf(registry, "i-1") == schema::TARGET_READY);
    CHECK(registry.leave("i-1", 100, clock.now()) == TargetEvent::Ignored);
}

TEST_CASE_FIXTURE(Fixture,
    "a target without heartbeats is superseded by one with a later start at its address, in either order of arrival")
{
    merge(makeHeartbeat("i-1", 100, 1));
    advance(Duration(4000));
    CHECK(merge(makeHeartbeat("i-2", 200, 1)) == TargetEvent::Found);
    CHECK(phaseOf(registry, "i-1") == schema::TARGET_GONE);
    // A heartbeat that was delayed until after the end of its sender.
    CHECK(merge(makeHeartbeat("i-0", 50, 7)) == TargetEvent::Draining);
    advance(Duration(4000));
    CHECK(phaseOf(registry, "i-0") == schema::TARGET_GONE);
    CHECK(phaseOf(registry, "i-2") == schema::TARGET_READY);
    schema::TargetRecord reported = makeHeartbeat("i-3", 60, 7);
    reported.set_age_ms(4000);
    CHECK(registry.merge(reported, false, clock.now()) == TargetEvent::Gone);
}

TEST_CASE_FIXTURE(Fixture, "a target that starts at the address of one that has just crashed supersedes it in time")
{
    merge(makeHeartbeat("i-1", 100, 1));
    advance(Duration(200));
    merge(makeHeartbeat("i-2", 200, 1));
    advance(Duration(3799));
    CHECK(phaseOf(registry, "i-1") == schema::TARGET_READY);
    advance(Duration(1));
    CHECK(phaseOf(registry, "i-1") == schema::TARGET_GONE);
}

TEST_CASE_FIXTURE(Fixture, "another writer that names the address of a running target does not end it")
{
    // Guards against flows that are reset because one entry names their target's address, with a later start.
    TargetRegistry other { RegistryOptions {} };
    merge(makeHeartbeat("i-1", 100, 1));
    CHECK(merge(makeHeartbeat("x-1", 200, 1)) == TargetEvent::Found);
    for (std::uint64_t sequence = 2; sequence < 12; ++sequence) {
        advance(Duration(1000));
        merge(makeHeartbeat("i-1", 100, sequence));
        CHECK(phaseOf(registry, "i-1") == schema::TARGET_READY);
        for (const schema::TargetRecord& record : registry.changesSince(0, clock.now()))
            other.merge(record, false, clock.now());
        CHECK(phaseOf(other, "i-1") == schema::TARGET_READY);
    }
}

TEST_CASE_FIXTURE(
    Fixture, "a host that first hears of the other writer learns with two heartbeats that the target runs")
{
    merge(makeHeartbeat("x-1", 200, 1));
    CHECK(merge(makeHeartbeat("i-1", 100, 5)) == TargetEvent::Draining);
    advance(Duration(1000));
    CHECK(merge(makeHeartbeat("i-1", 100, 6)) == TargetEvent::Updated);
    CHECK(phaseOf(registry, "i-1") == schema::TARGET_READY);
}

TEST_CASE_FIXTURE(Fixture, "a service that the document does not name takes over neither an address nor an id")
{
    const auto makeForeign = [](const char* id, std::uint64_t startTimeMs) {
        schema::TargetRecord record = makeHeartbeat(id, startTimeMs, 1);
        record.set_service("unnamed");
        return record;
    };
    registry.setServices({ "orders" });
    merge(makeHeartbeat("i-1", 100, 1));
    merge(makeForeign("x-1", 200));
    CHECK(merge(makeForeign("i-1", 300)) == TargetEvent::Ignored);
    CHECK(registry.foreignRecords() == 1);
    advance(Duration(6000));
    CHECK(phaseOf(registry, "i-1") == schema::TARGET_READY);
    CHECK(registry.find("i-1")->record.service() == "orders");
    // A host that had no document yet when the other writer came.
    TargetRegistry started { RegistryOptions {} };
    started.merge(makeForeign("i-1", 300), true, clock.now());
    started.setServices({ "orders" });
    CHECK(started.merge(makeHeartbeat("i-1", 100, 2), true, clock.now()) == TargetEvent::Found);
    CHECK(started.find("i-1")->record.service() == "orders");
}

// Guards against a record of another writer that takes cookies, numbers or counts from targets in use.
TEST_CASE_FIXTURE(Fixture, "a target of a service that no document names is kept apart until one names it")
{
    std::vector<TargetEvent> events;
    registry.setObserver([&events](const RegisteredTarget&, TargetEvent event) { events.push_back(event); });
    registry.setServices({ "orders" });
    merge(makeHeartbeat("i-1", 100, 1));
    const std::uint64_t digest = registry.digest(clock.now());
    const std::uint64_t lastEvent = registry.lastEvent();
    const auto makeUnnamed = [](std::uint64_t sequence, schema::TargetPhase phase) {
        schema::TargetRecord record = makeHeartbeat("vm-1", 0, sequence, phase, "10.0.0.9:80");
        record.set_service("later");
        return record;
    };
    CHECK(merge(makeUnnamed(1, schema::TARGET_READY)) == TargetEvent::Unnamed);
    CHECK(merge(makeUnnamed(2, schema::TARGET_READY)) == TargetEvent::Refreshed);
    CHECK(merge(makeUnnamed(3, schema::TARGET_DRAINING)) == TargetEvent::Unnamed);
    CHECK(registry.targetCount() == 1);
    CHECK(registry.unnamedCount() == 1);
    CHECK(registry.digest(clock.now()) == digest);
    CHECK(registry.lastEvent() == lastEvent);
    CHECK(registry.eventsSince(0, clock.now()).size() == 1);
    std::size_t visited = 0;
    registry.visitTargets([&visited](const RegisteredTarget&) { ++visited; });
    CHECK(visited == 1);
    registry.setServices({ "orders", "later" });
    CHECK(events.back() == TargetEvent::Draining);
    CHECK(registry.targetCount() == 2);
    CHECK(registry.unnamedCount() == 0);
    CHECK(registry.eventsSince(lastEvent, clock.now()).size() == 1);
}

// Guards against open flows that lose their target when a document leaves its service out, and against another writer
// that takes the id or address over then.
TEST_CASE_FIXTURE(Fixture, "a target stays in use when a later document does not name its service")
{
    registry.setServices({ "orders" });
    merge(makeHeartbeat("i-1", 100, 1));
    registry.setServices({ "others" });
    CHECK(registry.targetCount() == 1);
    CHECK(merge(makeHeartbeat("i-1", 100, 2, schema::TARGET_DRAINING)) == TargetEvent::Draining);
    schema::TargetRecord foreign = makeHeartbeat("i-1", 300, 1);
    foreign.set_service("unnamed");
    CHECK(merge(foreign) == TargetEvent::Ignored);
    foreign.set_id("x-1");
    merge(foreign);
    advance(Duration(6000));
    CHECK(phaseOf(registry, "i-1") == schema::TARGET_DRAINING);
    CHECK(registry.find("i-1")->record.service() == "orders");
    // A host that knows only the later document learns from the others that the target is in use.
    TargetRegistry started { RegistryOptions {} };
    started.setServices({ "others" });
    started.merge(makeHeartbeat("i-1", 100, 2), true, clock.now());
    REQUIRE(started.targetCount() == 0);
    started.merge(makeTargetRecord(*registry.find("i-1"), clock.now()), false, clock.now());
    CHECK(started.targetCount() == 1);
    CHECK(started.eventsSince(0, clock.now()).size() == 1);
}

TEST_CASE_FIXTURE(Fixture, "a target of a service that no document names is removed like any other")
{
    registry.setServices({ "others" });
    merge(makeHeartbeat("i-1", 100, 1));
    for (int round = 0; round < 2; ++round)
        advance(Duration(600'000));
    CHECK(registry.records().empty());
    CHECK(registry.unnamedCount() == 0);
}

TEST_CASE("a copy takes departures from the records only")
{
    const ManualClock clock;
    TargetRegistry copy { RegistryOptions { .silenceFromRecords = true } };
    schema::TargetRecord record = makeHeartbeat("i-1", 100, 1);
    record.set_age_ms(6000);
    copy.merge(makeHeartbeat("x-1", 200, 1), false, clock.now());
    CHECK(copy.merge(record, false, clock.now()) == TargetEvent::Found);
    record.set_phase(schema::TARGET_GONE);
    CHECK(copy.merge(record, false, clock.now()) == TargetEvent::Gone);
}

TEST_CASE_FIXTURE(Fixture, "a target is not superseded at an address that it or a removed target no longer uses")
{
    merge(makeHeartbeat("i-1", 100, 1));
    schema::TargetRecord moved = makeHeartbeat("i-1", 100, 2);
    moved.set_endpoint("10.0.0.9:80");
    CHECK(merge(moved) == TargetEvent::Updated);
    merge(makeHeartbeat("i-2", 200, 1));
    CHECK(phaseOf(registry, "i-1") == schema::TARGET_READY);
    registry.leave("i-2", 200, clock.now());
    // A target without heartbeats counts as gone first and is removed after the same time again.
    for (int round = 0; round < 2; ++round) {
        clock.advance(Duration(600'000));
        registry.advance(clock.now());
    }
    REQUIRE(registry.records().empty());
    CHECK(merge(makeHeartbeat("i-3", 50, 1)) == TargetEvent::Found);
}

TEST_CASE_FIXTURE(Fixture, "two registries agree if they receive the same records in different order")
{
    TargetRegistry other { RegistryOptions {} };
    const std::vector<schema::TargetRecord> records { makeHeartbeat("i-1", 100, 1),
        makeHeartbeat("i-1", 100, 2, schema::TARGET_DRAINING), makeHeartbeat("i-2", 300, 1),
        makeHeartbeat("i-1", 100, 3) };
    for (const schema::TargetRecord& record : records)
        merge(record);
    for (auto record = records.rbegin(); record != records.rend(); ++record)
        other.merge(*record, false, clock.now());
    for (const Duration time : { Duration(0), Duration(4000) }) {
        advance(time);
        other.advance(clock.now());
        for (const char* id : { "i-1", "i-2" })
            CHECK(phaseOf(registry, id) == phaseOf(other, id));
    }
    CHECK(phaseOf(registry, "i-1") == schema::TARGET_GONE);
}

TEST_CASE_FIXTURE(Fixture, "a target without heartbeats becomes silent until its next heartbeat")
{
    merge(makeHeartbeat("i-1", 100, 1));
    const std::uint64_t before = registry.lastEvent();
    clock.advance(Duration(3999));
    registry.advance(clock.now());
    CHECK(registry.lastEvent() == before);
    clock.advance(Duration(1));
    registry.advance(clock.now());
    CHECK(registry.find("i-1")->silent);
    REQUIRE(registry.eventsSince(before, clock.now()).size() == 1);
    CHECK(registry.eventsSince(before, clock.now())[0].silent());
    CHECK(merge(makeHeartbeat("i-1", 100, 2)) == TargetEvent::Heard);
    CHECK_FALSE(registry.find("i-1")->silent);
}

TEST_CASE_FIXTURE(Fixture, "a plain heartbeat is a change for control hosts but no event for entry hosts")
{
    merge(makeHeartbeat("i-1", 100, 1));
    const std::uint64_t change = registry.lastChange();
    const std::uint64_t event = registry.lastEvent();
    CHECK(merge(makeHeartbeat("i-1", 100, 2)) == TargetEvent::Refreshed);
    CHECK(registry.changesSince(change, clock.now()).size() == 1);
    CHECK(registry.eventsSince(event, clock.now()).empty());
}

// Guards against entry hosts that take a target for warm because they learn of its first heartbeat only.
TEST_CASE_FIXTURE(
    Fixture, "a heartbeat that states a later end of slow start is an event if a document limits slow start")
{
    const auto heartbeat = [](std::uint64_t sequence, std::uint32_t slowStartLeft) {
        schema::TargetRecord record = makeHeartbeat("i-1", 100, sequence);
        record.set_cold_left_ms(slowStartLeft);
        return record;
    };
    merge(heartbeat(1, 0));
    CHECK(merge(heartbeat(2, 2000)) == TargetEvent::Refreshed);
    registry.setSlowStartEvents(true);
    const std::uint64_t event = registry.lastEvent();
    CHECK(merge(heartbeat(3, 2000)) == TargetEvent::Updated);
    const auto events = registry.eventsSince(event, clock.now());
    REQUIRE(events.size() == 1);
    CHECK(events[0].cold_left_ms() == 2000);
    // Heartbeats are delayed by different times.
    CHECK(merge(heartbeat(4, 2300)) == TargetEvent::Refreshed);
    clock.advance(Duration(1200));
    CHECK(merge(heartbeat(5, 800)) == TargetEvent::Refreshed);
    // The event counts from the end that entry hosts know, so small steps add up.
    CHECK(merge(heartbeat(6, 1101)) == TargetEvent::Updated);
    CHECK(merge(heartbeat(7, 0)) == TargetEvent::Refreshed);
}

TEST_CASE_FIXTURE(Fixture, "a plain heartbeat reported by another host is not propagated again, but an event is")
{
    registry.merge(makeHeartbeat("i-1", 100, 1), false, clock.now());
    const std::uint64_t change = registry.lastChange();
    CHECK(change > 0);
    CHECK(registry.merge(makeHeartbeat("i-1", 100, 2), false, clock.now()) == TargetEvent::Refreshed);
    CHECK(registry.lastChange() == change);
    registry.merge(makeHeartbeat("i-1", 100, 3, schema::TARGET_DRAINING), false, clock.now());
    CHECK(registry.changesSince(change, clock.now()).size() == 1);
}

TEST_CASE("a copy takes silence and its end from the records, whatever the age of the heartbeats")
{
    const ManualClock clock;
    RegistryOptions options;
    options.silenceFromRecords = true;
    TargetRegistry copy(options);
    schema::TargetRecord record = makeHeartbeat("i-1", 100, 5);
    copy.merge(record, false, clock.now());
    record.set_age_ms(5000);
    record.set_silent(true);
    CHECK(copy.merge(record, false, clock.now()) == TargetEvent::Silent);
    CHECK(copy.find("i-1")->silent);
    CHECK(copy.merge(makeHeartbeat("i-1", 100, 6), false, clock.now()) == TargetEvent::Heard);
}

TEST_CASE_FIXTURE(Fixture,
    "a silent target is marked as gone and later removed, but is ready again if a heartbeat arrives before that")
{
    merge(makeHeartbeat("i-1", 100, 1));
    clock.advance(Duration(120'000));
    registry.advance(clock.now());
    CHECK(phaseOf(registry, "i-1") == schema::TARGET_GONE);
    CHECK(merge(makeHeartbeat("i-1", 100, 2)) == TargetEvent::Updated);
    CHECK(phaseOf(registry, "i-1") == schema::TARGET_READY);
    for (int i = 0; i < 2; ++i) {
        clock.advance(Duration(120'000));
        registry.advance(clock.now());
    }
    CHECK(registry.find("i-1") == nullptr);
}

TEST_CASE_FIXTURE(Fixture, "a registry that is read in parts arrives whole, also if targets change between the parts")
{
    for (int i = 0; i < 1000; ++i)
        merge(makeHeartbeat(
            "i-" + std::to_string(i), 100, 1, schema::TARGET_READY, "10.0.0.1:" + std::to_string(1000 + i)));
    TargetRegistry copy { { .silenceFromRecords = true } };
    std::uint64_t event = 0;
    int parts = 0;
    while (event < registry.lastEvent()) {
        const EventBatch batch = registry.nextEvents(event, 300, clock.now());
        CHECK(batch.records.size() <= 300);
        for (const schema::TargetRecord& record : batch.records)
            copy.merge(record, false, clock.now());
        event = batch.lastEvent;
        // A target of the first part and one of the last part change.
        if (++parts == 1) {
            merge(makeHeartbeat("i-0", 100, 2, schema::TARGET_DRAINING, "10.0.0.1:1000"));
            registry.leave("i-999", 100, clock.now());
        }
    }
    CHECK(parts == 4);
    CHECK(copy.records().size() == 1000);
    CHECK(phaseOf(copy, "i-0") == schema::TARGET_DRAINING);
    CHECK(phaseOf(copy, "i-999") == schema::TARGET_GONE);
    CHECK(copy.digest(clock.now()) == registry.digest(clock.now()));
}

TEST_CASE_FIXTURE(Fixture, "only registries with the same targets have the same digest")
{
    TargetRegistry other { RegistryOptions {} };
    const auto isSame = [&] { return registry.digest(clock.now()) == other.digest(clock.now()); };
    CHECK(registry.digest(clock.now()) == 0);
    merge(makeHeartbeat("i-1", 100, 1));
    merge(makeHeartbeat("i-2", 100, 1, schema::TARGET_READY, "10.0.0.2:80"));
    other.merge(makeHeartbeat("i-2", 100, 7, schema::TARGET_READY, "10.0.0.2:80"), true, clock.now());
    CHECK_FALSE(isSame());
    other.merge(makeHeartbeat("i-1", 100, 9), true, clock.now());
    CHECK(isSame());
    merge(makeHeartbeat("i-1", 100, 2, schema::TARGET_DRAINING));
    CHECK_FALSE(isSame());
    other.merge(makeHeartbeat("i-1", 100, 10, schema::TARGET_DRAINING), true, clock.now());
    CHECK(isSame());
    registry.leave("i-2", 100, clock.now());
    CHECK_FALSE(isSame());
    other.leave("i-2", 100, clock.now());
    CHECK(isSame());
    clock.advance(Duration(5000));
    registry.advance(clock.now());
    CHECK_FALSE(isSame());
    other.advance(clock.now());
    CHECK(isSame());
    schema::TargetRecord cold = makeHeartbeat("i-3", 100, 1, schema::TARGET_READY, "10.0.0.3:80");
    cold.set_cold_left_ms(500);
    merge(cold);
    other.merge(cold, true, clock.now());
    CHECK(registry.digest(clock.now()) == 0);
    clock.advance(Duration(600));
    CHECK(registry.digest(clock.now()) != 0);
    CHECK(isSame());
}

TEST_CASE_FIXTURE(Fixture, "a record whose text is no UTF-8 is left out alone, and the others hold")
{
    // Guards against one record, of an earlier version or another writer, that keeps a message or the stored registry
    // from being read.
    schema::SavedDirectory directory;
    for (const char* id : { "i-1", "i-2", "i-3" })
        *directory.add_targets()
            = makeHeartbeat(id, 100, 1, schema::TARGET_READY, "10.0.0." + std::string(id + 2) + ":80");
    directory.mutable_targets(1)->set_software_version("\xff\xfe");
    schema::SavedDirectory received;
    REQUIRE(received.ParseFromString(directory.SerializeAsString()));
    for (const schema::TargetRecord& record : received.targets())
        registry.merge(record, false, clock.now());
    CHECK(registry.find("i-1") != nullptr);
    CHECK(registry.find("i-2") == nullptr);
    CHECK(registry.find("i-3") != nullptr);
    for (const char* text : { "\xc3", "\xed\xb0\x80" }) {
        schema::TargetRecord record = makeHeartbeat("i-4", 100, 1);
        record.set_service(text);
        CHECK(merge(record) == TargetEvent::Ignored);
    }
    CHECK(registry.find("i-4") == nullptr);
}

TEST_CASE_FIXTURE(Fixture, "a record with a value out of range is left out alone")
{
    // Guards against a record of an earlier version or of the stored registry that draws flows to no target.
    const auto ignores = [this](const std::function<void(schema::TargetRecord&)>& change) {
        schema::TargetRecord record = makeHeartbeat("i-2", 200, 1);
        change(record);
        return merge(record) == TargetEvent::Ignored && registry.find("i-2") == nullptr;
    };
    merge(makeHeartbeat("i-1", 100, 1));
    CHECK(ignores([](schema::TargetRecord& record) { record.clear_id(); }));
    for (const char* endpoint :
        { "", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:65536", "0.0.0.0:80", "224.0.0.1:80", "[::]:80" })
        CHECK(ignores([endpoint](schema::TargetRecord& record) { record.set_endpoint(endpoint); }));
    CHECK(ignores([](schema::TargetRecord& record) { record.set_slots(4'000'000'000); }));
    CHECK(ignores([](schema::TargetRecord& record) { record.set_phase(static_cast<schema::TargetPhase>(9)); }));
    CHECK(ignores([](schema::TargetRecord& record) { record.set_service(std::string(2000, 'x')); }));
    CHECK(phaseOf(registry, "i-1") == schema::TARGET_READY);
    CHECK(registry.unreadableRecords() == 11);
}
