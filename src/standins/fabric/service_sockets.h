#pragma once

/// @file
/// Ordinary TCP and UDP sockets at the service addresses.

#include "standins/common/tcp_bridge.h"

#include "configuration.pb.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

struct evconnlistener;

namespace bergamotroute {

/// Turns what callers send to service addresses into inner packets, and answers back into what callers receive.
class ServiceSockets {
public:
    ServiceSockets(EventLoop& loop, PacketPort& port, PacketSender send);
    ~ServiceSockets();
    ServiceSockets(const ServiceSockets&) = delete;
    ServiceSockets& operator=(const ServiceSockets&) = delete;

    /// Listens at all addresses and ports of a service.
    /// @return ResultCode::AddressUnavailable if one cannot be bound.
    std::error_code open(const schema::Service& service);

    /// Handles a UDP answer of a backend server.
    void handleUdpAnswer(const PacketView& packet);

private:
    struct ListenerDeleter {
        void operator()(evconnlistener* listener) const;
    };
    struct UdpService {
        UdpSocket socket;
        std::unique_ptr<ReadWatch> watch;
    };

    static void handleAccepted(
        evconnlistener* listener, int descriptor, struct sockaddr* address, int length, void* self);
    std::error_code openTcp(const Endpoint& local);
    std::error_code openUdp(const Endpoint& local);
    void receiveUdp(const Endpoint& local, UdpService& service);

    EventLoop& m_loop;
    PacketPort& m_port;
    PacketSender m_send;
    TcpBridges m_bridges;
    std::vector<std::unique_ptr<evconnlistener, ListenerDeleter>> m_listeners;
    std::map<Endpoint, std::unique_ptr<UdpService>> m_udp;
};

}
