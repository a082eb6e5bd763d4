/// @file
/// Time of one packet decision and memory of one flow at 500,000 flows.

#include "bergamotroute/entry_host.h"
#include "bergamotroute/packet_builder.h"

#include <algorithm>
#include <array>
#include <benchmark/benchmark.h>
#include <chrono>
#include <cstddef>
#include <deque>
#include <malloc.h>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace bergamotroute;

namespace {

constexpr std::size_t flowCount = 500'000;
constexpr std::size_t hostCount = 9;
constexpr unsigned targetCount = 14;
constexpr std::size_t cacheEntryBytes = 24;
constexpr std::uint64_t seed = 20'26;
constexpr std::size_t packetBytes = 52;
/// Datagrams that the daemon reads together.
constexpr std::size_t batchSize = 64;

/// A control message on its way between two hosts of the group.
struct PendingMessage {
    std::size_t to;
    schema::PeerMessage message;
};

class CountingSink final : public EntryHostSink {
public:
    explicit CountingSink(std::deque<PendingMessage>& queue)
        : m_queue(queue)
    {
    }

    void forwardPacket(const Endpoint& target, std::span<const std::byte>) override
    {
        benchmark::DoNotOptimize(target.port);
        ++forwarded;
    }
    void relayPacket(HostIndex, RelayKind, TargetId, std::span<const std::byte>) override { }
    void sendToCaller(std::span<const std::byte>) override { }
    void sendMessage(HostIndex peer, const schema::PeerMessage& message) override
    {
        m_queue.push_back({ peer, message });
    }
    void startHealthCheck(TargetId, std::string_view, std::string_view) override { }
    void logEvent(ResultCode, std::string_view) override { }

