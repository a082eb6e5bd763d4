#pragma once

/// @file
/// Callers' side of the fabric: ordinary TCP and UDP sockets at the service addresses, turned into inner packets.

#include "libbergamotio/event_loop.h"
#include "libbergamotio/udp_socket.h"
#include "standins/common/stream_bridge.h"
#include "standins/fabric/packet_sprayer.h"

#include <map>
#include <memory>
#include <random>
#include <system_error>
#include <vector>

struct evconnlistener;

namespace bergamotroute {

/// Accepts callers and gives each an inner address and port of its own.
class CallerBridges {
public:
    CallerBridges(EventLoop& loop, PacketSprayer& sprayer, std::uint64_t seed);
    ~CallerBridges();
    CallerBridges(const CallerBridges&) = delete;
    CallerBridges& operator=(const CallerBridges&) = delete;

    /// Listens for TCP callers at a service address.
    std::error_code listenTcp(const Endpoint& service);

    /// Listens for UDP callers at a service address.
    std::error_code listenUdp(const Endpoint& service);

    /// Handles a packet that a backend server or an entry host sends to a caller.
    void handleReturn(std::span<const std::byte> packet);

    std::size_t openConnections() const { return m_connections.size(); }

private:
    struct Listener;
    struct UdpService;
    struct UdpCaller {
        UdpService* service = nullptr;
        Endpoint caller;
    };

    FlowKey nextFlow(const Endpoint& service, TransportProtocol protocol);
    void acceptCaller(int descriptor, const Endpoint& service);
    void handleDatagram(UdpService& service, std::span<const std::byte> payload, const Endpoint& caller);

    EventLoop& m_loop;
    PacketSprayer& m_sprayer;
    std::mt19937 m_random;
    std::uint32_t m_flowCount = 0;
    std::vector<std::unique_ptr<Listener>> m_listeners;
    std::vector<std::unique_ptr<UdpService>> m_udpServices;
    /// By flow from caller to service.
    std::map<FlowKey, std::unique_ptr<StreamBridge>> m_connections;
    std::map<FlowKey, UdpCaller> m_udpCallers;
    std::map<std::pair<Endpoint, Endpoint>, FlowKey> m_udpFlows;
};

}
