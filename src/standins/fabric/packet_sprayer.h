#pragma once

/// @file
/// Hands packets to entry hosts at random and injects faults, as the platform's fabric may.

#include "libbergamotio/event_loop.h"
#include "libbergamotio/udp_socket.h"

#include <cstdint>
#include <map>
#include <random>
#include <span>
#include <vector>

namespace bergamotroute {

/// Faults of the fabric, in percent of packets.
struct FabricFaults {
    unsigned dropPercent = 0;
    unsigned duplicatePercent = 0;
    unsigned reorderPercent = 0;
    /// Delay of every packet.
    Duration delay { 0 };
    /// Additional delay of a reordered packet.
    Duration reorderDelay { 5 };
};

/// Sprays packets over the entry hosts from a seed.
class PacketSprayer {
public:
    PacketSprayer(EventLoop& loop, UdpSocket& socket, std::uint64_t seed);

    /// Sets the entry hosts that get packets from now on.
    void setEntryHosts(std::vector<Endpoint> entryHosts) { m_entryHosts = std::move(entryHosts); }
    const std::vector<Endpoint>& entryHosts() const { return m_entryHosts; }

    void setFaults(const FabricFaults& faults) { m_faults = faults; }

    /// Hands a packet to a random entry host, subject to the faults.
    void spray(std::span<const std::byte> packet);

    /// @return packets handed over, duplicates included.
    std::uint64_t sprayed() const { return m_sprayed; }

private:
    bool happens(unsigned percent);
    void sendOnce(std::span<const std::byte> packet);
    void sendNow(const Endpoint& entryHost, std::span<const std::byte> packet);
    void sendDelayed();

    struct DelayedPacket {
        Endpoint entryHost;
        std::vector<std::byte> bytes;
    };

    EventLoop& m_loop;
    UdpSocket& m_socket;
    std::mt19937_64 m_random;
    std::vector<Endpoint> m_entryHosts;
    FabricFaults m_faults;
    std::multimap<TimePoint, DelayedPacket> m_delayed;
    Timer m_timer;
    std::uint64_t m_sprayed = 0;
};

}