    std::uint64_t forwarded = 0;

private:
    std::deque<PendingMessage>& m_queue;
};

std::size_t allocatedBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

schema::Configuration makeConfiguration()
{
    schema::Configuration configuration;
    configuration.set_revision(1);
    configuration.set_flow_hash_key(seed);
    schema::Service& service = *configuration.add_services();
    service.set_name("ordering");
    service.set_address("10.9.0.1");
    service.add_ports(443);
    service.set_protocol(schema::TCP);
    service.add_allowed_networks("10.0.0.0/8");
    return configuration;
}

std::vector<std::byte> makePacket(std::size_t number, std::uint8_t flags)
{
    std::error_code error;
    const std::array<std::uint8_t, 4> source { 10, 100, static_cast<std::uint8_t>(number >> 16),
        static_cast<std::uint8_t>(number >> 8) };
    const FlowKey flow { IpAddress::fromV4(source), IpAddress::parse("10.9.0.1", error),
        static_cast<std::uint16_t>(10'000 + (number & 0xff)), 443, TransportProtocol::Tcp };
    constexpr std::array<std::byte, 12> data {};
    const bool isFirst = (flags & TcpSyn) != 0;
    return buildTcpPacket(flow, { .flags = flags, .sequence = 1 },
        isFirst ? std::span<const std::byte>() : std::span<const std::byte>(data));
}

/// One host of a group of nine with all flows in its cache and all buckets settled. It owns a ninth of the buckets.
class LoadedHost {
public:
    LoadedHost()
    {
        for (std::size_t i = 0; i < hostCount; ++i)
            startHost(i);
        announceTargets();
        becomeReady();
        const std::size_t before = allocatedBytes() - cacheBytes();
        openFlows();
        bytesPerFlow = static_cast<double>(allocatedBytes() - before) / flowCount;
        buildPackets();
    }

    void handle(std::size_t position)
    {
        benchmark::DoNotOptimize(m_hosts[0]->handlePacket(packetAt(position), m_clock.now()));
    }

    void handleBatch(std::size_t position)
    {
        std::array<std::span<const std::byte>, batchSize> packets;
        for (std::size_t i = 0; i < batchSize; ++i)
            packets[i] = packetAt(position + i);
        benchmark::DoNotOptimize(m_hosts[0]->handlePackets(packets, m_clock.now()));
    }

    std::uint64_t forwarded() const { return m_sinks[0]->forwarded; }
    std::uint32_t cachedFlows() const { return m_hosts[0]->dump(m_clock.now()).cached_flows(); }

    double bytesPerFlow = 0;

private:
    std::span<const std::byte> packetAt(std::size_t position) const
    {
        return { m_packets.data() + position % flowCount * packetBytes, packetBytes };
    }

    /// The flow cache is allocated when the host starts and counts as memory of its flows.
    static std::size_t cacheBytes()
    {
        return std::size_t { EntryHostOptions().flowCacheEntries } * 3 / 2 * cacheEntryBytes;
    }

    void startHost(std::size_t index)
    {
        EntryHostOptions options;
        for (std::size_t i = 0; i < hostCount; ++i)
            options.peers.push_back({ "e" + std::to_string(i), "dc0" });
        options.host = options.peers[index].host;
        options.dataCentre = "dc0";
        options.incarnation = index + 1;
        if (index != 0)
            options.flowCacheEntries = 1024;
        m_sinks.push_back(std::make_unique<CountingSink>(m_queue));
        m_hosts.push_back(std::make_unique<EntryHost>(options, *m_sinks.back(), m_clock.now()));
        m_hosts.back()->handleConfiguration(makeConfiguration(), m_clock.now());
    }

    void announceTargets()
    {
        for (unsigned i = 0; i < targetCount; ++i) {
            schema::Announcement announcement;
            announcement.set_service("ordering");
            announcement.set_address("10.1.0." + std::to_string(i + 1));
            announcement.set_fou_port(5555);
            announcement.set_slots(2);
            announcement.set_data_centre("dc0");
            announcement.set_state(schema::READY);
            announcement.set_lease_seconds(300);
            announcement.set_incarnation(1);
            std::error_code error;
            m_hosts[0]->handleAnnouncement(
                announcement, IpAddress::parse(announcement.address(), error), m_clock.now());
        }
    }

    void becomeReady()
    {
        constexpr int readySteps = 100;
        for (int i = 0; i < readySteps; ++i) {
            m_clock.advance(Duration(100));
            for (auto& host : m_hosts)
                host->advance(m_clock.now());
            for (; !m_queue.empty(); m_queue.pop_front())
                m_hosts[m_queue.front().to]->handleMessage(m_queue.front().message, m_clock.now());
        }
    }

    void openFlows()
    {
        for (std::size_t i = 0; i < flowCount; ++i)
            m_hosts[0]->handlePacket(makePacket(i, TcpSyn), m_clock.now());
    }

    void buildPackets()
    {
        std::vector<std::size_t> order(flowCount);
        for (std::size_t i = 0; i < flowCount; ++i)
            order[i] = i;
        std::shuffle(order.begin(), order.end(), std::mt19937_64(seed));
        m_packets.reserve(flowCount * packetBytes);
        for (const std::size_t number : order) {
            const auto packet = makePacket(number, TcpAck | TcpPsh);
            m_packets.insert(m_packets.end(), packet.begin(), packet.end());
        }
    }

    ManualClock m_clock;
    std::deque<PendingMessage> m_queue;
    std::vector<std::unique_ptr<CountingSink>> m_sinks;
    std::vector<std::unique_ptr<EntryHost>> m_hosts;
    std::vector<std::byte> m_packets;
};

LoadedHost& loadedHost()
{
    static LoadedHost host;
    return host;
}

/// Runs batches of packets of established flows in random order, so that the caches of the processor do not help.
template <typename HandleBatch> void measure(benchmark::State& state, HandleBatch handleBatch)
{
    LoadedHost& host = loadedHost();
    std::vector<double> nanoseconds;
    std::size_t position = 0;
    const std::uint64_t before = host.forwarded();
    for ([[maybe_unused]] auto step : state) {
        const auto start = std::chrono::steady_clock::now();
        handleBatch(host, position);
        const std::chrono::duration<double, std::nano> spent = std::chrono::steady_clock::now() - start;
        nanoseconds.push_back(spent.count() / batchSize);
        position = (position + batchSize) % flowCount;
    }
    if (host.forwarded() - before != nanoseconds.size() * batchSize)
        state.SkipWithError("a packet was not forwarded");
    const auto middle = nanoseconds.begin() + static_cast<std::ptrdiff_t>(nanoseconds.size() / 2);
    std::nth_element(nanoseconds.begin(), middle, nanoseconds.end());
    state.counters["median_ns"] = *middle;
    state.counters["bytes_per_flow"] = host.bytesPerFlow;
    state.counters["cached_flows"] = host.cachedFlows();
}

void decideSettledCachedBatch(benchmark::State& state)
{
    measure(state, [](LoadedHost& host, std::size_t position) { host.handleBatch(position); });
}

void decideSettledCachedSingle(benchmark::State& state)
{
    measure(state, [](LoadedHost& host, std::size_t position) {
        for (std::size_t i = 0; i < batchSize; ++i)
            host.handle(position + i);
    });
}

BENCHMARK(decideSettledCachedBatch)->MinTime(2.0);
BENCHMARK(decideSettledCachedSingle)->MinTime(2.0);

}

BENCHMARK_MAIN();
