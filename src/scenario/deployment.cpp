#include "scenario/deployment.h"

#include <algorithm>

namespace bergamotroute::scenario {

namespace {

    constexpr SimTime tickInterval = 5 * microsecondsPerMillisecond;
    constexpr std::uint16_t fouPort = 5555;

    PacketBytes share(std::span<const std::byte> packet)
    {
        return std::make_shared<const std::vector<std::byte>>(packet.begin(), packet.end());
    }

}

Deployment::Deployment(DeploymentOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_network(m_random)
    , m_flows(m_queue)
    , m_callers(
          m_queue, m_random, m_flows,
          [this](FlowId flow, std::vector<std::byte> packet) { sendFromCaller(flow, std::move(packet)); },
          [this](const Flow& flow) { return isServed(flow); })
    , m_configuration(m_queue, m_random, m_network)
{
    m_configuration.setHosts(m_hosts);
}

void Deployment::addHost(const std::string& name, const std::string& dataCentre)
{
    EntryHostOptions hostOptions = m_options.hostOptions;
    hostOptions.host = name;
    hostOptions.dataCentre = dataCentre;
    const NodeId node = m_network.addNode(name, dataCentre);
    m_hosts.push_back(std::make_unique<SimulatedHost>(hostOptions, node, *this, m_flows, m_queue, m_options.factory));
}

std::size_t Deployment::addService(const ServiceSetup& service)
{
    m_services.push_back(service);
    const std::size_t index = m_services.size() - 1;
    m_services.back().backendCount = 0;
    addBackends(index, service.backendCount);
    return index;
}

void Deployment::addBackends(std::size_t service, std::uint32_t count)
{
    ServiceSetup& setup = m_services[service];
    std::error_code error;
    for (std::uint32_t added = 0; added < count; ++added) {
        BackendIdentity identity;
        identity.name = setup.alias + '.' + std::to_string(++setup.backendCount);
        identity.index = static_cast<BackendIndex>(m_backends.size());
        identity.service = static_cast<std::uint16_t>(service);
        const std::string suffix
            = std::to_string(m_nextBackendAddress / 250) + '.' + std::to_string(m_nextBackendAddress % 250 + 1);
        identity.address = IpAddress::parse("10.9." + suffix, error);
        ++m_nextBackendAddress;
        identity.fouPort = fouPort;
        identity.dataCentre = dataCentres[(setup.backendCount - 1) % dataCentres.size()];
        identity.slots = setup.slots;
        identity.serviceAddresses = { serviceEndpoint(service).address };
        BackendRecord record;
        record.node = m_network.addNode(identity.name, identity.dataCentre);
        record.target = targetId(setup.definition.name(), identity.address);
        m_backendRecords.push_back(record);
        m_backends.push_back(
            std::make_unique<BackendServer>(identity, m_flows, [this](const Reply& reply) { sendFromBackend(reply); }));
        if (m_isStarted)
            renewAnnouncement(m_backends.size() - 1);
    }
}

std::vector<PeerConfig> Deployment::peers() const
{
    std::vector<PeerConfig> list;
    for (const auto& host : m_hosts)
        list.push_back({ host->name(), host->dataCentre() });
    std::sort(list.begin(), list.end(), [](const PeerConfig& a, const PeerConfig& b) { return a.host < b.host; });
    return list;
}

std::uint64_t Deployment::newIncarnation()
{
    constexpr int randomBits = 20;
    return (m_queue.clock().wallMilliseconds() << randomBits) + m_random.below(1ULL << randomBits);
}

void Deployment::start()
{
    m_isStarted = true;
    m_configuration.accept([this](schema::Configuration& configuration) {
        configuration.set_flow_hash_key(m_random.bits());
        for (const ServiceSetup& service : m_services)
            *configuration.add_services() = service.definition;
        for (const std::string& dataCentre : dataCentres)
            configuration.add_data_centres()->set_name(dataCentre);
    });
    for (std::size_t host = 0; host < m_hosts.size(); ++host)
        restartHost(*m_hosts[host]);
    for (std::size_t backend = 0; backend < m_backends.size(); ++backend)
        m_queue.after(m_random.upTo(microsecondsPerSecond), [this, backend] { renewAnnouncement(backend); });
    tickHosts();
}

void Deployment::tickHosts()
{
    for (const auto& host : m_hosts) {
        host->tick();
        if (host->hasLeft())
            withdrawFromFabric(*host, 0);
    }
    m_queue.after(tickInterval, [this] { tickHosts(); });
}

void Deployment::advance(SimTime duration) { m_queue.runUntil(m_queue.now() + duration); }

SimulatedHost* Deployment::findHost(const std::string& name)
{
    const auto entry
        = std::find_if(m_hosts.begin(), m_hosts.end(), [&name](const auto& host) { return host->name() == name; });
    return entry == m_hosts.end() ? nullptr : entry->get();
}

BackendServer* Deployment::findBackend(const std::string& name)
{
    const auto entry = std::find_if(m_backends.begin(), m_backends.end(),
        [&name](const auto& backend) { return backend->identity().name == name; });
    return entry == m_backends.end() ? nullptr : entry->get();
}

std::optional<std::size_t> Deployment::findService(const std::string& name) const
{
    for (std::size_t index = 0; index < m_services.size(); ++index) {
        if (m_services[index].alias == name || m_services[index].definition.name() == name)
            return index;
    }
    return std::nullopt;
}

ServiceEndpoint Deployment::serviceEndpoint(std::size_t service) const
{
    std::error_code error;
    const schema::Service& definition = m_services[service].definition;
    return { static_cast<std::uint16_t>(service), IpAddress::parse(definition.address(), error),
        static_cast<std::uint16_t>(definition.ports(0)) };
}

SimulatedHost* Deployment::hostByNode(NodeId node)
{
    const auto entry
        = std::find_if(m_hosts.begin(), m_hosts.end(), [node](const auto& host) { return host->node() == node; });
    return entry == m_hosts.end() ? nullptr : entry->get();
}

SimulatedHost* Deployment::hostByIndex(HostIndex index)
{
    const auto entry
        = std::find_if(m_hosts.begin(), m_hosts.end(), [index](const auto& host) { return host->index() == index; });
    return entry == m_hosts.end() ? nullptr : entry->get();
}

void Deployment::killHost(SimulatedHost& host)
{
    host.kill();
    withdrawFromFabric(host, m_options.fabricDetection);
}

void Deployment::withdrawFromFabric(const SimulatedHost& host, SimTime delay)
{
    const auto index = static_cast<std::size_t>(
        std::find_if(m_hosts.begin(), m_hosts.end(), [&host](const auto& entry) { return entry.get() == &host; })
        - m_hosts.begin());
    m_queue.after(delay, [this, index, generation = host.generation()] {
        if (m_hosts[index]->generation() == generation)
            std::erase(m_fabricHosts, index);
    });
}

void Deployment::addToFabric(std::size_t host)
{
    if (std::find(m_fabricHosts.begin(), m_fabricHosts.end(), host) == m_fabricHosts.end())
        m_fabricHosts.push_back(host);
}

void Deployment::restartHost(SimulatedHost& host)
{
    host.setPeers(peers());
    host.start(newIncarnation());
    m_configuration.startFetching(host);
    for (std::size_t index = 0; index < m_hosts.size(); ++index) {
        if (m_hosts[index].get() == &host)
            addToFabric(index);
    }
}

void Deployment::leaveHost(SimulatedHost& host)
{
    host.leave();
    withdrawFromFabric(host, m_options.fabricDetection);
}

void Deployment::freezeHost(SimulatedHost& host, SimTime duration)
{
    host.freeze();
    m_queue.after(duration, [&host] { host.resume(); });
}

void Deployment::deliver(NodeId from, NodeId to, const std::function<void()>& action, SimTime extra)
{
    const Transit transit = m_network.transit(from, to);
    for (std::size_t copy = 0; copy < transit.copies; ++copy)
        m_queue.after(transit.delays[copy] + extra, action);
}

void Deployment::sendFromCaller(FlowId flow, std::vector<std::byte> packet)
{
    if (m_fabricHosts.empty())
        return;
    SimulatedHost& host = *m_hosts[m_fabricHosts[m_random.below(m_fabricHosts.size())]];
    if (m_flows.isTraced(flow))
        m_flows.traceEvent(flow, "sent " + std::to_string(packet.size()) + " bytes to " + host.name());
    deliver(m_network.callers(), host.node(), [this, &host, flow, bytes = share(packet)] {
        host.handleInput([this, flow, bytes](HostProgram& program, TimePoint now) {
            const ResultCode code = program.handlePacket(*bytes, now);
            if (code == ResultCode::Ok)
                return;
            m_flows.count(Counter::Dropped);
            m_flows.traceEvent(flow, "dropped with code " + std::to_string(static_cast<int>(code)));
        });
    });
}

void Deployment::sendFromBackend(const Reply& reply)
{
    deliver(m_backendRecords[static_cast<std::size_t>(reply.server)].node, m_network.callers(),
        [this, reply] { m_callers.handleReply(reply); });
}

bool Deployment::isServed(const Flow& flow) const
{
    return flow.server != noBackend
        && m_backends[static_cast<std::size_t>(flow.server)]->serves(flow.id, flow.serverEpoch);
}

void Deployment::traceHostEvent(std::span<const std::byte> packet, const std::string& text)
{
    std::error_code error;
    const PacketView view = parsePacket(packet, error);
    const Flow* flow = error ? nullptr : m_flows.find(view.flow);
    if (flow != nullptr)
        m_flows.traceEvent(flow->id, text);
}

void Deployment::forwardFromHost(NodeId host, const Endpoint& target, std::span<const std::byte> packet)
{
    for (const auto& backend : m_backends) {
        if (backend->identity().address != target.address || backend->identity().fouPort != target.port)
            continue;
        if (m_flows.isTracing())
            traceHostEvent(packet, hostByNode(host)->name() + " forwards to " + backend->identity().name);
        const NodeId node = m_backendRecords[static_cast<std::size_t>(backend->identity().index)].node;
        deliver(host, node, [this, &backend, bytes = share(packet)] { backend->receive(*bytes, m_queue.now()); });
        return;
    }
}

void Deployment::relayFromHost(
    NodeId host, HostIndex from, HostIndex peer, RelayKind kind, TargetId target, std::span<const std::byte> packet)
{
    SimulatedHost* receiver = hostByIndex(peer);
    if (receiver == nullptr)
        return;
    if (m_flows.isTracing())
        traceHostEvent(packet,
            hostByNode(host)->name() + " relays to " + receiver->name() + ", kind "
                + std::to_string(static_cast<int>(kind)));
    deliver(host, receiver->node(), [receiver, from, kind, target, bytes = share(packet)] {
        receiver->handleInput([from, kind, target, bytes](HostProgram& program, TimePoint now) {
            program.handleRelayedPacket(from, kind, target, *bytes, now);
        });
    });
}

void Deployment::sendToCallerFromHost(NodeId host, std::span<const std::byte> packet)
{
    deliver(host, m_network.callers(), [this, bytes = share(packet)] { m_callers.handleHostPacket(*bytes); });
}

void Deployment::sendMessageFromHost(NodeId host, HostIndex peer, const std::string& bytes)
{
    SimulatedHost* receiver = hostByIndex(peer);
    if (receiver == nullptr)
        return;
    schema::PeerMessage message;
    message.ParseFromString(bytes);
    const SimTime extra = message.has_heartbeat() ? 0 : m_random.upTo(maxExtraMessageDelay);
    deliver(
        host, receiver->node(),
        [receiver, message = std::make_shared<const schema::PeerMessage>(std::move(message))] {
            receiver->handleInput(
                [message](HostProgram& program, TimePoint now) { program.handleMessage(*message, now); });
        },
        extra);
}

}
