/// @file
/// Guards against a full link on which first packets and small requests wait behind uploads and retransmissions use up
/// the capacity, so that nothing is answered in time even after the demand has fallen.

#include "bergamotroute/packet_scheduler.h"

#include "bergamotroute/link_state.h"

#include <algorithm>
#include <cstring>
#include <doctest/doctest.h>
#include <map>

using namespace bergamotroute;

namespace {

constexpr double linkBytesPerSecond = 637'000;
constexpr std::uint16_t fullPayload = 1200;
constexpr unsigned windowPackets = 16;
constexpr std::size_t fullLinkBytes = linkHeaderBytes + 8 + 32 + fullPayload;
constexpr Duration maxSmallDelay { 20 };
constexpr Duration retransmissionTimeout { 200 };

struct Offered {
    FlowPacket packet;
    TimePoint arrival;
    std::size_t linkBytes = 0;
    std::vector<TimePoint> sent;

    Duration delay() const { return sent.front() - arrival; }
};

/// Packets offered to a scheduler, and when it sent them.
struct Load {
    explicit Load(double bytesPerSecond = linkBytesPerSecond)
        : pacedBytesPerSecond(0.92 * bytesPerSecond)
        , scheduler(bytesPerSecond)
    {
    }

    double pacedBytesPerSecond;
    ManualClock clock;
    PacketScheduler scheduler;
    std::vector<Offered> offered;
    std::map<std::uint32_t, std::uint32_t> nextSequence;

    static FlowPacket makePacket(std::uint16_t port, std::uint32_t sequence, std::uint16_t payload)
    {
        FlowPacket packet;
        packet.flow = { 0x64400001, 0xc6120001, port, 443 };
        packet.sequence = sequence;
        packet.payloadBytes = payload;
        packet.ack = true;
        return packet;
    }

    std::size_t offer(const FlowPacket& packet)
    {
        offered.push_back({ packet, clock.now(), linkHeaderBytes + 8 + 32 + packet.payloadBytes, {} });
        submit(offered.size() - 1);
        return offered.size() - 1;
    }

    /// Submits a packet; its first bytes hold its index.
    void submit(std::size_t index)
    {
        const FlowPacket& packet = offered[index].packet;
        std::vector<std::byte> datagram(32 + packet.payloadBytes);
        std::memcpy(datagram.data(), &index, sizeof(index));
        const std::vector<std::byte> prefix(8);
        if (scheduler.submit(packet, {}, prefix, datagram, clock.now()))
            offered[index].sent.push_back(clock.now());
    }

    std::size_t offerData(std::uint16_t port, std::uint16_t payload = fullPayload)
    {
        std::uint32_t& sequence = nextSequence[port];
        sequence += payload;
        return offer(makePacket(port, sequence - payload, payload));
    }

    void offerWindow(std::uint16_t port, unsigned packets = windowPackets)
    {
        for (unsigned i = 0; i < packets; ++i)
            offerData(port);
    }

    std::size_t offerFirst(std::uint16_t port)
    {
        FlowPacket packet = makePacket(port, 0, 0);
        packet.syn = true;
        packet.ack = false;
        return offer(packet);
    }

    void step()
    {
        clock.advance(Duration(1));
        if (scheduler.nextDue().value_or(noDeadline) > clock.now())
            return;
        while (const auto packet = scheduler.take(clock.now())) {
            std::size_t index = 0;
            std::memcpy(&index, packet->datagram.data() + 8, sizeof(index));
            offered[index].sent.push_back(clock.now());
        }
    }

    void run(Duration time)
    {
        for (const TimePoint end = clock.now() + time; clock.now() < end;)
            step();
    }

    /// Uploads at a multiple of the paced rate, each by a new flow, beside 40 small requests a second.
    void runSurge(Duration time, double multiple)
    {
        const TimePoint begin = clock.now();
        double dueWindows = 0;
        std::uint16_t port = 10'000;
        while (clock.now() - begin < time) {
            dueWindows += multiple * pacedBytesPerSecond / 1000 / (windowPackets * fullLinkBytes);
            for (; dueWindows >= 1; --dueWindows)
                offerWindow(++port);
            if ((clock.now() - begin).count() % 25 == 0) {
                offerFirst(++port);
                offerData(port, 300);
            }
            step();
        }
    }

