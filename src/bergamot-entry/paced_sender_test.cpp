/// @file
/// Guards against packets that remain in the queues: when their turn comes, when overload is no longer controlled, and
/// when the process ends.

#include "bergamot-entry/paced_sender.h"

#include <doctest/doctest.h>

using namespace bergamotroute;

namespace {

constexpr double linkBytesPerSecond = 637'000;
constexpr unsigned packetCount = 40;
constexpr std::size_t prefixBytes = 8;
constexpr std::size_t datagramBytes = 1232;
/// Tokens of an idle link and of one wait for the next send are a few packets.
constexpr unsigned maxPacketsAtOnce = 15;

Endpoint loopback()
{
    std::error_code error;
    return Endpoint::parse("127.0.0.1:0", error);
}

struct Fixture {
    EventLoop loop;
    CookieSteering steering { makeOptions() };
    UdpSocket socket;
    UdpSocket target;
    PacedSender sender { loop, steering, socket, linkBytesPerSecond };
    unsigned received = 0;

    Fixture()
    {
        REQUIRE_FALSE(socket.open(loopback()));
        REQUIRE_FALSE(target.open(loopback()));
    }

    static CookieSteeringOptions makeOptions()
    {
        CookieSteeringOptions options;
        options.linkBytesPerSecond = linkBytesPerSecond;
        return options;
    }

    void install(std::uint64_t version, RequestKind kind)
    {
        RoutingDocument document;
        document.version = version;
        document.routes.push_back({ "r", 0xc6120001, 443, kind, Duration(1000), Duration(1000), 0, {} });
        REQUIRE(steering.installDocument(std::move(document)));
        sender.finishBatch();
    }

    void sendWindow()
    {
        const std::vector<std::byte> prefix(prefixBytes);
        const std::vector<std::byte> datagram(datagramBytes);
        FlowPacket packet;
        packet.payloadBytes = 1200;
        for (unsigned i = 0; i < packetCount; ++i) {
            packet.sequence += packet.payloadBytes;
            sender.sendToTarget(packet, target.local(), prefix, datagram);
        }
        sender.finishBatch();
    }

    unsigned receive()
    {
        while (const std::size_t count = target.receive([](std::span<const std::byte> payload, const Endpoint&) {
            CHECK(payload.size() == prefixBytes + datagramBytes);
        }))
            received += static_cast<unsigned>(count);
        return received;
    }
};

}

TEST_CASE_FIXTURE(Fixture, "without upload routes, packets are sent as they come")
{
    install(1, RequestKind::Idempotent);
    sendWindow();
    CHECK(receive() == packetCount);
    CHECK(sender.statistics().state.bytesPerSecond == 0);
}

TEST_CASE_FIXTURE(Fixture, "with upload routes, packets are sent at the pace of the link")
{
    install(1, RequestKind::Upload);
    const TimePoint begin = loop.now();
    sendWindow();
    CHECK(receive() <= maxPacketsAtOnce);
    CHECK(sender.statistics().state.bulkDelay > Duration(0));
    const ReadWatch watch(loop, target.descriptor(), [this] {
        if (receive() == packetCount)
            loop.stop();
    });
    Timer limit(loop, [this] { loop.stop(); });
    limit.start(Duration(5000));
    loop.run();
    CHECK(received == packetCount);
    const double seconds = std::chrono::duration<double>(loop.now() - begin).count();
    CHECK((packetCount - maxPacketsAtOnce) * datagramBytes / seconds < linkBytesPerSecond);
}

TEST_CASE_FIXTURE(Fixture, "queued packets are sent when the last upload route is removed, and when the process ends")
{
    install(1, RequestKind::Upload);
    sendWindow();
    CHECK(receive() <= maxPacketsAtOnce);
    install(2, RequestKind::Idempotent);
    CHECK(receive() == packetCount);
    install(3, RequestKind::Upload);
    sendWindow();
    CHECK(receive() < 2 * packetCount);
    sender.sendAll();
    CHECK(receive() == 2 * packetCount);
}
