#pragma once

/// @file
/// Turns shares into a bucket table with as few moved buckets as possible.

#include "bergamotroute/bucket_table.h"
#include "bergamotroute/clock.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace bergamotroute {

/// Desired share of each target that takes new flows; only the proportions matter.
using TargetShares = std::map<TargetId, double>;

/// Plans the tables of one service on its table leader.
class TablePlanner {
public:
    using IsGone = std::function<bool(TargetId)>;

    explicit TablePlanner(std::string host)
        : m_host(std::move(host))
    {
    }

    /// Plans the next table.
    /// @param current the table in force, or a null pointer.
    /// @param shares positive shares of the targets that take new flows.
    /// @param isGone tells whether a target has left for good.
    /// @return a table with the next version if something has to change.
    std::optional<BucketTable> plan(ServiceId service, const BucketTable* current, std::uint32_t bucketCount,
        const TargetShares& shares, const IsGone& isGone, TimePoint now);

private:
    using Counts = std::map<TargetId, std::int64_t>;

    std::optional<BucketTable> planFirst(
        ServiceId service, std::uint32_t bucketCount, const TargetShares& shares) const;
    static bool replaceGoneBases(BucketTable& table, const IsGone& isGone);
    static bool moveFromUnusable(BucketTable& table, const TargetShares& shares, const Counts& desired);
    bool rebalance(BucketTable& table, const Counts& desired, TimePoint now);
    std::size_t availableMoves(std::size_t buckets, TimePoint now);
    static Counts apportion(std::size_t buckets, const TargetShares& shares, const Counts& actual);

    std::string m_host;
    TimePoint m_nextRebalance = TimePoint::min();
    /// Rebalancing moves of the last interval: time and number of buckets.
    std::deque<std::pair<TimePoint, std::size_t>> m_recentMoves;
};

}
