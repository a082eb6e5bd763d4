#include "standins/fabric/packet_sprayer.h"

namespace bergamotroute {

PacketSprayer::PacketSprayer(EventLoop& loop, UdpSocket& socket, std::uint64_t seed)
    : m_loop(loop)
    , m_socket(socket)
    , m_random(seed)
    , m_timer(loop, [this] { sendDelayed(); })
{
}

void PacketSprayer::spray(std::span<const std::byte> packet)
{
    if (happens(m_faults.dropPercent))
        return;
    sendOnce(packet);
    if (happens(m_faults.duplicatePercent))
        sendOnce(packet);
}

bool PacketSprayer::happens(unsigned percent)
{
    constexpr unsigned whole = 100;
    return percent > 0 && m_random() % whole < percent;
}

void PacketSprayer::sendOnce(std::span<const std::byte> packet)
{
    if (m_entryHosts.empty())
        return;
    const Endpoint& entryHost = m_entryHosts[m_random() % m_entryHosts.size()];
    Duration delay = m_faults.delay;
    if (happens(m_faults.reorderPercent))
        delay += m_faults.reorderDelay;
    if (delay == Duration(0)) {
        sendNow(entryHost, packet);
        return;
    }
    m_delayed.emplace(m_loop.now() + delay, DelayedPacket { entryHost, { packet.begin(), packet.end() } });
    m_timer.startAt(m_delayed.begin()->first);
}

void PacketSprayer::sendNow(const Endpoint& entryHost, std::span<const std::byte> packet)
{
    m_socket.queue(entryHost, {}, packet);
    m_socket.flush();
    ++m_sprayed;
}

void PacketSprayer::sendDelayed()
{
    while (!m_delayed.empty() && m_delayed.begin()->first <= m_loop.now()) {
        const DelayedPacket packet = std::move(m_delayed.begin()->second);
        m_delayed.erase(m_delayed.begin());
        sendNow(packet.entryHost, packet.bytes);
    }
    if (!m_delayed.empty())
        m_timer.startAt(m_delayed.begin()->first);
}

}
