#include "standins/fabric/caller_bridges.h"

#include "bergamotroute/packet_builder.h"
#include "bergamotroute/result_code.h"

#include <event2/bufferevent.h>
#include <event2/listener.h>

namespace bergamotroute {

namespace {

    constexpr std::uint32_t firstPort = 1024;
    constexpr std::uint32_t portsPerAddress = 60'000;

    /// Inner caller addresses are taken from 10.77.0.0/16.
    IpAddress callerAddress(std::uint32_t number)
    {
        const std::array<std::uint8_t, 4> octets { 10, 77, static_cast<std::uint8_t>(number >> 8),
            static_cast<std::uint8_t>(number) };
        return IpAddress::fromV4(octets);
    }

    FlowKey reversed(const FlowKey& flow)
    {
        return { flow.destination, flow.source, flow.destinationPort, flow.sourcePort, flow.protocol };
    }

}

struct CallerBridges::Listener {
    CallerBridges* owner;
    Endpoint service;
    evconnlistener* handle = nullptr;

    Listener(CallerBridges* bridges, const Endpoint& endpoint)
        : owner(bridges)
        , service(endpoint)
    {
    }
    ~Listener()
    {
        if (handle)
            evconnlistener_free(handle);
    }
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;

    static void accept(evconnlistener*, int descriptor, sockaddr*, int, void* listener)
    {
        auto& self = *static_cast<Listener*>(listener);
        self.owner->acceptCaller(descriptor, self.service);
    }
};

struct CallerBridges::UdpService {
    Endpoint service;
    UdpSocket socket;
    std::unique_ptr<ReadWatch> watch;
};

CallerBridges::CallerBridges(EventLoop& loop, PacketSprayer& sprayer, std::uint64_t seed)
    : m_loop(loop)
    , m_sprayer(sprayer)
    , m_random(static_cast<std::mt19937::result_type>(seed))
{
}

CallerBridges::~CallerBridges() = default;

std::error_code CallerBridges::listenTcp(const Endpoint& service)
{
    constexpr int backlog = 1024;
    auto listener = std::make_unique<Listener>(this, service);
    const SocketAddress address = toSocketAddress(service);
    listener->handle = evconnlistener_new_bind(m_loop.base(), Listener::accept, listener.get(),
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, backlog, address.get(), static_cast<int>(address.length));
    if (listener->handle == nullptr)
        return ResultCode::AddressUnavailable;
    m_listeners.push_back(std::move(listener));
    return {};
}

std::error_code CallerBridges::listenUdp(const Endpoint& service)
{
    auto udp = std::make_unique<UdpService>();
    udp->service = service;
    if (const std::error_code error = udp->socket.open(service))
        return error;
    UdpService* raw = udp.get();
    udp->watch = std::make_unique<ReadWatch>(m_loop, udp->socket.descriptor(), [this, raw] {
        raw->socket.receive([this, raw](std::span<const std::byte> payload, const Endpoint& caller) {
            handleDatagram(*raw, payload, caller);
        });
    });
    m_udpServices.push_back(std::move(udp));
    return {};
}

FlowKey CallerBridges::nextFlow(const Endpoint& service, TransportProtocol protocol)
{
    const std::uint32_t number = m_flowCount++;
    const auto port = static_cast<std::uint16_t>(firstPort + number % portsPerAddress);
    return { callerAddress(1 + number / portsPerAddress), service.address, port, service.port, protocol };
}

void CallerBridges::acceptCaller(int descriptor, const Endpoint& service)
{
    StreamHandle stream(bufferevent_socket_new(m_loop.base(), descriptor, BEV_OPT_CLOSE_ON_FREE));
    const FlowKey flow = nextFlow(service, TransportProtocol::Tcp);
    auto bridge = std::make_unique<StreamBridge>(m_loop, std::move(stream), flow, m_random(),
        [this](std::span<const std::byte> packet) { m_sprayer.spray(packet); });
    bridge->onEnd([this, flow] { m_connections.erase(flow); });
    StreamBridge& started = *bridge;
    m_connections[flow] = std::move(bridge);
    started.connection().connect(m_loop.now());
    started.start();
}

void CallerBridges::handleDatagram(UdpService& service, std::span<const std::byte> payload, const Endpoint& caller)
{
    const auto [known, isNew] = m_udpFlows.try_emplace({ service.service, caller });
    if (isNew) {
        known->second = nextFlow(service.service, TransportProtocol::Udp);
        m_udpCallers[known->second] = { &service, caller };
    }
    m_sprayer.spray(buildUdpPacket(known->second, payload));
}

void CallerBridges::handleReturn(std::span<const std::byte> packet)
{
    std::error_code error;
    const PacketView view = parsePacket(packet, error);
    if (error)
        return;
    const FlowKey flow = reversed(view.flow);
    if (const auto connection = m_connections.find(flow); connection != m_connections.end())
        connection->second->handlePacket(view);
    const auto caller = m_udpCallers.find(flow);
    if (caller == m_udpCallers.end())
        return;
    UdpSocket& socket = caller->second.service->socket;
    socket.queue(caller->second.caller, {}, view.payload);
    socket.flush();
}

}
