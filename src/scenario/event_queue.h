#pragma once

/// @file
/// Simulated clock, event queue and seeded random numbers.

#include "bergamotroute/clock.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <random>
#include <vector>

namespace bergamotroute::scenario {

/// Simulated time in microseconds since the start of the run.
using SimTime = std::int64_t;

inline constexpr SimTime microsecondsPerMillisecond = 1000;
inline constexpr SimTime microsecondsPerSecond = 1'000'000;

/// Runs events in order of time; events with the same time run in the order in which they were added.
class EventQueue {
public:
    SimTime now() const { return m_now; }
    const ManualClock& clock() const { return m_clock; }

    void at(SimTime time, std::function<void()> action)
    {
        m_events.push_back({ std::max(time, m_now), m_sequence++, std::move(action) });
        std::push_heap(m_events.begin(), m_events.end(), runsLater);
    }

    void after(SimTime delay, std::function<void()> action) { at(m_now + delay, std::move(action)); }

    /// Runs all events up to and including the given time, then advances the clock to it.
    void runUntil(SimTime end)
    {
        while (!m_events.empty() && m_events.front().time <= end) {
            std::pop_heap(m_events.begin(), m_events.end(), runsLater);
            const Event event = std::move(m_events.back());
            m_events.pop_back();
            advanceTo(event.time);
            event.action();
        }
        advanceTo(end);
    }

private:
    struct Event {
        SimTime time;
        std::uint64_t sequence;
        std::function<void()> action;
    };

    static bool runsLater(const Event& a, const Event& b)
    {
        return a.time != b.time ? a.time > b.time : a.sequence > b.sequence;
    }

    void advanceTo(SimTime time)
    {
        m_clock.advance(Duration(time / microsecondsPerMillisecond - m_now / microsecondsPerMillisecond));
        m_now = time;
    }

    SimTime m_now = 0;
    std::uint64_t m_sequence = 0;
    ManualClock m_clock;
    std::vector<Event> m_events;
};

/// Seeded random numbers. The distributions are computed here because those of the standard library differ between
/// implementations.
class Random {
public:
    explicit Random(std::uint64_t seed)
        : m_engine(seed)
    {
    }

    std::uint64_t bits() { return m_engine(); }
    std::uint64_t below(std::uint64_t limit) { return limit == 0 ? 0 : m_engine() % limit; }
    bool chance(double probability) { return probability > 0 && fraction() < probability; }
    SimTime upTo(SimTime limit) { return static_cast<SimTime>(below(static_cast<std::uint64_t>(limit) + 1)); }

    double fraction()
    {
        constexpr int mantissaBits = 53;
        return static_cast<double>(m_engine() >> (64 - mantissaBits)) / static_cast<double>(1ULL << mantissaBits);
    }

private:
    std::mt19937_64 m_engine;
};

}
