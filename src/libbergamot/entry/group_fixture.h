#pragma once

/// @file
/// Test fixture: a steering group of entry hosts, with backend servers and callers, connected by a simulated network
/// that delays and drops control messages.

#include "bergamotroute/entry_host.h"
#include "bergamotroute/packet_builder.h"

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>

namespace bergamotroute {

/// Runs hosts on one manual clock with a fixed seed. Each packet of a caller is delivered to a random host.
class GroupFixture {
public:
    /// Delay and loss of control messages. Delays are uniformly distributed between the two bounds.
    struct ControlFaults {
        Duration minDelay { 1 };
        Duration maxDelay { 3 };
        unsigned lossPercent = 0;
    };

    struct Backend {
        std::string service;
        std::string address;
        std::string dataCentre;
        schema::BackendState state = schema::READY;
        bool isAnnounced = true;
        std::set<FlowKey> flows;
        std::size_t accepted = 0;
        TimePoint lastAccepted;
    };

    struct Caller {
        FlowKey flow;
        Backend* backend = nullptr;
        /// Index of the only host to which the fabric delivers packets of this caller, or -1 for a random one.
        int onlyHost = -1;
        bool broken = false;
        bool closed = false;
        TimePoint lastDelivered;
        TimePoint nextPacket;
    };

    explicit GroupFixture(std::size_t hostCount, std::uint64_t seed = 1)
        : random(seed)
        , m_hostCount(hostCount)
    {
        configuration.set_revision(1);
        configuration.set_flow_hash_key(99);
        addService("ordering", "10.9.0.1", schema::TCP);
        for (std::size_t i = 0; i < hostCount; ++i)
            hostNames.push_back("e" + std::to_string(i));
        m_sinks.resize(hostCount);
        hosts.resize(hostCount);
        extraControlDelay.resize(hostCount);
        partition.resize(hostCount);
        for (std::size_t i = 0; i < hostCount; ++i)
            startHost(i);
    }

    schema::Service& addService(const std::string& name, const std::string& address, schema::Protocol protocol)
    {
        schema::Service& service = *configuration.add_services();
        service.set_name(name);
        service.set_address(address);
        service.add_ports(443);
        service.set_protocol(protocol);
        service.add_allowed_networks("10.0.0.0/8");
        return service;
    }

    Backend& addBackend(const std::string& service, const std::string& address)
    {
        std::unique_ptr<Backend>& backend = backends[address];
        backend = std::make_unique<Backend>();
        backend->service = service;
        backend->address = address;
        backend->dataCentre = dataCentreOf(backends.size() % 3);
        announce(*backend);
        return *backend;
    }

    static std::string dataCentreOf(std::size_t index) { return "dc" + std::to_string(index % 3); }

    void startHost(std::size_t index)
    {
        EntryHostOptions options;
        options.host = hostNames[index];
        options.dataCentre = dataCentreOf(index);
        for (std::size_t i = 0; i < m_hostCount; ++i)
            options.peers.push_back({ hostNames[i], dataCentreOf(i) });
        options.incarnation = ++m_incarnations;
        options.flowCacheEntries = 65'536;
        m_sinks[index] = std::make_unique<Sink>(*this, index);
        hosts[index] = std::make_unique<EntryHost>(options, *m_sinks[index], now());
        hosts[index]->handleConfiguration(configuration, now());
        nextHops.insert(index);
    }

    /// Stops a host at once without a leave; the fabric keeps sending it packets for one second.
    void killHost(std::size_t index)
    {
        hosts[index].reset();
        schedule(Duration(1000), [this, index] { nextHops.erase(index); });
    }

    void configureAll()
    {
        configuration.set_revision(configuration.revision() + 1);
        for (auto& host : hosts) {
            if (host)
                host->handleConfiguration(configuration, now());
        }
    }

    void setState(Backend& backend, schema::BackendState state)
    {
        backend.state = state;
        announce(backend);
    }

    void announce(Backend& backend)
    {
        schema::Announcement announcement;
        announcement.set_service(backend.service);
        announcement.set_address(backend.address);
        announcement.set_fou_port(5555);
        announcement.set_slots(2);
        announcement.set_data_centre(backend.dataCentre);
        announcement.set_state(backend.state);
        announcement.set_lease_seconds(6);
        announcement.set_incarnation(1);
        std::error_code error;
        EntryHost* chosen = nullptr;
        const std::size_t offset = random() % m_hostCount;
        for (std::size_t i = 0; i < m_hostCount; ++i) {
            const std::size_t index = (offset + i) % m_hostCount;
            const bool isLocal = dataCentreOf(index) == backend.dataCentre;
            if (hosts[index] && !hosts[index]->hasLeft() && (isLocal || chosen == nullptr))
                chosen = hosts[index].get();
        }
        chosen->handleAnnouncement(announcement, IpAddress::parse(backend.address, error), now());
    }

