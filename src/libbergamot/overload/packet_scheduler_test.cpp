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
constexpr std::size_t prefixBytes = 8;
constexpr std::size_t overheadBytes = linkHeaderBytes + prefixBytes + 32;
constexpr Duration maxSmallDelay { 20 };
constexpr Duration retransmissionTimeout { 200 };

struct Offered {
    FlowPacket packet;
    TimePoint arrival;
    std::vector<TimePoint> sent;

    bool isFull() const { return packet.payloadBytes == fullPayload; }
    Duration delay() const { return sent.front() - arrival; }
};

/// Packets offered to a scheduler, and when it sent them.
struct Load {
    double pacedBytesPerSecond;
    PacketScheduler scheduler;
    ManualClock clock;
    TimePoint begin = clock.now();
    std::vector<Offered> offered;
    std::map<std::uint16_t, std::uint32_t> nextSequence;
    std::uint16_t lastPort = 10'000;

    explicit Load(double bytesPerSecond = linkBytesPerSecond)
        : pacedBytesPerSecond(0.92 * bytesPerSecond)
        , scheduler(bytesPerSecond)
    {
    }

    Duration elapsed() const { return clock.now() - begin; }

    /// Offers a packet that continues the data of its flow.
    std::size_t offer(std::uint16_t port, std::uint16_t payload, bool FlowPacket::*flag = &FlowPacket::ack)
    {
        FlowPacket packet;
        packet.flow = { 0x64400001, 0xc6120001, port, 443 };
        packet.payloadBytes = payload;
        packet.sequence = nextSequence[port];
        packet.*flag = true;
        nextSequence[port] += payload;
        offered.push_back({ packet, clock.now(), {} });
        submit(offered.size() - 1);
        return offered.size() - 1;
    }

    /// Submits a packet; its first bytes hold its index.
    void submit(std::size_t index)
    {
        std::vector<std::byte> datagram(
            overheadBytes - linkHeaderBytes - prefixBytes + offered[index].packet.payloadBytes);
        std::memcpy(datagram.data(), &index, sizeof(index));
        const std::vector<std::byte> prefix(prefixBytes);
        if (scheduler.submit(offered[index].packet, {}, prefix, datagram, clock.now()))
            offered[index].sent.push_back(clock.now());
    }

    void offerFirst() { offer(++lastPort, 0, &FlowPacket::syn); }

    void offerWindow(std::uint16_t port, unsigned packets = windowPackets)
    {
        for (unsigned i = 0; i < packets; ++i)
            offer(port, fullPayload);
    }

    void run(Duration time)
    {
        for (const TimePoint end = clock.now() + time; clock.now() < end;) {
            clock.advance(Duration(1));
            if (scheduler.nextDue().value_or(noDeadline) > clock.now())
                continue;
            while (const auto packet = scheduler.take(clock.now())) {
                std::size_t index = 0;
                std::memcpy(&index, packet->datagram.data() + prefixBytes, sizeof(index));
                offered[index].sent.push_back(clock.now());
            }
        }
    }

    /// Uploads at a multiple of the paced rate, each by a new flow, beside 40 small requests a second.
    void runSurge(Duration time, double multiple)
    {
        double dueWindows = 0;
        for (const TimePoint end = clock.now() + time; clock.now() < end; run(Duration(1))) {
            dueWindows += multiple * pacedBytesPerSecond / 1000 / (windowPackets * (overheadBytes + fullPayload));
            for (; dueWindows >= 1; --dueWindows)
                offerWindow(++lastPort);
            if (elapsed().count() % 25 == 0) {
                offerFirst();
                offer(lastPort, 300);
            }
        }
    }

    double sentBytes(bool isBulk, Duration since = Duration(0)) const
    {
        std::size_t bytes = 0;
        for (const Offered& packet : offered) {
            if (packet.isFull() == isBulk && !packet.sent.empty() && packet.sent.front() > begin + since)
                bytes += packet.sent.size() * (overheadBytes + packet.packet.payloadBytes);
        }
        return static_cast<double>(bytes);
    }

    void checkSmallDelays() const
    {
        for (const Offered& packet : offered)
            CHECK((packet.isFull() || (packet.sent.size() == 1 && packet.delay() < maxSmallDelay)));
    }

    /// Checks that 2 s after the demand fits again, all packets are sent before their clients repeat them.
    void checkRecovery()
    {
        runSurge(Duration(2000), 0.5);
        const TimePoint recovered = clock.now();
        runSurge(Duration(1000), 0.5);
        run(retransmissionTimeout);
        for (const Offered& packet : offered) {
            if (packet.arrival >= recovered)
                CHECK((packet.sent.size() == 1 && packet.delay() < retransmissionTimeout));
        }
    }
};

}

