/// @file
/// Guards against packets that remain in the queues: when their turn comes, when overload is no longer controlled, and
/// when the process ends.

#include "bergamot-entry/paced_sender.h"

#include <doctest/doctest.h>

using namespace bergamotroute;

namespace {

constexpr double linkBytesPerSecond = 637'000;
constexpr unsigned packetCount = 40;
constexpr std::size_t datagramBytes = 1240;
/// Tokens of an idle link and of one wait for the next send are a few packets.
constexpr unsigned maxPacketsAtOnce = 15;

struct Fixture {
    EventLoop loop;
    CookieSteering steering { [] {
        CookieSteeringOptions options;
        options.linkBytesPerSecond = linkBytesPerSecond;
        return options;
    }() };
    UdpSocket socket;
    UdpSocket target;
    PacedSender sender { loop, steering, socket, linkBytesPerSecond };

    Fixture()
    {
        std::error_code error;
        REQUIRE_FALSE(socket.open(Endpoint::parse("127.0.0.1:0", error)));
        REQUIRE_FALSE(target.open(Endpoint::parse("127.0.0.1:0", error)));
    }

    void install(RequestKind kind)
    {
        RoutingDocument document;
        document.version = steering.documentVersion() + 1;
        document.routes.push_back({ "r", 0xc6120001, 443, kind, Duration(1000), Duration(1000), 0, {} });
        REQUIRE(steering.installDocument(std::move(document)));
        sender.finishBatch();
    }

    void sendWindow()
    {
        FlowPacket packet;
        packet.payloadBytes = 1200;
        for (unsigned i = 0; i < packetCount; ++i) {
            packet.sequence += packet.payloadBytes;
            sender.sendToTarget(packet, target.local(), {}, std::vector<std::byte>(datagramBytes));
        }
        sender.finishBatch();
    }

    /// @return number of all packets that the target has received.
    std::uint64_t received()
    {
        while (target.receive([](std::span<const std::byte> payload, const Endpoint&) {
            CHECK(payload.size() == datagramBytes);
        }) > 0) { }
        return target.traffic().receivedDatagrams;
    }
};

}

TEST_CASE_FIXTURE(Fixture, "with upload routes, packets are sent at the pace of the link")
{
    install(RequestKind::Upload);
    const TimePoint begin = loop.now();
    sendWindow();
    CHECK(received() <= maxPacketsAtOnce);
    CHECK(sender.statistics().state.bulkDelay > Duration(0));
    const ReadWatch watch(loop, target.descriptor(), [this] {
        if (received() == packetCount)
            loop.stop();
    });
    Timer limit(loop, [this] { loop.stop(); });
    limit.start(Duration(5000));
    loop.run();
    CHECK(received() == packetCount);
    const double seconds = std::chrono::duration<double>(loop.now() - begin).count();
    CHECK((packetCount - maxPacketsAtOnce) * datagramBytes / seconds < linkBytesPerSecond);
}

TEST_CASE_FIXTURE(
    Fixture, "without upload routes, and when the last one is removed or the process ends, nothing stays queued")
{
    install(RequestKind::Idempotent);
    sendWindow();
    CHECK(received() == packetCount);
    install(RequestKind::Upload);
    sendWindow();
    CHECK(received() <= packetCount + maxPacketsAtOnce);
    install(RequestKind::Idempotent);
    CHECK(received() == 2 * packetCount);
    install(RequestKind::Upload);
    sendWindow();
    CHECK(received() <= 2 * packetCount + maxPacketsAtOnce);
    sender.sendAll();
    CHECK(received() == 3 * packetCount);
}
