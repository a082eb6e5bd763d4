#pragma once

/// @file
/// Packets that cannot be decided on yet: a host that has just started gets packets before it knows the targets.
/// Dropping them costs clients a retransmission timeout each.

#include "bergamotroute/clock.h"
#include "bergamotroute/flow_packet.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <span>
#include <vector>

namespace bergamotroute {

/// @return a number that copies of a packet share, although their acknowledgements differ, and that tells data from a
/// plain acknowledgement at the same sequence number.
std::uint64_t retransmissionKey(const FlowPacket& packet);

/// Bounded queue of packets in order of arrival. Copies of a packet take one place.
class HeldPackets {
public:
    /// Decides on a packet.
    /// @param isLastAttempt the packet has waited for its whole time.
    /// @return false to wait further; ignored at the last try.
    using Handler = std::function<bool(std::span<const std::byte> packet, bool isLastAttempt)>;

    /// @param capacity most packets that wait.
    /// @param lifetime longest wait of a packet.
    HeldPackets(std::size_t capacity, Duration maxWait);

    /// Copies a packet. A copy of one that waits replaces it and keeps its place.
    /// @param key retransmissionKey() of the packet.
    /// @return false if the queue is full.
    bool add(std::span<const std::byte> packet, std::uint64_t key, TimePoint now);

    /// Decides on all packets again.
    void retry(TimePoint now, const Handler& handler);

    /// @return the end of the first packet's wait. Must not be called while no packet waits.
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
