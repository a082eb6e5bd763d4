#include "bergamotroute/held_packets.h"

namespace bergamotroute {

HeldPackets::HeldPackets(std::size_t capacity, Duration lifetime)
    : m_capacity(capacity)
    , m_lifetime(lifetime)
{
}

bool HeldPackets::add(std::span<const std::byte> packet, TimePoint now)
{
    if (m_packets.size() >= m_capacity)
        return false;
    m_packets.push_back({ { packet.begin(), packet.end() }, now });
    return true;
}

void HeldPackets::decide(TimePoint now, const Decision& decision)
{
    std::deque<Held> waiting;
    waiting.swap(m_packets);
    for (Held& held : waiting) {
        const bool isLastTry = now - held.arrived >= m_lifetime;
        if (!decision(held.bytes, isLastTry) && !isLastTry)
            m_packets.push_back(std::move(held));
    }
}

}
