#pragma once

/// @file
/// Time as the decision code sees it. Daemons use the event loop's clock; tests pause and advance a ManualClock.

#include <chrono>
#include <cstdint>

namespace bergamotroute {

/// A point in time in milliseconds. Its origin is the clock's own; only differences have a meaning.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, std::chrono::milliseconds>;
using Duration = std::chrono::milliseconds;

/// Deadline of an object that has no timer running.
inline constexpr TimePoint noDeadline = TimePoint::max();

/// Source of the current time.
class Clock {
public:
    virtual ~Clock() = default;

    /// @return monotonic time in milliseconds.
    virtual TimePoint now() const = 0;

    /// @return wall time in milliseconds since the Unix epoch; may jump.
    virtual std::uint64_t wallMilliseconds() const = 0;
};

/// A clock that stands still until it is advanced.
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

    /// Moves the clock forward.
    /// @param step time to add, not negative.
    void advance(Duration step) { m_now += step; }

private:
    static constexpr std::uint64_t wallOriginMs = 1'700'000'000'000;
    TimePoint m_now;
};

}
