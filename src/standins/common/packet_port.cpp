#include "standins/common/packet_port.h"

#include <utility>

namespace bergamotroute {

PacketPort::PacketPort(EventLoop& loop, std::uint64_t seed, PacketSender send)
    : m_loop(loop)
    , m_tcp(seed, std::move(send))
    , m_timer(loop, [this] {
        m_tcp.advance(m_loop.now());
        finishRound();
    })
{
}

std::error_code PacketPort::open(const Endpoint& local)
{
    if (const std::error_code error = m_socket.open(local))
        return error;
    m_watch = std::make_unique<ReadWatch>(m_loop, m_socket.descriptor(), [this] { receive(); });
    return {};
}

void PacketPort::receive()
{
    const TimePoint now = m_loop.now();
    m_socket.receive([&](std::span<const std::byte> bytes, const Endpoint&) { handle(bytes, now); });
    finishRound();
}

void PacketPort::handle(std::span<const std::byte> bytes, TimePoint now)
{
    std::error_code error;
    const PacketView packet = parsePacket(bytes, error);
    if (error || (m_filter && !m_filter(packet)))
        return;
    if (packet.flow.protocol == TransportProtocol::Tcp)
        m_tcp.handle(packet, now);
    else if (m_udpHandler)
        m_udpHandler(packet);
}

void PacketPort::finishRound()
{
    m_socket.flush();
    m_timer.startAt(m_tcp.nextDeadline());
}

}
