/// @file
/// Guards against a burst of held packets after a start. If all of them and all their retransmissions are sent at once,
/// they fill the queues of the targets, which then refuse requests that they could have served 0.2 s later.

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

TEST_CASE_FIXTURE(Fixture, "retransmissions of a packet share one entry, and the last one is sent")
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

TEST_CASE_FIXTURE(Fixture, "packets that arrive later do not postpone the deadline of the first one")
{
    addPacket(1);
    const TimePoint due = clock.now() + Duration(500);
    for (std::uint64_t key = 2; key < 6; ++key) {
        clock.advance(Duration(100));
        addPacket(key);
        CHECK(held.nextDeadline() == due);
    }
}

TEST_CASE("retransmissions share a key, and a reordered plain acknowledgement never replaces data or a FIN")
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
