#include "standins/fabric/service_sockets.h"

#include "bergamotroute/result_code.h"
#include "libbergamotio/socket_address.h"

#include <cstring>
#include <event2/bufferevent.h>
#include <event2/listener.h>

namespace bergamotroute {

void ServiceSockets::ListenerDeleter::operator()(evconnlistener* listener) const { evconnlistener_free(listener); }

ServiceSockets::ServiceSockets(EventLoop& loop, PacketPort& port, PacketSender send)
    : m_loop(loop)
    , m_port(port)
    , m_send(std::move(send))
    , m_bridges(loop, port)
{
}

ServiceSockets::~ServiceSockets() = default;

std::error_code ServiceSockets::open(const schema::Service& service)
{
    std::error_code error;
    const IpAddress address = IpAddress::parse(service.address(), error);
    for (const std::uint32_t port : service.ports()) {
        const Endpoint local { address, static_cast<std::uint16_t>(port) };
        error = service.protocol() == schema::UDP ? openUdp(local) : openTcp(local);
        if (error)
            return error;
    }
    return error;
}

std::error_code ServiceSockets::openTcp(const Endpoint& local)
{
    constexpr int backlog = 1024;
    const SocketAddress address = toSocketAddress(local);
    evconnlistener* listener = evconnlistener_new_bind(m_loop.base(), handleAccepted, this,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, backlog, address.get(),
        static_cast<int>(address.length));
    if (listener == nullptr)
        return ResultCode::AddressUnavailable;
    m_listeners.emplace_back(listener);
    return {};
}

void ServiceSockets::handleAccepted(
    evconnlistener* listener, int descriptor, sockaddr* address, int length, void* argument)
{
    auto* self = static_cast<ServiceSockets*>(argument);
    sockaddr_storage storage {};
    std::memcpy(&storage, address, static_cast<std::size_t>(length));
    const Endpoint caller = toEndpoint(storage);
    const Endpoint service = localEndpoint(evconnlistener_get_fd(listener));
    const FlowKey flow { caller.address, service.address, caller.port, service.port, TransportProtocol::Tcp };
    bufferevent* side = bufferevent_socket_new(self->m_loop.base(), descriptor, BEV_OPT_CLOSE_ON_FREE);
    TcpBridge& bridge = self->m_bridges.add(flow, side);
    bridge.attach(self->m_port.tcp().connect(flow, &bridge, self->m_loop.now()));
    self->m_port.finishRound();
}

std::error_code ServiceSockets::openUdp(const Endpoint& local)
{
    auto service = std::make_unique<UdpService>();
    if (const std::error_code error = service->socket.open(local))
        return error;
    UdpService& opened = *service;
    opened.watch = std::make_unique<ReadWatch>(
        m_loop, opened.socket.descriptor(), [this, local, &opened] { receiveUdp(local, opened); });
    m_udp[local] = std::move(service);
    return {};
}

void ServiceSockets::receiveUdp(const Endpoint& local, UdpService& service)
{
    service.socket.receive([&](std::span<const std::byte> payload, const Endpoint& caller) {
        const FlowKey flow { caller.address, local.address, caller.port, local.port, TransportProtocol::Udp };
        m_send(buildUdpPacket(flow, payload));
    });
    m_port.finishRound();
}

void ServiceSockets::handleUdpAnswer(const PacketView& packet)
{
    const auto service = m_udp.find({ packet.flow.source, packet.flow.sourcePort });
    if (service == m_udp.end())
        return;
    service->second->socket.queue({ packet.flow.destination, packet.flow.destinationPort }, {}, packet.payload);
    service->second->socket.flush();
}

}
