#pragma once

/// @file
/// Paces the packets of an entry host to targets and orders them, without I/O, so that first packets and small requests
/// do not wait behind uploads in the queue of a low-bandwidth link; docs/design/overload.md.

#include "bergamotroute/clock.h"
#include "bergamotroute/flow_packet.h"
#include "bergamotroute/types.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace bergamotroute {

enum class PacketClass {
    /// First packets, packets without data, resets, and packets of requests that fit in one packet.
    Urgent,
    /// All other data packets, and the FIN of a flow with queued data.
    Bulk,
};

/// A datagram that is due to be sent.
struct ScheduledPacket {
    Endpoint endpoint;
    /// Prefix and packet.
    std::vector<std::byte> datagram;
};

/// Counters since the start of the process, in packets.
struct SchedulerCounters {
    /// Retransmissions that replaced the queued copy of their packet.
    std::uint64_t merged = 0;
    /// Retransmissions dropped because their packet had left the queue too recently to be acknowledged.
    std::uint64_t repeated = 0;
    /// Bulk packets that waited for longer than the retransmission timeout of clients.
    std::uint64_t expired = 0;
    /// Packets for which there was no space.
    std::uint64_t overflowed = 0;
    /// Queued packets of flows that their clients reset.
    std::uint64_t abandoned = 0;
};

/// Queues of the packets to targets. Times that are passed in never decrease.
class PacketScheduler {
public:
    /// @param linkBytesPerSecond capacity of the link; must be above zero. A part of it remains unused by this class.
    explicit PacketScheduler(double linkBytesPerSecond);
    ~PacketScheduler();
    PacketScheduler(const PacketScheduler&) = delete;
    PacketScheduler& operator=(const PacketScheduler&) = delete;

    /// Takes a packet to a target. It is queued if it cannot be sent at once; a retransmission of a queued packet
    /// replaces that packet's bytes. A packet is dropped if there is no space, or if it repeats one that was sent just
    /// before. Memory is allocated only if the packet is queued.
    /// @param prefix bytes in front of the packet; may be empty.
    /// @return true if the caller is to send the packet now; its tokens are taken.
    bool submit(const FlowPacket& packet, const Endpoint& endpoint, std::span<const std::byte> prefix,
        std::span<const std::byte> datagram, TimePoint now);

    /// @return the next packet if one is due.
    std::optional<ScheduledPacket> take(TimePoint now);

    /// @return the next packet, due or not; nothing if the queues are empty.
    std::optional<ScheduledPacket> takeRegardless();

    /// Takes the tokens of a datagram that is sent without the scheduler.
    void countBypass(std::size_t datagramBytes, TimePoint now);

    /// @return the time at which to call take() again, or nothing if the queues are empty. To be called after take()
    /// has returned nothing.
    std::optional<TimePoint> nextDue() const;

    bool isEmpty() const;

    /// @return time after which a packet would be sent that is added to the end of the queue of a class now.
    Duration delay(PacketClass packetClass) const;

    /// @return bytes of the queued packets of a class with the headers of the link.
    std::size_t queuedBytes(PacketClass packetClass) const;

    /// @return bytes per second that may be sent to targets.
    double bytesPerSecond() const;

    const SchedulerCounters& counters() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

}
