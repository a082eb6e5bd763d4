#pragma once

/// @file
/// Rate of flow events over a sliding window.

#include "bergamotroute/clock.h"

#include <array>
#include <cstdint>

namespace bergamotroute {

/// Sliding-window counter with 8 slices.
class FlowRate {
public:
    /// @param window time over which events are counted, in whole multiples of 8 ms.
    explicit FlowRate(Duration window = Duration(2000))
        : m_sliceMs(window.count() / static_cast<std::int64_t>(sliceCount))
    {
    }

    void count(TimePoint now);

    /// @return events within the window.
    double events(TimePoint now) const;

    /// @return events per second, averaged over the window.
    double perSecond(TimePoint now) const;

private:
    static constexpr std::size_t sliceCount = 8;

    void advanceTo(std::int64_t slice);

    std::int64_t m_sliceMs;

    std::array<std::uint32_t, sliceCount> m_slices {};
    std::int64_t m_newestSlice = 0;
};

}
