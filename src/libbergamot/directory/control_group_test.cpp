/// @file
/// Guards against a quorum that ends for good although no more hosts were lost at a time than the deployment allows:
/// the quorum log and the policy of its members together, with replaced hosts and lost disks in every order.

#include "directory/control_group_test_support.h"

#include <doctest/doctest.h>

using namespace bergamotroute;
using namespace bergamotroute::test;

namespace {

/// Time after which a host that is back, or a successor, counts as caught up.
constexpr Duration catchUpTime { 4000 };
/// Time for which a host that loses its disk is down.
constexpr Duration downTime { 300 };

void checkService(ControlGroup& group)
{
    CHECK(group.hasAllChanges());
    CHECK(group.change(catchUpTime));
}

/// Plays a planned replacement, of which the former host is removed, and lost disks.
/// @param gap time from the removal to the lost disks; negative if the disks are lost first.
void playReplacement(std::size_t count, std::size_t removed, const std::vector<std::size_t>& wiped, Duration gap)
{
    ControlGroup group(count, 1);
    group.run(Duration(2000));
    REQUIRE(group.change(catchUpTime));
    group.addSuccessor();
    group.run(catchUpTime + Duration(500));
    REQUIRE(group.change(catchUpTime));
    const auto loseDisks = [&] {
        for (const std::size_t host : wiped)
            group.loseDisk(host, downTime);
    };
    if (gap < Duration(0)) {
        loseDisks();
        group.run(-gap);
    }
    group.remove(removed);
    if (gap >= Duration(0)) {
        group.run(gap);
        loseDisks();
    }
    group.run(downTime + catchUpTime);
    checkService(group);
    // The next disk may be lost by now.
    const std::size_t successor = count;
    group.loseDisk(wiped.front() == successor ? wiped.front() - 1 - (removed == successor - 1) : successor, downTime);
    group.run(downTime + catchUpTime);
    checkService(group);
}

constexpr int gapsMs[] = { -1500, -500, -100, 0, 100, 500, 1500, 4000 };

}

TEST_CASE("with a host replaced and the disk of any other one lost the quorum goes on, in every order")
{
    for (std::size_t removed = 0; removed < 3; ++removed) {
        for (std::size_t wiped = 0; wiped < 4; ++wiped) {
            for (const int gapMs : gapsMs) {
                if (wiped == removed)
                    continue;
                CAPTURE(removed);
                CAPTURE(wiped);
                CAPTURE(gapMs);
                playReplacement(3, removed, { wiped }, Duration(gapMs));
            }
        }
    }
}

// Guards against a removed host that counts for so long that another one may not be down after it, and against a quorum
// that stays without a leader once the host that was down is back with its disk.
TEST_CASE("a host that is down after another one was removed ends the quorum neither for long nor for good")
{
    for (const int gapMs : { 0, 500, 2500, 4000 }) {
        CAPTURE(gapMs);
        ControlGroup group(3, 1);
        group.run(Duration(2000));
        group.addSuccessor();
        group.run(catchUpTime + Duration(500));
        REQUIRE(group.change(catchUpTime));
        group.remove(2);
        group.run(Duration(gapMs));
        constexpr Duration longDownTime { 8000 };
        group.crash(1, longDownTime);
        const bool isRemovalKnown = gapMs >= 2500;
        if (isRemovalKnown) {
            CHECK(group.change(catchUpTime));
            CHECK(group.hasAllChanges());
        }
        group.run(longDownTime + catchUpTime);
        checkService(group);
    }
}

// Guards against removed hosts that keep their votes when another host is replaced soon after.
TEST_CASE("with all hosts replaced in turn, and a disk lost at each replacement, the quorum goes on")
{
    ControlGroup group(3, 1);
    group.run(Duration(2000));
    for (std::size_t removed = 0; removed < 6; ++removed) {
        CAPTURE(removed);
        group.addSuccessor();
        group.run(catchUpTime + Duration(500));
        REQUIRE(group.change(catchUpTime));
        group.remove(removed);
        group.loseDisk(removed + 1 + removed % 2, downTime);
        group.run(downTime + catchUpTime);
        checkService(group);
    }
}

TEST_CASE("with one of five hosts replaced and the disks of any two others lost the quorum goes on, in every order")
{
    for (std::size_t removed = 0; removed < 5; ++removed) {
        for (std::size_t wiped = 0; wiped < 5; ++wiped) {
            for (const int gapMs : gapsMs) {
                if (wiped == removed || wiped + 1 == removed)
                    continue;
                CAPTURE(removed);
                CAPTURE(wiped);
                CAPTURE(gapMs);
                playReplacement(5, removed, { wiped, wiped + 1 }, Duration(gapMs));
            }
        }
    }
}
