/// @file
/// Measures how the control cost of an entry host grows with the size of its steering group, and how large a
/// configuration is. docs/CAPACITY.md extrapolates from these slopes. Prints one JSON object a line.

#include "bergamotroute/entry_host.h"

#include "settings.pb.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <deque>
#include <iostream>
#include <json/json.h>
#include <malloc.h>
#include <memory>
#include <string>
#include <vector>

using namespace bergamotroute;

namespace {

constexpr std::size_t datagramOverheadBytes = 28;
constexpr Duration tick { 10 };
constexpr Duration settleTime { 40'000 };
constexpr Duration measureTime { 30'000 };
constexpr unsigned announcementLeaseSeconds = 6;
constexpr unsigned slotsPerTarget = 2;
constexpr std::uint64_t seed = 20'26;

/// Size of one run.
struct GroupSize {
    unsigned hosts;
    unsigned targets;
    unsigned services;
};

/// Result of one run, averaged over the hosts of the group.
struct GroupCost {
    double controlBytesPerSecond = 0;
    double messagesPerSecond = 0;
    double cpuPercent = 0;
    double memoryBytes = 0;
};

struct PendingMessage {
    HostIndex to;
    std::string bytes;
};

std::size_t allocatedBytes() { return mallinfo2().uordblks + mallinfo2().hblkhd; }

double processorSeconds() { return static_cast<double>(std::clock()) / CLOCKS_PER_SEC; }

class CountingSink final : public EntryHostSink {
public:
    explicit CountingSink(std::deque<PendingMessage>& queue)
        : m_queue(queue)
    {
    }

    void forwardPacket(const Endpoint&, std::span<const std::byte>) override { }
    void relayPacket(HostIndex, RelayKind, TargetId, std::span<const std::byte>) override { }
    void sendToCaller(std::span<const std::byte>) override { }
    void logEvent(ResultCode, std::string_view) override { }

    void sendMessage(HostIndex peer, const schema::PeerMessage& message) override
    {
        m_queue.push_back({ peer, message.SerializeAsString() });
        m_bytes += m_queue.back().bytes.size() + datagramOverheadBytes;
        ++m_messages;
    }

    void startHealthCheck(TargetId target, std::string_view, std::string_view) override { m_checks.push_back(target); }

    std::vector<TargetId> takeChecks() { return std::exchange(m_checks, {}); }
    std::uint64_t bytes() const { return m_bytes; }
    std::uint64_t messages() const { return m_messages; }

private:
    std::deque<PendingMessage>& m_queue;
    std::vector<TargetId> m_checks;
    std::uint64_t m_bytes = 0;
    std::uint64_t m_messages = 0;
};

std::string serviceName(unsigned number) { return "service-" + std::to_string(number); }

std::string addressOf(unsigned network, unsigned number)
{
    return "10." + std::to_string(network) + '.' + std::to_string(number / 200) + '.'
        + std::to_string(1 + number % 200);
}

schema::Configuration makeConfiguration(unsigned services)
{
    constexpr std::uint64_t hashKey = 7;
    schema::Configuration configuration;
    configuration.set_revision(1);
    configuration.set_flow_hash_key(hashKey);
    for (unsigned i = 0; i < services; ++i) {
        schema::Service& service = *configuration.add_services();
        service.set_name(serviceName(i));
        service.set_address(addressOf(200, i));
        service.add_ports(443);
        service.set_protocol(schema::TCP);
        service.add_allowed_networks("10.0.0.0/8");
        service.set_drain_deadline_seconds(28'800);
        service.set_udp_idle_seconds(30);
        service.set_probe_idle_seconds(900);
    }
    return configuration;
}

/// A steering group on one thread whose messages arrive in the next tick.
class Group {
public:
    explicit Group(const GroupSize& size)
        : m_size(size)
    {
        EntryHostOptions options;
        for (unsigned i = 0; i < size.hosts; ++i)
            options.peers.push_back({ hostName(i), "dc-" + std::to_string(i % 4) });
        for (unsigned i = 0; i < size.hosts; ++i) {
            options.host = hostName(i);
            options.dataCentre = options.peers[i].dataCentre;
            options.incarnation = i + 1;
            options.seed = seed + i;
            options.flowCacheEntries = 1024;
            m_sinks.push_back(std::make_unique<CountingSink>(m_queue));
            m_hosts.push_back(std::make_unique<EntryHost>(options, *m_sinks.back(), m_clock.now()));
            m_hosts.back()->handleConfiguration(makeConfiguration(size.services), m_clock.now());
        }
    }

    GroupCost measure()
    {
        run(settleTime);
        const std::uint64_t bytesBefore = total(&CountingSink::bytes);
        const std::uint64_t messagesBefore = total(&CountingSink::messages);
        const double processorBefore = processorSeconds();
        run(measureTime);
        const double seconds = std::chrono::duration<double>(measureTime).count() * m_size.hosts;
        GroupCost cost;
        cost.controlBytesPerSecond = static_cast<double>(total(&CountingSink::bytes) - bytesBefore) / seconds;
        cost.messagesPerSecond = static_cast<double>(total(&CountingSink::messages) - messagesBefore) / seconds;
        cost.cpuPercent = 100 * (processorSeconds() - processorBefore) / seconds;
        return cost;
    }

private:
    static std::string hostName(unsigned number) { return "entry-" + std::to_string(100 + number); }

    std::uint64_t total(std::uint64_t (CountingSink::*counter)() const) const
    {
        std::uint64_t sum = 0;
        for (const auto& sink : m_sinks)
            sum += (sink.get()->*counter)();
        return sum;
    }

    void run(Duration length)
    {
        const TimePoint end = m_clock.now() + length;
        while (m_clock.now() < end) {
            m_clock.advance(tick);
            announceDue();
            deliver();
            for (std::size_t i = 0; i < m_hosts.size(); ++i)
                advanceHost(i);
        }
    }

    void advanceHost(std::size_t number)
    {
        EntryHost& host = *m_hosts[number];
        if (host.nextDeadline() <= m_clock.now())
            host.advance(m_clock.now());
        for (TargetId target : m_sinks[number]->takeChecks()) {
            schema::LoadReport report;
            report.set_open_connections(2000);
            report.set_busy_slots(1);
            report.set_time_ms(m_clock.wallMilliseconds());
            host.handleHealthResult(target, true, m_clock.now());
            host.handleLoadReport(target, report, m_clock.now());
        }
    }

    void deliver()
    {
        std::deque<PendingMessage> due;
        due.swap(m_queue);
        for (const PendingMessage& pending : due) {
            schema::PeerMessage message;
            message.ParseFromString(pending.bytes);
            m_hosts[pending.to]->handleMessage(message, m_clock.now());
        }
    }

    /// Each target announces itself every third of its lease.
    void announceDue()
    {
        constexpr Duration interval { announcementLeaseSeconds * 1000 / 3 };
        if (m_clock.now() < m_nextAnnouncement)
            return;
        m_nextAnnouncement = m_clock.now() + interval;
        for (unsigned i = 0; i < m_size.targets; ++i) {
            schema::Announcement announcement;
            announcement.set_service(serviceName(i % m_size.services));
            announcement.set_address(addressOf(1, i));
            announcement.set_fou_port(5555);
            announcement.set_slots(slotsPerTarget);
            announcement.set_data_centre("dc-" + std::to_string(i % 4));
            announcement.set_state(schema::READY);
            announcement.set_lease_seconds(announcementLeaseSeconds);
            announcement.set_health_url("http://" + announcement.address() + ":8080/health");
            announcement.set_load_url("http://" + announcement.address() + ":8080/load");
            announcement.set_incarnation(1);
            std::error_code error;
            m_hosts[i % m_hosts.size()]->handleAnnouncement(
                announcement, IpAddress::parse(announcement.address(), error), m_clock.now());
        }
    }

    GroupSize m_size;
    ManualClock m_clock;
    TimePoint m_nextAnnouncement;
    std::deque<PendingMessage> m_queue;
    std::vector<std::unique_ptr<CountingSink>> m_sinks;
    std::vector<std::unique_ptr<EntryHost>> m_hosts;
};

void printResult(const std::string& name, double value, const char* unit, const GroupSize& size)
{
    Json::Value line;
    line["name"] = name;
    line["value"] = value;
    line["unit"] = unit;
    line["hosts"] = size.hosts;
    line["targets"] = size.targets;
    line["services"] = size.services;
    line["command"] = "build/bin/bergamot-capacity-bench";
    line["seed"] = static_cast<Json::UInt64>(seed);
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    std::cout << Json::writeString(writer, line) << std::endl;
}

void measureGroup(const GroupSize& size)
{
    const std::size_t before = allocatedBytes();
    auto group = std::make_unique<Group>(size);
    GroupCost cost = group->measure();
    cost.memoryBytes = static_cast<double>(allocatedBytes() - before) / size.hosts;
    printResult("entry_control_bytes_per_second", cost.controlBytesPerSecond, "B/s", size);
    printResult("entry_control_messages_per_second", cost.messagesPerSecond, "1/s", size);
    printResult("entry_control_cpu_percent", cost.cpuPercent, "% of a core", size);
    printResult("entry_control_memory", cost.memoryBytes, "B", size);
}

void measureConfiguration(unsigned services, unsigned overrides)
{
    schema::Configuration configuration = makeConfiguration(services);
    for (unsigned i = 0; i < overrides; ++i) {
        schema::BackendOverride& backend = *configuration.add_backends();
        backend.set_service(serviceName(i % services));
        backend.set_address(addressOf(1, i));
        backend.set_weight_percent(100);
        backend.set_state(schema::BACKEND_DRAIN);
    }
    const GroupSize size { 0, overrides, services };
    printResult("configuration_bytes", static_cast<double>(configuration.ByteSizeLong()), "B", size);
    printResult("configuration_memory", static_cast<double>(configuration.SpaceUsedLong()), "B", size);
}

}

int main()
{
    for (unsigned hosts : { 3u, 5u, 7u, 9u })
        measureGroup({ hosts, 18, 2 });
    for (unsigned targets : { 18u, 36u, 54u, 72u })
        measureGroup({ 9, targets, 2 });
    for (unsigned services : { 2u, 4u, 7u })
        measureGroup({ 9, 52, services });
    for (unsigned scale : { 1u, 10u, 49u })
        measureConfiguration(20 * scale, 165 * scale);
    return 0;
}
