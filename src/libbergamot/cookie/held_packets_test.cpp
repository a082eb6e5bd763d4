/// @file
/// Guards against a burst of waiting packets after a start: all at once, with every copy of them, they fill the queues
/// of the targets, which then refuse requests that they could have served 0.2 s later.

#include "bergamotroute/held_packets.h"

#include <array>
#include <doctest/doctest.h>

using namespace bergamotroute;

namespace {

struct Fixture {
    ManualClock clock;
    HeldPackets held { 1000, Duration(500) };

    void addPacket(std::uint64_t key, std::byte content = std::byte { 0 })
    {
        const std::array<std::byte, 1> bytes { content };
        REQUIRE(held.add(bytes, key, clock.now()));
    }
};

}

TEST_CASE_FIXTURE(Fixture, "copies of a packet take one place, and the last copy is sent")
{
    addPacket(7, std::byte { 1 });
    clock.advance(Duration(200));
    addPacket(7, std::byte { 2 });
    CHECK(held.size() == 1);
    std::byte sent {};
    held.retry(clock.now(), [&sent](std::span<const std::byte> packet, bool) {
        sent = packet[0];
        return true;
    });
    CHECK(sent == std::byte { 2 });
}

TEST_CASE_FIXTURE(Fixture, "packets that keep arriving do not postpone the end of the first one's wait")
{
    addPacket(1);
    const TimePoint due = clock.now() + Duration(500);
    for (std::uint64_t key = 2; key < 6; ++key) {
        clock.advance(Duration(100));
        addPacket(key);
        CHECK(held.nextDeadline() == due);
    }
}

TEST_CASE("copies share a key, and an acknowledgement that was overtaken never takes the place of data")
{
    FlowPacket first;
    first.flow = { 0x64400001, 0xc6120001, 1, 443 };
    first.syn = true;
    first.sequence = 1000;
    FlowPacket copy = first;
    copy.acknowledgement = 1;
    CHECK(retransmissionKey(copy) == retransmissionKey(first));
    FlowPacket acknowledgement;
    acknowledgement.flow = first.flow;
    acknowledgement.ack = true;
    acknowledgement.sequence = 1001;
    FlowPacket data = acknowledgement;
    data.payloadBytes = 100;
    FlowPacket last = acknowledgement;
    last.fin = true;
    CHECK(retransmissionKey(data) != retransmissionKey(acknowledgement));
    CHECK(retransmissionKey(last) != retransmissionKey(acknowledgement));
    data.acknowledgement = 500;
    FlowPacket repeated = data;
    repeated.acknowledgement = 900;
    CHECK(retransmissionKey(repeated) == retransmissionKey(data));
}