    double sentBytes(bool isBulk, TimePoint since = TimePoint::min()) const
    {
        double bytes = 0;
        for (const Offered& packet : offered) {
            if ((packet.packet.payloadBytes == fullPayload) == isBulk)
                bytes += static_cast<double>(packet.linkBytes)
                    * std::count_if(packet.sent.begin(), packet.sent.end(), [&](TimePoint t) { return t > since; });
        }
        return bytes;
    }

    void checkSmallDelays() const
    {
        for (const Offered& packet : offered) {
            if (packet.packet.payloadBytes == fullPayload)
                continue;
            REQUIRE_FALSE(packet.sent.empty());
            CHECK(packet.delay() < maxSmallDelay);
        }
    }

    /// Checks that 2 s after the demand fits again, all packets are sent before their clients repeat them.
    void checkRecovery()
    {
        runSurge(Duration(2000), 0.5);
        const TimePoint recovered = clock.now();
        runSurge(Duration(1000), 0.5);
        for (const Offered& packet : offered) {
            if (packet.arrival >= recovered && clock.now() - packet.arrival > retransmissionTimeout) {
                REQUIRE(packet.sent.size() == 1);
                CHECK(packet.delay() < retransmissionTimeout);
            }
        }
    }
};

}

TEST_CASE("light load: packets are sent at once and never queued")
{
    Load load;
    for (unsigned i = 0; i < 100; ++i) {
        const std::size_t index = load.offerData(static_cast<std::uint16_t>(i), i % 2 == 0 ? 300 : fullPayload);
        CHECK(load.offered[index].sent.size() == 1);
        load.run(Duration(3));
    }
    CHECK(load.scheduler.isEmpty());
}

TEST_CASE("bulk surge: small requests do not wait, bulk gets the rest of the rate, and it recovers")
{
    for (const double multiple : { 1.3, 2.4 }) {
        Load load;
        load.runSurge(Duration(3000), multiple);
        load.checkSmallDelays();
        const double small = load.sentBytes(false);
        CHECK(load.sentBytes(true) > 0.98 * (3 * load.pacedBytesPerSecond - small));
        CHECK(load.sentBytes(true) + small < 3.02 * load.pacedBytesPerSecond);
        load.checkRecovery();
    }
}

TEST_CASE("link cut to a third: small requests do not wait, and it recovers")
{
    Load load(linkBytesPerSecond / 3);
    load.runSurge(Duration(3000), 3 * 0.8);
    load.checkSmallDelays();
    load.checkRecovery();
}

TEST_CASE("urgent flood: a tenth of the rate is left for bulk, and the flood takes no space from it")
{
    Load load;
    std::uint16_t port = 0;
    const TimePoint begin = load.clock.now();
    while (load.clock.now() - begin < Duration(2000)) {
        for (unsigned i = 0; i < 16; ++i)
            load.offerFirst(++port);
        if (load.clock.now().time_since_epoch().count() % 100 == 0)
            load.offerWindow(++port);
        load.step();
    }
    CHECK(load.sentBytes(true, begin + Duration(1000)) > 0.098 * load.pacedBytesPerSecond);
    CHECK(load.sentBytes(false, begin + Duration(1000)) > 0.85 * load.pacedBytesPerSecond);
}

TEST_CASE(
    "retransmissions of queued packets: each packet crosses the link once, although clients repeat unacknowledged data")
{
    constexpr Duration roundTrip { 30 };
    Load load;
    for (std::uint16_t port = 1; port <= 7; ++port)
        load.offerWindow(port);
    load.run(Duration(200));
    const std::size_t count = load.offered.size();
    for (std::size_t i = 0; i < count; ++i) {
        if (load.offered[i].sent.empty() || load.clock.now() - load.offered[i].sent.front() < roundTrip)
            load.submit(i);
    }
    load.run(Duration(200));
    for (const Offered& packet : load.offered)
        CHECK(packet.sent.size() == 1);
    CHECK(load.scheduler.counters().merged > 0);
    CHECK(load.scheduler.counters().repeated > 0);
    load.submit(0);
    CHECK_MESSAGE(load.offered[0].sent.size() == 2, "a later retransmission is caused by a loss");
}

