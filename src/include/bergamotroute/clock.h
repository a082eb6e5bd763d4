#pragma once

/// @file
/// Time source of the library, which never reads the system time itself. Daemons pass in the event loop's clock; tests
/// use a ManualClock.

#include <chrono>
#include <cstdint>

namespace bergamotroute {

/// Point in time in milliseconds. The epoch depends on the clock, so only differences are meaningful.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, std::chrono::milliseconds>;
using Duration = std::chrono::milliseconds;

/// Deadline of an object that has no active timer.
inline constexpr TimePoint noDeadline = TimePoint::max();

/// Source of the current time; an interface, so that tests can control the time.
class Clock {
public:
    virtual ~Clock() = default;

    /// @return monotonic time in milliseconds.
    virtual TimePoint now() const = 0;

    /// @return wall-clock time in milliseconds since the Unix epoch; it may jump forwards or backwards.
    virtual std::uint64_t wallMilliseconds() const = 0;
};

/// Clock that advances only when advance() is called.
class ManualClock final : public Clock {
public:
    explicit ManualClock(TimePoint start = TimePoint(Duration(1'000'000)))
        : m_now(start)
    {
    }

    TimePoint now() const override { return m_now; }
    std::uint64_t wallMilliseconds() const override
    {
        return wallOriginMs + static_cast<std::uint64_t>(m_now.time_since_epoch().count());
    }

    /// @param step time to add; must not be negative.
    void advance(Duration step) { m_now += step; }

private:
    static constexpr std::uint64_t wallOriginMs = 1'700'000'000'000;
    TimePoint m_now;
};

}
