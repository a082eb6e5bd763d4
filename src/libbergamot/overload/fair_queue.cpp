#include "overload/fair_queue.h"

#include <utility>

namespace bergamotroute {

namespace {

    /// Bytes that a flow may send per turn; about one large packet, so that turns are short.
    constexpr std::size_t quantumBytes = 1500;

}

void FairQueue::add(QueuedPacket packet)
{
    const auto flow = findOrAddFlow(packet.flow);
    flow->bytes += packet.linkBytes;
    m_bytes += packet.linkBytes;
    const std::uint64_t key = packet.key;
    flow->keys.push_back(key);
    m_packets.push_back({ std::move(packet), flow, std::prev(flow->keys.end()) });
    m_packetsByKey.emplace(key, std::prev(m_packets.end()));
    selectFlow();
}

std::list<FairQueue::Flow>::iterator FairQueue::findOrAddFlow(const FlowId& id)
{
    const auto known = m_flowsById.find(id);
    if (known != m_flowsById.end())
        return known->second;
    m_flows.push_back({ id, {}, 0, quantumBytes });
    const auto added = std::prev(m_flows.end());
    m_flowsById.emplace(id, added);
    return added;
}

void FairQueue::replace(QueuedPacket packet)
{
    const auto entry = m_packetsByKey.at(packet.key);
    entry->flow->bytes += packet.linkBytes - entry->packet.linkBytes;
    m_bytes += packet.linkBytes - entry->packet.linkBytes;
    entry->packet = std::move(packet);
    m_packets.splice(m_packets.end(), m_packets, entry);
    selectFlow();
}

std::size_t FairQueue::nextBytes() const { return m_packetsByKey.at(m_flows.front().keys.front())->packet.linkBytes; }

QueuedPacket FairQueue::take()
{
    const auto entry = m_packetsByKey.at(m_flows.front().keys.front());
    entry->flow->deficit -= entry->packet.linkBytes;
    return remove(entry);
}

void FairQueue::removeOldest() { remove(m_packets.begin()); }

std::size_t FairQueue::removeFlow(const FlowId& flow)
{
    const auto found = m_flowsById.find(flow);
    if (found == m_flowsById.end())
        return 0;
    const std::list<std::uint64_t> keys = found->second->keys;
    for (const std::uint64_t key : keys)
        remove(m_packetsByKey.at(key));
    return keys.size();
}

std::size_t FairQueue::flowBytes(const FlowId& flow) const
{
    const auto found = m_flowsById.find(flow);
    return found == m_flowsById.end() ? 0 : found->second->bytes;
}

QueuedPacket FairQueue::remove(EntryList::iterator entry)
{
    const auto flow = entry->flow;
    QueuedPacket packet = std::move(entry->packet);
    flow->keys.erase(entry->position);
    flow->bytes -= packet.linkBytes;
    m_bytes -= packet.linkBytes;
    m_packetsByKey.erase(packet.key);
    m_packets.erase(entry);
    if (flow->keys.empty()) {
        m_flowsById.erase(flow->id);
        m_flows.erase(flow);
    }
    selectFlow();
    return packet;
}

void FairQueue::selectFlow()
{
    while (!m_flows.empty() && m_flows.front().deficit < nextBytes()) {
        m_flows.front().deficit += quantumBytes;
        m_flows.splice(m_flows.end(), m_flows, m_flows.begin());
    }
}

}
