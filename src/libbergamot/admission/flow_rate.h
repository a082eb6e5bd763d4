#pragma once

/// @file
/// Events a second over the last two seconds.

#include "bergamotroute/clock.h"

#include <array>
#include <cstdint>

namespace bergamotroute {

/// Counts events in slices of 250 ms.
class FlowRate {
public:
    void count(TimePoint now);

    /// @return events a second, averaged over the last 2 s.
    double perSecond(TimePoint now) const;

private:
    static constexpr std::int64_t sliceMs = 250;
    static constexpr std::size_t sliceCount = 8;

    void advanceTo(std::int64_t slice);

    std::array<std::uint32_t, sliceCount> m_slices {};
    std::int64_t m_newestSlice = 0;
};

}
