/// @file
/// Guards against targets that come back from the dead or lose a drain: late, repeated and reordered heartbeats,
/// reused addresses, restarts under the same id.

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
};

}

TEST_CASE_FIXTURE(Fixture, "a late ready heartbeat does not undo an acknowledged drain")
{
    CHECK(merge(makeHeartbeat("i-1", 100, 1)) == TargetEvent::Found);
    CHECK(merge(makeHeartbeat("i-1", 100, 3, schema::TARGET_DRAINING)) == TargetEvent::Draining);
    CHECK(merge(makeHeartbeat("i-1", 100, 2)) == TargetEvent::Ignored);
    CHECK(phaseOf(registry, "i-1") == schema::TARGET_DRAINING);
}

TEST_CASE_FIXTURE(Fixture, "no heartbeat of an incarnation that is gone brings it back, a later start does")
{
    merge(makeHeartbeat("i-1", 100, 1));
    CHECK(registry.remove("i-1", 0, clock.now()) == TargetEvent::Gone);
    CHECK(merge(makeHeartbeat("i-1", 100, 99)) == TargetEvent::Ignored);
    CHECK(phaseOf(registry, "i-1") == schema::TARGET_GONE);
    // The counts of a target that starts again under its id begin anew.
    CHECK(merge(makeHeartbeat("i-1", 200, 1)) == TargetEvent::Found);
    CHECK(phaseOf(registry, "i-1") == schema::TARGET_READY);
    CHECK(registry.remove("i-1", 100, clock.now()) == TargetEvent::Ignored);
}

TEST_CASE_FIXTURE(Fixture, "the later start at an address ends the earlier one, in either order of arrival")
{
    merge(makeHeartbeat("i-1", 100, 1));
    CHECK(merge(makeHeartbeat("i-2", 200, 1)) == TargetEvent::Found);
    CHECK(phaseOf(registry, "i-1") == schema::TARGET_GONE);
    CHECK(merge(makeHeartbeat("i-0", 50, 7)) == TargetEvent::Gone);
    CHECK(phaseOf(registry, "i-0") == schema::TARGET_GONE);
    CHECK(phaseOf(registry, "i-2") == schema::TARGET_READY);
}

TEST_CASE_FIXTURE(Fixture, "an address that a target has left, or that was forgotten with it, ends no later target")
{
    merge(makeHeartbeat("i-1", 100, 1));
    schema::TargetRecord moved = makeHeartbeat("i-1", 100, 2);
    moved.set_endpoint("10.0.0.9:80");
    CHECK(merge(moved) == TargetEvent::Updated);
    merge(makeHeartbeat("i-2", 200, 1));
    CHECK(phaseOf(registry, "i-1") == schema::TARGET_READY);
    registry.remove("i-2", 200, clock.now());
    // A target without heartbeats counts as gone first and is forgotten as long after.
    for (int round = 0; round < 2; ++round) {
        clock.advance(Duration(600'000));
        registry.advance(clock.now());
    }
    REQUIRE(registry.targets().empty());
    CHECK(merge(makeHeartbeat("i-3", 50, 1)) == TargetEvent::Found);
}

TEST_CASE_FIXTURE(Fixture, "two registries agree whatever the order of their records")
{
    TargetRegistry other { RegistryOptions {} };
    const std::vector<schema::TargetRecord> records { makeHeartbeat("i-1", 100, 1),
        makeHeartbeat("i-1", 100, 2, schema::TARGET_DRAINING), makeHeartbeat("i-2", 300, 1),
        makeHeartbeat("i-1", 100, 3) };
    for (const schema::TargetRecord& record : records)
        merge(record);
    for (auto record = records.rbegin(); record != records.rend(); ++record)
        other.merge(*record, false, clock.now());
    for (const char* id : { "i-1", "i-2" })
        CHECK(phaseOf(registry, id) == phaseOf(other, id));
}

TEST_CASE_FIXTURE(Fixture, "a target without heartbeats becomes silent and is heard again")
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

TEST_CASE_FIXTURE(Fixture, "a plain heartbeat is news for control hosts only")
{
    merge(makeHeartbeat("i-1", 100, 1));
    const std::uint64_t change = registry.lastChange();
    const std::uint64_t event = registry.lastEvent();
    CHECK(merge(makeHeartbeat("i-1", 100, 2)) == TargetEvent::Refreshed);
    CHECK(registry.changesSince(change, clock.now()).size() == 1);
    CHECK(registry.eventsSince(event, clock.now()).empty());
}

TEST_CASE_FIXTURE(Fixture, "a heartbeat that another host reports is not passed on again, an event is")
{
    registry.merge(makeHeartbeat("i-1", 100, 1), false, clock.now());
    const std::uint64_t change = registry.lastChange();
    CHECK(change > 0);
    CHECK(registry.merge(makeHeartbeat("i-1", 100, 2), false, clock.now()) == TargetEvent::Refreshed);
    CHECK(registry.lastChange() == change);
    registry.merge(makeHeartbeat("i-1", 100, 3, schema::TARGET_DRAINING), false, clock.now());
    CHECK(registry.changesSince(change, clock.now()).size() == 1);
}

TEST_CASE("a copy takes silence and its end from records, whatever their ages")
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

TEST_CASE_FIXTURE(Fixture, "a target that crashed is gone after a while and then forgotten, one that returns is ready")
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
