#pragma once

/// @file
/// Number of new flows that this host recently forwarded to each target.

#include "bergamotroute/clock.h"
#include "bergamotroute/types.h"

#include <cstdint>
#include <map>

namespace bergamotroute {

/// Counts the first packets of flows over a window of 5 to 10 s, which consists of the current and the previous
/// interval of 5 s.
class NewFlowCounter {
public:
    void count(TargetId target, TimePoint now);
    void removeTarget(TargetId target) { m_counts.erase(target); }

    /// Compares the counts of the window with the desired shares.
    /// @param shares desired share of each target.
    /// @return for each target its fraction of the counted flows divided by its fraction of the shares; closer to 1 the
    /// fewer flows were counted.
    std::map<TargetId, double> ratios(const std::map<TargetId, double>& shares, TimePoint now) const;

    /// @return number of first packets counted for the target since it was added.
    std::uint64_t total(TargetId target) const;

private:
    struct Counts {
        std::uint64_t total = 0;
        std::uint32_t recent = 0;
        std::uint32_t previous = 0;
        std::int64_t window = 0;
    };

    static std::uint32_t countInWindow(const Counts& counts, TimePoint now);

    std::map<TargetId, Counts> m_counts;
};

}
