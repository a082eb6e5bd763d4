#include "standins/common/tcp_connection.h"

#include <deque>
#include <doctest/doctest.h>
#include <random>
#include <vector>

using namespace bergamotroute;

namespace {

class RecordingObserver final : public TcpObserver {
public:
    void onConnected() override { connected = true; }
    void onData(std::string_view chunk) override { data += chunk; }
    void onPeerFinished() override { peerFinished = true; }
    void onEnded(TcpEnd end) override { ends.push_back(end); }

    bool connected = false;
    bool peerFinished = false;
    std::string data;
    std::vector<TcpEnd> ends;
};

FlowKey clientFlow()
{
    std::error_code error;
    return { IpAddress::parse("10.0.0.1", error), IpAddress::parse("10.9.0.1", error), 40'000, 80,
        TransportProtocol::Tcp };
}

FlowKey reversed(const FlowKey& flow)
{
    return { flow.destination, flow.source, flow.destinationPort, flow.sourcePort, flow.protocol };
}

/// Two ends joined by a link that drops, duplicates and reorders from a seed.
struct Link {
    struct Packet {
        bool toServer;
        std::vector<std::byte> bytes;
    };

    explicit Link(unsigned faultPercent)
        : faults(faultPercent)
        , client(clientFlow(), 0xfffffff0u, [this](auto packet) { transmit(true, packet); })
        , server(reversed(clientFlow()), 77, [this](auto packet) { transmit(false, packet); })
    {
        client.setObserver(&clientEvents);
        server.setObserver(&serverEvents);
    }

    bool faultHappens() { return random() % 100 < faults; }

    void transmit(bool toServer, std::span<const std::byte> packet)
    {
        if (faultHappens())
            return;
        Packet copy { toServer, { packet.begin(), packet.end() } };
        if (faultHappens())
            queue.push_back(copy);
        if (faultHappens())
            queue.push_front(copy);
        else
            queue.push_back(copy);
    }

    void run(Duration length)
    {
        const TimePoint end = clock.now() + length;
        while (clock.now() < end) {
            clock.advance(Duration(10));
            std::deque<Packet> due;
            due.swap(queue);
            for (const Packet& packet : due) {
                std::error_code error;
                (packet.toServer ? server : client).handlePacket(parsePacket(packet.bytes, error), clock.now());
            }
            client.advance(clock.now());
            server.advance(clock.now());
        }
    }

    ManualClock clock;
    std::mt19937 random { 11 };
    unsigned faults;
    std::deque<Packet> queue;
    RecordingObserver clientEvents;
    RecordingObserver serverEvents;
    TcpConnection client;
    TcpConnection server;
};

std::string pattern(std::size_t size)
{
    std::string text(size, '\0');
    for (std::size_t i = 0; i < size; ++i)
        text[i] = static_cast<char>(i * 31 + i / 251);
    return text;
}

}

// Guards against lost, repeated or reordered bytes being taken for a fault of the balancer.
TEST_CASE("data arrives whole over a link with loss, duplication and reordering")
{
    for (unsigned faults : { 0u, 5u, 20u }) {
        Link link(faults);
        const std::string request = pattern(5'000);
        const std::string answer = pattern(200'000);
        link.client.connect(link.clock.now());
        link.client.send(request, link.clock.now());
        link.run(Duration(20'000));
        CHECK(link.serverEvents.data == request);
        link.server.send(answer, link.clock.now());
        link.server.finish(link.clock.now());
        link.run(Duration(120'000));
        CHECK(link.clientEvents.data == answer);
        CHECK(link.clientEvents.peerFinished);
        link.client.finish(link.clock.now());
        link.run(Duration(20'000));
        CHECK(link.client.hasEnded());
    }
}

// Guards against a connection that never notices that its peer has gone.
TEST_CASE("an unanswered connection times out and a reset ends it at once")
{
    Link silent(100);
    silent.client.connect(silent.clock.now());
    silent.run(Duration(60'000));
    REQUIRE(silent.clientEvents.ends.size() == 1);
    CHECK(silent.clientEvents.ends[0] == TcpEnd::TimedOut);

    Link link(0);
    link.client.connect(link.clock.now());
    link.run(Duration(100));
    REQUIRE(link.server.isConnected());
    link.server.abort();
    link.run(Duration(100));
    REQUIRE(link.clientEvents.ends.size() == 1);
    CHECK(link.clientEvents.ends[0] == TcpEnd::Reset);
}

// Guards against a live idle connection that does not answer the balancer's probes.
TEST_CASE("a keep-alive probe is answered with an acknowledgement")
{
    Link link(0);
    link.client.connect(link.clock.now());
    link.run(Duration(100));
    const TcpFields probe { .flags = TcpAck, .sequence = 77, .acknowledgement = 0xfffffff1u };
    link.transmit(false, buildTcpPacket(reversed(clientFlow()), probe));
    link.clock.advance(Duration(10));
    std::error_code error;
    link.client.handlePacket(parsePacket(link.queue.front().bytes, error), link.clock.now());
    REQUIRE(link.queue.size() == 2);
    const PacketView answer = parsePacket(link.queue.back().bytes, error);
    CHECK(answer.tcpFlags == TcpAck);
    CHECK(answer.acknowledgement == 78);
}
