#pragma once

/// @file
/// First packets that this host forwarded to each target in the last seconds.

#include "bergamotroute/clock.h"
#include "bergamotroute/types.h"

#include <cstdint>
#include <map>

namespace bergamotroute {

/// Counts new flows in two half windows.
class NewFlowCounter {
public:
    void count(TargetId target, TimePoint now);
    void removeTarget(TargetId target) { m_counts.erase(target); }

    /// Compares counts with shares.
    /// @param shares desired share of each target.
    /// @return for each target the counted part over the desired part, drawn to 1 where few flows were counted.
    std::map<TargetId, double> ratios(const std::map<TargetId, double>& shares, TimePoint now) const;

    /// @return all first packets counted for the target.
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
