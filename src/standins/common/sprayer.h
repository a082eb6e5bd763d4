#pragma once

/// @file
/// Spreads packets over the entry hosts from a seed and injects faults.

#include "libbergamotio/event_loop.h"
#include "libbergamotio/udp_socket.h"

#include <queue>
#include <random>
#include <tuple>
#include <vector>

namespace bergamotroute {

/// Shares of packets, in percent, that meet a fault.
struct SprayFaults {
    unsigned dropPercent = 0;
    unsigned duplicatePercent = 0;
    /// Packets held back for a random time up to longestDelay; others overtake them.
    unsigned delayPercent = 0;
    Duration longestDelay { 0 };
};

/// Sends every packet to a random entry host.
class Sprayer {
public:
    Sprayer(EventLoop& loop, UdpSocket& socket, std::uint64_t seed, const SprayFaults& faults);

    /// Replaces the entry hosts over which packets are sprayed.
    void setHosts(std::vector<Endpoint> hosts) { m_hosts = std::move(hosts); }

    void send(std::span<const std::byte> packet);

private:
    struct Held {
        TimePoint time;
        std::uint64_t order;
        std::vector<std::byte> packet;
        bool operator<(const Held& other) const { return std::tie(time, order) > std::tie(other.time, other.order); }
    };

    bool happens(unsigned percent);
    void sendOrHold(std::span<const std::byte> packet);
    void spray(std::span<const std::byte> packet);
    void releaseHeld();

    EventLoop& m_loop;
    UdpSocket& m_socket;
    std::mt19937_64 m_random;
    SprayFaults m_faults;
    std::vector<Endpoint> m_hosts;
    std::priority_queue<Held> m_held;
    std::uint64_t m_order = 0;
    Timer m_timer;
};

}
