#include "libbergamotio/udp_socket.h"

#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace bergamotroute;

TEST_CASE("a batch larger than one system call arrives whole and in order")
{
    // Guards against datagrams that are lost or repeated at the edge of a batch.
    std::error_code error;
    UdpSocket sender;
    UdpSocket receiver;
    REQUIRE_FALSE(sender.open(Endpoint::parse("127.0.0.1:0", error)));
    REQUIRE_FALSE(receiver.open(Endpoint::parse("127.0.0.1:0", error)));
    constexpr std::size_t total = 2 * UdpSocket::batchSize + 1;
    const std::byte header { 7 };
    for (std::size_t i = 0; i < total; ++i) {
        const std::string text = std::to_string(i);
        sender.queue(receiver.local(), std::span(&header, 1), std::as_bytes(std::span(text)));
    }
    sender.flush();
    std::vector<std::string> seen;
    const auto collect = [&](std::span<const std::byte> payload, const Endpoint& source) {
        CHECK(source == sender.local());
        CHECK(payload[0] == header);
        seen.emplace_back(reinterpret_cast<const char*>(payload.data()) + 1, payload.size() - 1);
    };
    while (receiver.receive(collect) > 0) { }
    REQUIRE(seen.size() == total);
    for (std::size_t i = 0; i < total; ++i)
        CHECK(seen[i] == std::to_string(i));
    CHECK(sender.sendErrors() == 0);
}

TEST_CASE("a socket for messages carries datagrams larger than a packet")
{
    // Guards against table updates that the peer socket refuses: with 14 targets eight of nine entry hosts never became
    // ready, because the table did not fit into 4,096 bytes.
    std::error_code error;
    UdpSocket sender(UdpSocket::messageBytes);
    UdpSocket receiver(UdpSocket::messageBytes);
    REQUIRE_FALSE(sender.open(Endpoint::parse("127.0.0.1:0", error)));
    REQUIRE_FALSE(receiver.open(Endpoint::parse("127.0.0.1:0", error)));
    const std::vector<std::byte> message(UdpSocket::messageBytes, std::byte { 3 });
    sender.queue(receiver.local(), {}, message);
    sender.flush();
    std::size_t size = 0;
    receiver.receive([&](std::span<const std::byte> payload, const Endpoint&) { size = payload.size(); });
    CHECK(size == message.size());
    CHECK(sender.sendErrors() == 0);
    UdpSocket packets;
    REQUIRE_FALSE(packets.open(Endpoint::parse("127.0.0.1:0", error)));
    packets.queue(receiver.local(), {}, message);
    CHECK(packets.sendErrors() == 1);
}
