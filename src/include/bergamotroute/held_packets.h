#pragma once

/// @file
/// Queue of packets that cannot be steered yet: a host that has just started receives packets before it knows the
/// targets. Dropping such a packet costs its client a retransmission timeout.

#include "bergamotroute/clock.h"
#include "bergamotroute/flow_packet.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <span>
#include <vector>

namespace bergamotroute {

/// @return a hash that all retransmissions of a packet share, although their acknowledgement numbers differ, and that
/// tells data from a plain acknowledgement with the same sequence number.
std::uint64_t retransmissionKey(const FlowPacket& packet);

/// Bounded queue of packets in order of arrival. A packet and its retransmissions share one entry.
class HeldPackets {
public:
    /// Tries to handle a packet.
    /// @param isLastAttempt the packet has waited for the maximum time.
    /// @return false to keep the packet in the queue; ignored at the last attempt.
    using Handler = std::function<bool(std::span<const std::byte> packet, bool isLastAttempt)>;

    /// @param capacity maximum number of packets in the queue.
    /// @param maxWait maximum time that a packet stays in the queue.
    HeldPackets(std::size_t capacity, Duration maxWait);

    /// Copies a packet into the queue. A retransmission replaces the bytes of the queued packet and keeps its position
    /// and arrival time.
    /// @param key retransmissionKey() of the packet.
    /// @return false if the queue is full.
    bool add(std::span<const std::byte> packet, std::uint64_t key, TimePoint now);

    /// Calls the handler for each packet in order of arrival.
    void retry(TimePoint now, const Handler& handler);

    /// @return the time at which the wait of the first packet ends. The queue must not be empty.
    TimePoint nextDeadline() const;

    bool isEmpty() const { return m_packets.empty(); }
    std::size_t size() const { return m_packets.size(); }

private:
    struct HeldPacket {
        std::vector<std::byte> bytes;
        std::uint64_t key = 0;
        TimePoint arrivalTime;
    };

    std::size_t m_capacity;
    Duration m_maxWait;
    std::deque<HeldPacket> m_packets;
};

}