TEST_CASE("light load: packets are sent at once")
{
    Load load;
    for (std::uint16_t port = 0; port < 100; ++port, load.run(Duration(3)))
        CHECK(load.offered[load.offer(port, port % 2 == 0 ? 300 : fullPayload)].sent.size() == 1);
}

TEST_CASE("bulk surge: small requests do not wait, bulk gets the rest of the rate, and it recovers")
{
    for (const double multiple : { 1.3, 2.4 }) {
        Load load;
        load.runSurge(Duration(3000), multiple);
        load.checkSmallDelays();
        const double bytes = load.sentBytes(true) + load.sentBytes(false);
        CHECK(bytes == doctest::Approx(3 * load.pacedBytesPerSecond).epsilon(0.02));
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
    for (; load.elapsed() < Duration(2000); load.run(Duration(1))) {
        for (unsigned i = 0; i < 16; ++i)
            load.offerFirst();
        if (load.elapsed().count() % 100 == 0)
            load.offerWindow(++load.lastPort);
    }
    CHECK(load.sentBytes(true, Duration(1000)) > 0.098 * load.pacedBytesPerSecond);
    CHECK(load.sentBytes(false, Duration(1000)) > 0.85 * load.pacedBytesPerSecond);
}

TEST_CASE("retransmissions of queued packets: each crosses the link once, although clients repeat unacknowledged data")
{
    constexpr Duration roundTrip { 30 };
    Load load;
    for (std::uint16_t port = 1; port <= 7; ++port)
        load.offerWindow(port);
    load.run(retransmissionTimeout);
    for (std::size_t i = 0; i < load.offered.size(); ++i) {
        const std::vector<TimePoint>& sent = load.offered[i].sent;
        if (sent.empty() || load.clock.now() - sent.front() < roundTrip)
            load.submit(i);
    }
    load.run(retransmissionTimeout);
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
    load.run(retransmissionTimeout);
    for (const Offered& packet : load.offered)
        CHECK((packet.packet.flow.clientPort == 1 || packet.sent.size() == 1));
}

TEST_CASE("abandoned uploads: packets that clients no longer repeat are dropped, and the queues stay bounded")
{
    Load load;
    for (std::uint16_t port = 1; port < 2000; ++port, load.run(Duration(1))) {
        load.offerWindow(port, 4);
        for (unsigned i = 0; i < 10; ++i)
            load.offerFirst();
        const std::size_t queued
            = load.scheduler.queuedBytes(PacketClass::Urgent) + load.scheduler.queuedBytes(PacketClass::Bulk);
        CHECK(static_cast<double>(queued) <= linkBytesPerSecond / 4);
    }
    load.run(Duration(500));
    CHECK(load.scheduler.isEmpty());
    CHECK(load.scheduler.counters().expired > 0);
    CHECK(load.scheduler.counters().overflowed > 0);
    for (const Offered& packet : load.offered)
        CHECK((!packet.isFull() || packet.sent.empty() || packet.delay() <= Duration(225)));
}

TEST_CASE("upload in a queue: its short last packet and its FIN stay behind its data, acknowledgements do not")
{
    Load load;
    load.offerWindow(1, 30);
    load.offerWindow(2);
    load.offer(2, 300);
    const std::size_t acknowledgement = load.offer(2, 0);
    load.offer(2, 0, &FlowPacket::fin);
    load.run(Duration(10));
    CHECK(load.offered[acknowledgement].sent.size() == 1);
    load.run(Duration(300));
    TimePoint previous;
    for (std::size_t i = 30; i < load.offered.size(); ++i) {
        REQUIRE(load.offered[i].sent.size() == 1);
        CHECK((i == acknowledgement || load.offered[i].sent.front() >= previous));
        previous = i == acknowledgement ? previous : load.offered[i].sent.front();
    }
}

TEST_CASE("upload that its client resets: the reset is sent soon, and no queued data of the flow after it")
{
    Load load;
    load.offerWindow(1);
    load.offerWindow(2);
    load.offer(2, 0);
    const std::size_t reset = load.offer(2, 0, &FlowPacket::rst);
    load.run(retransmissionTimeout);
    REQUIRE(load.offered[reset].sent.size() == 1);
    CHECK(load.offered[reset].delay() < maxSmallDelay);
    for (std::size_t i = windowPackets; i < 2 * windowPackets; ++i)
        CHECK(load.offered[i].sent.empty());
}

TEST_CASE("resets to clients take tokens, so that the link is not filled beside the paced packets")
{
    Load load;
    load.scheduler.countBypass(static_cast<std::size_t>(0.010 * load.pacedBytesPerSecond), load.clock.now());
    const std::size_t index = load.offer(1, fullPayload);
    CHECK(load.offered[index].sent.empty());
    load.run(Duration(10));
    CHECK(load.offered[index].sent.size() == 1);
}
