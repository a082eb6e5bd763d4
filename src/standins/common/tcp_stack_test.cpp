#include "standins/common/tcp_stack.h"

#include <deque>
#include <doctest/doctest.h>

using namespace bergamotroute;

namespace {

struct Recorder final : TcpObserver {
    void onConnected() override { connected = true; }
    void onData(std::string_view part) override { data += part; }
    void onPeerFinished() override { finished = true; }
    void onEnded(TcpEnd end) override { ends.push_back(end); }
    bool connected = false;
    bool finished = false;
    std::string data;
    std::vector<TcpEnd> ends;
};

/// Two stacks joined by a link.
struct Link {
    Link()
        : client(1, [this](std::span<const std::byte> packet) { toServer.emplace_back(packet.begin(), packet.end()); })
        , server(2, [this](std::span<const std::byte> packet) { toClient.emplace_back(packet.begin(), packet.end()); })
    {
        std::error_code error;
        flow = { IpAddress::parse("10.0.0.1", error), IpAddress::parse("10.0.0.2", error), 1000, 80,
            TransportProtocol::Tcp };
    }

    void deliver(std::deque<std::vector<std::byte>>& queue, TcpStack& stack)
    {
        for (std::size_t rest = queue.size(); rest > 0; --rest) {
            const std::vector<std::byte> packet = std::move(queue.front());
            queue.pop_front();
            std::error_code error;
            stack.handle(parsePacket(packet, error), clock.now());
            CHECK_FALSE(error);
        }
    }

    void run(int rounds)
    {
        for (int i = 0; i < rounds; ++i) {
            deliver(toServer, server);
            deliver(toClient, client);
            client.advance(clock.now());
            server.advance(clock.now());
            clock.advance(Duration(10));
        }
    }

    ManualClock clock;
    std::deque<std::vector<std::byte>> toServer;
    std::deque<std::vector<std::byte>> toClient;
    TcpStack client;
    TcpStack server;
    FlowKey flow;
};

}

TEST_CASE("a stack connects, retransmits what was lost, and forgets a closed connection")
{
    // Guards against connections that stay in the table for good, and against a timer that is never run.
    Link link;
    Recorder clientSide;
    Recorder serverSide;
    TcpConnectionPointer accepted;
    link.server.listen([&](const FlowKey&, const TcpConnectionPointer& connection) {
        accepted = connection;
        connection->setObserver(&serverSide);
    });
    const TcpConnectionPointer connection = link.client.connect(link.flow, &clientSide, link.clock.now());
    link.toServer.clear();
    link.run(100);
    REQUIRE(clientSide.connected);
    connection->send("request", link.clock.now());
    connection->finish(link.clock.now());
    link.client.touch(link.flow, connection);
    link.toServer.clear();
    link.run(100);
    CHECK(serverSide.data == "request");
    CHECK(serverSide.finished);
    accepted->finish(link.clock.now());
    link.server.touch(reversed(link.flow), accepted);
    link.run(10);
    CHECK(clientSide.ends == std::vector<TcpEnd> { TcpEnd::Closed });
    CHECK(link.client.size() == 0);
    CHECK(link.server.size() == 0);
}

TEST_CASE("a packet of an unknown flow is answered with a reset that ends the flow")
{
    // Guards against a flow sent to the wrong backend server that goes unnoticed.
    Link link;
    Recorder clientSide;
    link.client.connect(link.flow, &clientSide, link.clock.now());
    link.run(2);
    CHECK(clientSide.ends == std::vector<TcpEnd> { TcpEnd::Reset });
    CHECK(link.client.size() == 0);
}
