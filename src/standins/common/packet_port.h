#pragma once

/// @file
/// A UDP socket that carries inner packets, with a TCP stack behind it.

#include "libbergamotio/event_loop.h"
#include "libbergamotio/udp_socket.h"
#include "standins/common/tcp_stack.h"

#include <functional>
#include <memory>

namespace bergamotroute {

/// Receives encapsulated packets, hands TCP to a stack and UDP to a handler, and runs the stack's timers.
class PacketPort {
public:
    /// @return false to drop a packet before it reaches the stack.
    using Filter = std::function<bool(const PacketView& packet)>;
    using UdpHandler = std::function<void(const PacketView& packet)>;

    /// @param send sends one inner packet, usually through socket().
    PacketPort(EventLoop& loop, std::uint64_t seed, PacketSender send);

    std::error_code open(const Endpoint& local);
    void setFilter(Filter filter) { m_filter = std::move(filter); }
    void setUdpHandler(UdpHandler handler) { m_udpHandler = std::move(handler); }

    UdpSocket& socket() { return m_socket; }
    TcpStack& tcp() { return m_tcp; }

    /// Sends what is queued and sets the timer; called after every use of the stack outside a packet.
    void finishRound();

private:
    void receive();
    void handle(std::span<const std::byte> bytes, TimePoint now);

    EventLoop& m_loop;
    UdpSocket m_socket;
    TcpStack m_tcp;
    Filter m_filter;
    UdpHandler m_udpHandler;
    Timer m_timer;
    std::unique_ptr<ReadWatch> m_watch;
};

}