TEST_CASE("one flow with a huge backlog does not delay the fair ones")
{
    Load load;
    load.offerWindow(1, 500);
    for (std::uint16_t port = 2; port <= 5; ++port)
        load.offerWindow(port);
    load.run(Duration(200));
    for (const Offered& packet : load.offered) {
        if (packet.packet.flow.clientPort > 1)
            CHECK(packet.sent.size() == 1);
    }
}

TEST_CASE(
    "abandoned uploads: bulk packets that their clients no longer repeat are dropped, and the queues stay bounded")
{
    Load load;
    for (std::uint16_t port = 1; port < 2000; ++port) {
        load.offerWindow(port, 4);
        for (std::uint16_t i = 0; i < 10; ++i)
            load.offerFirst(static_cast<std::uint16_t>(20'000 + port * 10 + i));
        load.step();
        const std::size_t queued
            = load.scheduler.queuedBytes(PacketClass::Urgent) + load.scheduler.queuedBytes(PacketClass::Bulk);
        CHECK(static_cast<double>(queued) <= linkBytesPerSecond / 4);
    }
    load.run(Duration(500));
    CHECK(load.scheduler.isEmpty());
    CHECK(load.scheduler.counters().expired > 0);
    CHECK(load.scheduler.counters().overflowed > 0);
    for (const Offered& packet : load.offered) {
        if (packet.packet.payloadBytes == fullPayload && !packet.sent.empty())
            CHECK(packet.delay() <= Duration(225));
    }
}

TEST_CASE("upload in a queue: its short last packet and its FIN stay behind its data, acknowledgements do not")
{
    Load load;
    load.offerWindow(1, 30);
    load.offerWindow(2);
    const std::size_t last = load.offerData(2, 300);
    FlowPacket packet = Load::makePacket(2, load.nextSequence[2], 0);
    const std::size_t acknowledgement = load.offer(packet);
    packet.fin = true;
    const std::size_t fin = load.offer(packet);
    load.run(Duration(10));
    CHECK(load.offered[acknowledgement].sent.size() == 1);
    load.run(Duration(300));
    TimePoint previous;
    for (const Offered& data : load.offered) {
        if (data.packet.flow.clientPort != 2 || &data == &load.offered[acknowledgement])
            continue;
        REQUIRE(data.sent.size() == 1);
        CHECK(data.sent.front() >= previous);
        previous = data.sent.front();
    }
    CHECK(load.offered[fin].sent.front() >= load.offered[last].sent.front());
}

TEST_CASE("upload that its client resets: the reset is sent soon, and no queued data of the flow after it")
{
    Load load;
    load.offerWindow(1);
    load.offerWindow(2);
    FlowPacket packet = Load::makePacket(2, load.nextSequence[2], 0);
    load.offer(packet);
    packet.rst = true;
    const std::size_t reset = load.offer(packet);
    load.run(Duration(100));
    REQUIRE(load.offered[reset].sent.size() == 1);
    CHECK(load.offered[reset].delay() < maxSmallDelay);
    CHECK(load.scheduler.counters().abandoned == windowPackets);
    for (const Offered& other : load.offered)
        CHECK((other.sent.empty() || other.packet.flow.clientPort == 1 || other.packet.payloadBytes == 0));
}

TEST_CASE("resets to clients take tokens, so that the link is not filled beside the paced packets")
{
    Load load;
    load.scheduler.countBypass(static_cast<std::size_t>(0.010 * load.pacedBytesPerSecond), load.clock.now());
    const std::size_t index = load.offerData(1);
    CHECK(load.offered[index].sent.empty());
    load.run(Duration(10));
    CHECK(load.offered[index].sent.size() == 1);
}
