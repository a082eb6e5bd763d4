#include "standins/common/sprayer.h"

namespace bergamotroute {

Sprayer::Sprayer(EventLoop& loop, UdpSocket& socket, std::uint64_t seed, const SprayFaults& faults)
    : m_loop(loop)
    , m_socket(socket)
    , m_random(seed)
    , m_faults(faults)
    , m_timer(loop, [this] { releaseHeld(); })
{
}

bool Sprayer::happens(unsigned percent)
{
    constexpr unsigned all = 100;
    return percent > 0 && m_random() % all < percent;
}

void Sprayer::send(std::span<const std::byte> packet)
{
    if (happens(m_faults.dropPercent))
        return;
    sendOrHold(packet);
    if (happens(m_faults.duplicatePercent))
        sendOrHold(packet);
}

void Sprayer::sendOrHold(std::span<const std::byte> packet)
{
    if (!happens(m_faults.delayPercent)) {
        spray(packet);
        return;
    }
    const auto range = static_cast<std::uint64_t>(m_faults.longestDelay.count()) + 1;
    const Duration delay(static_cast<Duration::rep>(m_random() % range));
    m_held.push({ m_loop.now() + delay, m_order++, { packet.begin(), packet.end() } });
    m_timer.startAt(m_held.top().time);
}

void Sprayer::spray(std::span<const std::byte> packet)
{
    if (!m_hosts.empty())
        m_socket.queue(m_hosts[m_random() % m_hosts.size()], {}, packet);
}

void Sprayer::releaseHeld()
{
    while (!m_held.empty() && m_held.top().time <= m_loop.now()) {
        spray(m_held.top().packet);
        m_held.pop();
    }
    m_socket.flush();
    if (!m_held.empty())
        m_timer.startAt(m_held.top().time);
}

}
