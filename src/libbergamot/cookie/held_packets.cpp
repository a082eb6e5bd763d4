#include "bergamotroute/held_packets.h"

#include <algorithm>

namespace bergamotroute {

std::uint64_t retransmissionKey(const FlowPacket& packet)
{
    constexpr unsigned sequenceShift = 32;
    constexpr unsigned lengthShift = 2;
    const std::uint64_t flags = (packet.syn ? 1U : 0U) | (packet.fin ? 2U : 0U);
    const std::uint64_t length = std::uint64_t { packet.payloadBytes } << lengthShift;
    return hashFlow(packet.flow, (std::uint64_t { packet.sequence } << sequenceShift) | length | flags);
}

HeldPackets::HeldPackets(std::size_t capacity, Duration maxWait)
    : m_capacity(capacity)
    , m_maxWait(maxWait)
{
}

bool HeldPackets::add(std::span<const std::byte> packet, std::uint64_t key, TimePoint now)
{
    const auto duplicate
        = std::find_if(m_packets.begin(), m_packets.end(), [key](const HeldPacket& held) { return held.key == key; });
    if (duplicate != m_packets.end()) {
        duplicate->bytes.assign(packet.begin(), packet.end());
        return true;
    }
    if (m_packets.size() >= m_capacity)
        return false;
    m_packets.push_back({ { packet.begin(), packet.end() }, key, now });
    return true;
}

void HeldPackets::retry(TimePoint now, const Handler& handler)
{
    std::deque<HeldPacket> waiting;
    waiting.swap(m_packets);
    for (HeldPacket& held : waiting) {
        const bool isLastAttempt = now - held.arrivalTime >= m_maxWait;
        if (!handler(held.bytes, isLastAttempt) && !isLastAttempt)
            m_packets.push_back(std::move(held));
    }
}

TimePoint HeldPackets::nextDeadline() const { return m_packets.front().arrivalTime + m_maxWait; }

}
