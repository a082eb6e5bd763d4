#include "bergamotroute/held_packets.h"

#include <algorithm>

namespace bergamotroute {

std::uint64_t copyKey(const FlowPacket& packet)
{
    constexpr unsigned sequenceShift = 32;
    constexpr unsigned lengthShift = 2;
    const std::uint64_t flags = (packet.syn ? 1U : 0U) | (packet.fin ? 2U : 0U);
    const std::uint64_t length = std::uint64_t { packet.dataBytes } << lengthShift;
    return hashFlow(packet.flow, (std::uint64_t { packet.sequence } << sequenceShift) | length | flags);
}

HeldPackets::HeldPackets(std::size_t capacity, Duration lifetime)
    : m_capacity(capacity)
    , m_lifetime(lifetime)
{
}

bool HeldPackets::add(std::span<const std::byte> packet, std::uint64_t key, TimePoint now)
{
    const auto copy
        = std::find_if(m_packets.begin(), m_packets.end(), [key](const Held& held) { return held.key == key; });
    if (copy != m_packets.end()) {
        copy->bytes.assign(packet.begin(), packet.end());
        return true;
    }
    if (m_packets.size() >= m_capacity)
        return false;
    m_packets.push_back({ { packet.begin(), packet.end() }, key, now });
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

TimePoint HeldPackets::nextDue() const { return m_packets.front().arrived + m_lifetime; }

}
