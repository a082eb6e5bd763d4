#pragma once

/// @file
/// Queueing model of backend servers: a number of slots each, one queue, long feeds that use no slot.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <vector>

namespace bergamotroute::bench {

/// What a backend server reports of itself.
struct LoadSnapshot {
    double timeMs = 0;
    std::uint32_t open = 0;
    std::uint32_t busy = 0;
    std::uint32_t queued = 0;
};

/// One backend server with a first-come queue in front of its slots. Times are milliseconds of the simulation.
class BackendModel {
public:
    explicit BackendModel(std::uint32_t slots)
        : m_slots(slots)
    {
    }

    /// Takes a short request.
    /// @return end of its service if a slot is free; otherwise it waits.
    std::optional<double> startRequest(double now, double serviceMs);

    /// Ends a request.
    /// @return end of the service of the next waiting request, if any.
    std::optional<double> finishRequest(double now);

    void openFeed() { ++m_feeds; }
    void closeFeed() { --m_feeds; }

    /// Drops all requests and feeds.
    void die(double now);

    /// @return slot time used so far, in slot milliseconds.
    double busyIntegral(double now);

    void recordSnapshot(double now);

    /// @return the newest snapshot that is at least this old.
    LoadSnapshot snapshot(double now, double ageMs) const;

    std::uint32_t slots() const { return m_slots; }
    std::uint32_t openFlows() const { return m_feeds + m_busy + static_cast<std::uint32_t>(m_waiting.size()); }

    bool alive = true;
    bool draining = false;
    std::uint32_t weightPercent = 100;

    /// @return true if the server should get new flows.
    bool takesNewFlows() const { return alive && !draining && weightPercent > 0; }

private:
    std::uint32_t m_slots;
    std::uint32_t m_busy = 0;
    std::uint32_t m_feeds = 0;
    std::deque<double> m_waiting;
    double m_integral = 0;
    double m_integralAt = 0;
    std::deque<LoadSnapshot> m_history;
};

}
