#pragma once

/// @file
/// Planning of bucket tables: converts the desired shares of the targets into a table with as few moved buckets as
/// possible.

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

/// Desired share of each target that gets new flows. Shares are relative and need not add up to 1.
using TargetShares = std::map<TargetId, double>;

/// Plans the bucket tables of one service on its table leader.
class TablePlanner {
public:
    using IsGone = std::function<bool(TargetId)>;

    explicit TablePlanner(std::string host)
        : m_host(std::move(host))
    {
    }

    /// Plans the next table.
    /// @param current the current table, or a null pointer if there is none.
    /// @param bucketCount number of buckets; used only if there is no current table.
    /// @param shares desired shares of the targets that get new flows; each must be greater than 0.
    /// @param isGone tells whether a target is gone, so that it must not remain the base of a bucket.
    /// @return a table with the next version, or nothing if no change is needed.
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
    /// Time and number of moved buckets of each rebalancing within the last interval.
    std::deque<std::pair<TimePoint, std::size_t>> m_recentMoves;
};

}
