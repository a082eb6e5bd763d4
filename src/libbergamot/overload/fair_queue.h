#pragma once

/// @file
/// Queue of packets in which flows take turns by bytes (deficit round robin). The order of the packets within one flow
/// is kept.

#include "bergamotroute/clock.h"
#include "bergamotroute/flow_packet.h"
#include "bergamotroute/types.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace bergamotroute {

struct QueuedPacket {
    /// Identifies the packet and its retransmissions.
    std::uint64_t key = 0;
    FlowId flow;
    Endpoint endpoint;
    /// Prefix and packet.
    std::vector<std::byte> datagram;
    /// Size of the datagram with the headers of the link.
    std::size_t linkBytes = 0;
    /// Time at which the last copy arrived.
    TimePoint lastArrival;
};

/// Every operation takes constant time on average.
class FairQueue {
public:
    /// Appends a packet to the packets of its flow. Its key must not be in the queue.
    void add(QueuedPacket packet);

    bool contains(std::uint64_t key) const { return m_packetsByKey.contains(key); }

    /// Replaces the packet with the same key; the new one takes its position.
    void replace(QueuedPacket packet);

    /// @return size of the packet that take() returns next. The queue must not be empty.
    std::size_t nextBytes() const;

    /// Removes the next packet: the oldest one of the flow whose turn it is. The queue must not be empty.
    QueuedPacket take();

    /// Removes the packet whose last copy arrived first. The queue must not be empty.
    void removeOldest();

    /// @return the time at which the last copy of the oldest packet arrived. The queue must not be empty.
    TimePoint oldestArrival() const { return m_packets.front().packet.lastArrival; }

    /// Removes the packets of a flow.
    /// @return number of removed packets.
    std::size_t removeFlow(const FlowId& flow);

    /// @return bytes of the queued packets of a flow; zero if it has none.
    std::size_t flowBytes(const FlowId& flow) const;

    std::size_t flowCount() const { return m_flows.size(); }
    std::size_t bytes() const { return m_bytes; }
    bool isEmpty() const { return m_packets.empty(); }

private:
    /// Packets of one flow, in order of arrival, by their keys.
    struct Flow {
        FlowId id;
        std::list<std::uint64_t> keys;
        std::size_t bytes = 0;
        /// Bytes that the flow may still send in this turn.
        std::size_t deficit = 0;
    };

    struct Entry {
        QueuedPacket packet;
        std::list<Flow>::iterator flow;
        std::list<std::uint64_t>::iterator position;
    };

    using EntryList = std::list<Entry>;

    std::list<Flow>::iterator findOrAddFlow(const FlowId& id);
    QueuedPacket remove(EntryList::iterator entry);
    void selectFlow();

    /// In order of lastArrival.
    EntryList m_packets;
    std::unordered_map<std::uint64_t, EntryList::iterator> m_packetsByKey;
    /// The first flow has its turn and may send its first packet.
    std::list<Flow> m_flows;
    std::unordered_map<FlowId, std::list<Flow>::iterator, FlowIdHash> m_flowsById;
    std::size_t m_bytes = 0;
};

}
