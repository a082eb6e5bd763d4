#pragma once

/// @file
/// Rate of flow events over a sliding window of 2 s.

#include "bergamotroute/clock.h"

#include <array>
#include <cstdint>

namespace bergamotroute {

/// Sliding-window counter with 8 slices of 250 ms.
class FlowRate {
public:
    void count(TimePoint now);

    /// @return events per second, averaged over the last 2 s.
    double perSecond(TimePoint now) const;

private:
    static constexpr std::int64_t sliceMs = 250;
    static constexpr std::size_t sliceCount = 8;

    void advanceTo(std::int64_t slice);

    std::array<std::uint32_t, sliceCount> m_slices {};
    std::int64_t m_newestSlice = 0;
};

}