    TimePoint now() const { return m_clock.now(); }

    void schedule(Duration delay, std::function<void()> action)
    {
        m_events.push({ now() + delay, ++m_sequence, std::move(action) });
    }

    /// Advances the clock in steps of 1 ms and opens flows at a constant rate.
    void run(Duration span, unsigned newFlowsPerSecond = 0)
    {
        const TimePoint end = now() + span;
        std::int64_t flowCredit = 0;
        while (now() < end) {
            m_clock.advance(Duration(1));
            flowCredit += newFlowsPerSecond;
            for (; flowCredit >= 1000; flowCredit -= 1000)
                openFlow("10.9.0.1", TransportProtocol::Tcp);
            step();
        }
    }

    Caller& openFlow(const std::string& service, TransportProtocol protocol)
    {
        ++m_flows;
        const std::array<std::uint8_t, 4> source { 10, 100, static_cast<std::uint8_t>(m_flows >> 14),
            static_cast<std::uint8_t>(m_flows >> 6) };
        std::error_code error;
        FlowKey flow { IpAddress::fromV4(source), IpAddress::parse(service, error),
            static_cast<std::uint16_t>(10'000 + (m_flows & 63)), 443, protocol };
        callers.push_back(std::make_unique<Caller>());
        Caller& caller = *callers.back();
        caller.flow = flow;
        caller.lastDelivered = now();
        caller.nextPacket = now();
        m_callersByFlow[flow] = &caller;
        return caller;
    }

    std::size_t countBroken() const
    {
        return static_cast<std::size_t>(
            std::count_if(callers.begin(), callers.end(), [](const auto& caller) { return caller->broken; }));
    }

    /// @return number of open flows whose last packet reached the backend server more than 5 s ago.
    std::size_t countStalled() const
    {
        return static_cast<std::size_t>(std::count_if(callers.begin(), callers.end(), [this](const auto& caller) {
            return !caller->closed && !caller->broken && caller->lastDelivered + Duration(5000) < now();
        }));
    }

    std::size_t countReady() const
    {
        return static_cast<std::size_t>(std::count_if(hosts.begin(), hosts.end(), [this](const auto& host) {
            return host && host->dump(now()).member_state() == schema::MEMBER_READY && host->dump(now()).has_quorum();
        }));
    }

    /// Delivers a packet to a random host of nextHops.
    void deliverToRandomNextHop(const std::vector<std::byte>& packet)
    {
        std::vector<std::size_t> candidates(nextHops.begin(), nextHops.end());
        deliver(candidates[random() % candidates.size()], packet);
    }

    void deliver(std::size_t host, const std::vector<std::byte>& packet)
    {
        schedule(Duration(1), [this, host, packet] {
            if (hosts[host])
                hosts[host]->handlePacket(packet, now());
        });
    }

    schema::Configuration configuration;
    std::mt19937_64 random;
    ControlFaults faults;
    std::vector<std::string> hostNames;
    std::vector<std::unique_ptr<EntryHost>> hosts;
    /// Additional delay of control messages to each host, by index.
    std::vector<Duration> extraControlDelay;
    /// Partition number of each host; hosts with different numbers cannot reach each other.
    std::vector<int> partition;
    /// Indexes of the hosts to which the fabric sends packets.
    std::set<std::size_t> nextHops;
    std::map<std::string, std::unique_ptr<Backend>> backends;
    std::vector<std::unique_ptr<Caller>> callers;
    std::size_t wrongServicePackets = 0;
    std::size_t resets = 0;
    std::size_t controlBytes = 0;

private:
    class Sink;
    std::vector<std::unique_ptr<EntryHostSink>> m_sinks;

    class Sink final : public EntryHostSink {
    public:
        Sink(GroupFixture& group, std::size_t self)
            : m_group(group)
            , m_self(self)
        {
        }

        void forwardPacket(const Endpoint& target, std::span<const std::byte> packet) override
        {
            m_group.schedule(Duration(1),
                [&group = m_group, address = target.address.toString(),
                    copy = std::vector(packet.begin(), packet.end())] { group.receiveAtBackend(address, copy); });
        }

        void relayPacket(HostIndex peer, RelayKind kind, TargetId target, std::span<const std::byte> packet) override
        {
            m_group.schedule(Duration(1),
                [&group = m_group, self = m_self, peer, kind, target,
                    copy = std::vector(packet.begin(), packet.end())] {
                    if (group.hosts[peer] && group.partition[peer] == group.partition[self])
                        group.hosts[peer]->handleRelayedPacket(
                            static_cast<HostIndex>(self), kind, target, copy, group.now());
                });
        }

        void sendToCaller(std::span<const std::byte>) override { ++m_group.resets; }

        void sendMessage(HostIndex peer, const schema::PeerMessage& message) override
        {
            m_group.sendControl(m_self, peer, message);
        }

        void startHealthCheck(TargetId target, std::string_view, std::string_view) override
        {
            m_group.schedule(Duration(1), [&group = m_group, self = m_self, target] {
                if (group.hosts[self])
                    group.hosts[self]->handleHealthResult(target, true, group.now());
            });
        }

        void logEvent(ResultCode, std::string_view) override { }

    private:
        GroupFixture& m_group;
        std::size_t m_self;
    };

    struct Event {
        TimePoint time;
        std::uint64_t sequence = 0;
        std::function<void()> action;
        bool operator<(const Event& other) const
        {
            return std::tie(time, sequence) > std::tie(other.time, other.sequence);
        }
    };

    void sendControl(std::size_t from, HostIndex to, const schema::PeerMessage& message)
    {
        controlBytes += message.ByteSizeLong() + 28;
        if (random() % 100 < faults.lossPercent)
            return;
        const auto spread = static_cast<std::uint64_t>((faults.maxDelay - faults.minDelay).count()) + 1;
        const Duration delay = faults.minDelay + Duration(random() % spread) + extraControlDelay[to];
        schedule(delay, [this, from, to, message] {
            if (hosts[to] && partition[from] == partition[to])
                hosts[to]->handleMessage(message, now());
        });
    }

    void step()
    {
        while (!m_events.empty() && m_events.top().time <= now()) {
            const Event event = m_events.top();
            m_events.pop();
            event.action();
        }
        for (auto& host : hosts) {
            if (host && host->nextDeadline() <= now())
                host->advance(now());
        }
        if (now() >= m_nextAnnouncement) {
            m_nextAnnouncement = now() + Duration(2000);
            for (auto& [address, backend] : backends) {
                if (backend->isAnnounced)
                    announce(*backend);
            }
        }
        for (auto& caller : callers) {
            if (!caller->closed && !caller->broken && caller->nextPacket <= now())
                sendNext(*caller);
        }
    }

    void send(const Caller& caller, const std::vector<std::byte>& packet)
    {
        if (caller.onlyHost >= 0)
            deliver(static_cast<std::size_t>(caller.onlyHost), packet);
        else
            deliverToRandomNextHop(packet);
    }

    void sendNext(Caller& caller)
    {
        constexpr std::array<std::byte, 4> data {};
        const bool isOpen = caller.backend != nullptr;
        // Callers retransmit a packet that does not reach the backend server.
        caller.nextPacket = now() + Duration(isOpen ? 400 : 1000);
        if (caller.flow.protocol == TransportProtocol::Udp)
            send(caller, buildUdpPacket(caller.flow, data));
        else if (!isOpen)
            send(caller, buildTcpPacket(caller.flow, { .flags = TcpSyn, .sequence = 1 }));
        else
            send(caller, buildTcpPacket(caller.flow, { .flags = TcpAck | TcpPsh, .sequence = 2 }, data));
    }

    /// Handles a packet as the network stack of a backend server does.
    void receiveAtBackend(const std::string& address, const std::vector<std::byte>& packet)
    {
        std::error_code error;
        const PacketView view = parsePacket(packet, error);
        Backend& backend = *backends.at(address);
        for (const schema::Service& service : configuration.services()) {
            if (service.address() == view.flow.destination.toString() && service.name() != backend.service)
                ++wrongServicePackets;
        }
        const auto found = m_callersByFlow.find(view.flow);
        if (found == m_callersByFlow.end())
            return;
        Caller& caller = *found->second;
        const bool opensFlow
            = view.isFirstPacket() || (view.flow.protocol == TransportProtocol::Udp && !caller.backend);
        if (opensFlow && backend.flows.insert(view.flow).second) {
            ++backend.accepted;
            backend.lastAccepted = now();
        }
        const bool isAnswered = opensFlow && caller.backend == nullptr;
        if (isAnswered)
            caller.backend = &backend;
        const bool isKnown = caller.backend == &backend || opensFlow;
        caller.broken = caller.broken || (!isKnown && !caller.closed);
        if (caller.backend != &backend)
            return;
        caller.lastDelivered = now();
        // Half of the flows send so rarely that most hosts have not seen a packet of them when a bucket moves.
        const bool isSlow = view.flow.sourcePort % 2 == 0;
        const std::uint64_t pause = isSlow ? 2000 + random() % 2000 : 300 + random() % 400;
        caller.nextPacket = now() + Duration(isAnswered ? 1 : pause);
    }

    ManualClock m_clock;
    std::size_t m_hostCount;
    std::uint64_t m_incarnations = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_flows = 0;
    std::map<FlowKey, Caller*> m_callersByFlow;
    std::priority_queue<Event> m_events;
    TimePoint m_nextAnnouncement;
};

}
