/// @file
/// Guards against new flows that go to another data centre without need. Such flows break when a network partition
/// separates the two, and their packets cost traffic between data centres.

#include "cookie/placement.h"

#include <algorithm>
#include <cmath>
#include <doctest/doctest.h>
#include <set>

using namespace bergamotroute;

namespace {

constexpr std::uint32_t slots = 2;

/// Targets of two data centres, half in each, as seen by an entry host of data centre "a".
struct TwoDataCentres {
    ManualClock clock;
    Placement placement { {}, "entry-1", "a" };
    std::vector<PooledTarget> targets { 8 };
    std::vector<PooledTarget*> pointers;

    TwoDataCentres()
    {
        std::uint64_t number = 0x11;
        for (PooledTarget& target : targets) {
            target.number = number++;
            target.slots = slots;
            target.dataCentre = std::string(1, number % 2 == 0 ? 'a' : 'b');
            pointers.push_back(&target);
        }
    }

    /// Places a number of flows that stay idle.
    /// @return how many of them are placed in data centre "a".
    int placeIdleFlows(int count)
    {
        int localFlows = 0;
        for (int i = 0; i < count; ++i) {
            PooledTarget& target = *placement.choose(pointers, nullptr, clock.now()).target;
            ++target.ownLoad.openFlows;
            localFlows += target.dataCentre == "a" ? 1 : 0;
        }
        return localFlows;
    }
};

}

TEST_CASE_FIXTURE(TwoDataCentres,
    "if long idle flows accumulate at local targets and the other data centre reports no load, new ones stay local")
{
    // Other hosts have 30 idle flows at each local target; no load is reported for the remote targets.
    for (PooledTarget& target : targets)
        target.reportedLoad.openFlows = target.dataCentre == "a" ? 30 : 0;
    CHECK(placeIdleFlows(200) == 200);
}

TEST_CASE_FIXTURE(TwoDataCentres,
    "if clients shift to one data centre and its targets are busy, new flows spill over to the other one")
{
    for (PooledTarget& target : targets) {
        target.reportedLoad.openFlows = target.dataCentre == "a" ? 30 : 0;
        target.reportedLoad.requests = target.dataCentre == "a" ? 2 * slots : 0;
    }
    CHECK(placement.choose(pointers, nullptr, clock.now()).target->dataCentre == "b");
}

TEST_CASE_FIXTURE(TwoDataCentres, "idle flows are spread evenly over the targets of the data centre")
{
    placeIdleFlows(200);
    for (const PooledTarget& target : targets) {
        if (target.dataCentre == "a")
            CHECK(target.ownLoad.openFlows <= 60);
    }
}

TEST_CASE_FIXTURE(TwoDataCentres,
    "if a fifth of the targets fails at once, a flow whose first target did not answer goes to one that has responded")
{
    const PooledTarget* failed = placement.choose(pointers, nullptr, clock.now()).target;
    PooledTarget& proven = *std::find_if(targets.begin(), targets.end(),
        [failed](const PooledTarget& target) { return target.dataCentre == "a" && &target != failed; });
    proven.reachability.recordResponse(clock.now());
    // Its load is a little higher than that of the targets of which nothing is known.
    proven.reportedLoad.requests = slots;
    CHECK(placement.choose(pointers, failed, clock.now()).target == &proven);
    CHECK(placement.choose(pointers, nullptr, clock.now()).target != &proven);
    // A response does not count for long, and load counts more than a response.
    clock.advance(Duration(3000));
    CHECK(placement.choose(pointers, failed, clock.now()).target != &proven);
    proven.reachability.recordResponse(clock.now());
    proven.reportedLoad.requests = 4 * slots;
    CHECK(placement.choose(pointers, failed, clock.now()).target != &proven);
}

TEST_CASE_FIXTURE(TwoDataCentres, "if all targets are typical, learned capacity changes no cost and no choice")
{
    std::vector<PooledTarget> learned = targets;
    std::vector<PooledTarget*> learnedPointers;
    learnedPointers.reserve(learned.size());
    for (PooledTarget& target : learned)
        learnedPointers.push_back(&target);
    for (std::uint64_t flow = 0; flow < 300; ++flow) {
        for (PooledTarget& target : learned) {
            // Samples that differ as the requests of one route do.
            target.capacity.addSample(flow % 2 == 0 ? 1.5 : 1 / 1.5, clock.now());
            target.capacity.refresh(slots, clock.now());
        }
        const PlacementChoice expected = placement.choose(pointers, nullptr, clock.now(), flow);
        const PlacementChoice choice = placement.choose(learnedPointers, nullptr, clock.now(), flow);
        CHECK(choice.cost == expected.cost);
        REQUIRE(choice.target->number == expected.target->number);
        CHECK(!choice.allAtLimit);
        ++expected.target->ownLoad.requests;
        ++choice.target->ownLoad.requests;
        clock.advance(Duration(20));
    }
}

TEST_CASE_FIXTURE(
    TwoDataCentres, "while a target refuses, it gets no flow beyond its limit, and admission sees that all are full")
{
    for (PooledTarget& target : targets) {
        target.ownLoad.requests = 10;
        if (&target == &targets[0])
            continue;
        target.capacity.addRefusal(10, slots, clock.now());
        target.capacity.refresh(slots, clock.now());
        CHECK(target.capacity.limit() == 9);
    }
    const PlacementChoice choice = placement.choose(pointers, nullptr, clock.now());
    CHECK(choice.target == &targets[0]);
    CHECK(!choice.allAtLimit);
    targets[0].capacity.addRefusal(5, slots, clock.now());
    targets[0].capacity.refresh(slots, clock.now());
    CHECK(placement.choose(pointers, nullptr, clock.now()).allAtLimit);
    // Each second without a refusal raises the limit by one.
    clock.advance(Duration(2000));
    targets[1].capacity.refresh(slots, clock.now());
    CHECK(targets[1].capacity.limit() == 11);
    CHECK(!placement.choose(pointers, nullptr, clock.now()).allAtLimit);
    // A limit that is not confirmed is dropped at 16 above the slots.
    clock.advance(Duration(10'000));
    targets[1].capacity.refresh(slots, clock.now());
    CHECK(!targets[1].capacity.limit());
}

TEST_CASE_FIXTURE(TwoDataCentres,
    "a host without local targets spreads flows over the others while some of them are slow, instead of choosing one")
{
    std::vector<PooledTarget> remote(24);
    std::vector<PooledTarget*> remotePointers;
    for (PooledTarget& target : remote) {
        target.number = remotePointers.size() + 1;
        target.dataCentre = std::string(1, 'b');
        target.slots = slots;
        const double ratio = remotePointers.size() < remote.size() / 4 ? 8 : 1;
        for (int sample = 0; sample < 8; ++sample)
            target.capacity.addSample(ratio, clock.now());
        target.capacity.setReported(1, { std::log(ratio), 1, {} }, true, clock.now());
        target.capacity.refresh(slots, clock.now());
        remotePointers.push_back(&target);
    }
    std::set<std::uint64_t> chosen;
    for (std::uint64_t flow = 0; flow < 100; ++flow)
        chosen.insert(placement.choose(remotePointers, nullptr, clock.now(), flow).target->number);
    CHECK(chosen.size() > 1);
}
