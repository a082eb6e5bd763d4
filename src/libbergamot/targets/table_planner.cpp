#include "targets/table_planner.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <vector>
#include <xxhash.h>

namespace bergamotroute {

namespace {

    /// Small differences are corrected at most once in this interval, so that the slow start of a target does not cause
    /// a new table every second.
    constexpr Duration rebalanceInterval { 5'000 };
    /// At most one in this many buckets is moved by rebalancing within the interval.
    constexpr std::size_t rebalanceDivisor = 10;
    /// Rebalancing does not wait for the interval if more than one in this many buckets is on a target with too many.
    /// After an operator's change of weight, waiting left one target with twice its share for 5 s (busy slots 1.40
    /// instead of 1.25).
    constexpr std::size_t urgentDivisor = 64;
    /// Smaller relative differences between the actual and the desired number of buckets are not corrected, because
    /// each moved bucket causes packets to be relayed between entry hosts.
    constexpr double shareTolerance = 0.03;

    std::map<TargetId, std::int64_t> countBuckets(const BucketTable& table)
    {
        std::map<TargetId, std::int64_t> counts;
        for (const Bucket& bucket : table.buckets)
            ++counts[bucket.current];
        return counts;
    }

    /// @return the order in which buckets are considered: the same on all hosts, and independent of the order of
    /// targets.
    std::vector<std::size_t> shuffledBuckets(std::size_t count, ServiceId service)
    {
        std::vector<std::size_t> order(count);
        std::iota(order.begin(), order.end(), std::size_t { 0 });
        std::sort(order.begin(), order.end(), [service](std::size_t a, std::size_t b) {
            return XXH3_64bits_withSeed(&a, sizeof(a), service) < XXH3_64bits_withSeed(&b, sizeof(b), service);
        });
        return order;
    }

    std::int64_t tolerance(std::int64_t desired)
    {
        return std::max<std::int64_t>(1, std::llround(shareTolerance * static_cast<double>(desired)));
    }

    /// Desired minus actual number of buckets of each target that gets new flows.
    class BucketDeficits {
    public:
        BucketDeficits(const std::map<TargetId, std::int64_t>& desired, const std::map<TargetId, std::int64_t>& actual)
        {
            for (const auto& [id, count] : desired) {
                const auto found = actual.find(id);
                m_deficits[id] = count - (found == actual.end() ? 0 : found->second);
            }
        }

        std::int64_t deficit(TargetId id) const
        {
            const auto found = m_deficits.find(id);
            return found == m_deficits.end() ? 0 : found->second;
        }

        TargetId maxDeficitTarget() const
        {
            return std::max_element(m_deficits.begin(), m_deficits.end(), [](const auto& a, const auto& b) {
                return a.second < b.second;
            })->first;
        }

        void move(TargetId from, TargetId to)
        {
            if (m_deficits.contains(from))
                ++m_deficits[from];
            --m_deficits[to];
        }

        /// @return total number of buckets above the desired number, over all targets that have too many.
        std::size_t surplus() const
        {
            std::int64_t total = 0;
            for (const auto& [id, deficit] : m_deficits)
                total += std::max<std::int64_t>(0, -deficit);
            return static_cast<std::size_t>(total);
        }

        bool exceedsTolerance(const std::map<TargetId, std::int64_t>& desired) const
        {
            return std::any_of(m_deficits.begin(), m_deficits.end(),
                [&desired](const auto& item) { return std::abs(item.second) > tolerance(desired.at(item.first)); });
        }

    private:
        std::map<TargetId, std::int64_t> m_deficits;
    };

    void assign(Bucket& bucket, TargetId target)
    {
        bucket.current = target;
        bucket.moved = true;
    }

    /// Prefers the bucket's base target to the target with the largest deficit: once base and current target are the
    /// same again, the bucket may become settled.
    TargetId receiverFor(const Bucket& bucket, const BucketDeficits& deficits)
    {
        return bucket.base != bucket.current && deficits.deficit(bucket.base) > 0 ? bucket.base
                                                                                  : deficits.maxDeficitTarget();
    }

}

std::optional<BucketTable> TablePlanner::plan(ServiceId service, const BucketTable* current, std::uint32_t bucketCount,
    const TargetShares& shares, const IsGone& isGone, TimePoint now)
{
    if (current == nullptr || current->buckets.empty())
        return planFirst(service, bucketCount, shares);
    BucketTable next = *current;
    bool changed = replaceGoneBases(next, isGone);
    if (!shares.empty()) {
        const Counts desired = apportion(next.buckets.size(), shares, countBuckets(next));
        changed = moveFromUnusable(next, shares, desired) || changed;
        changed = rebalance(next, desired, now) || changed;
        changed = replaceGoneBases(next, isGone) || changed;
    }
    if (!changed)
        return std::nullopt;
    next.version = current->version + 1;
    next.leader = m_host;
    return next;
}

std::optional<BucketTable> TablePlanner::planFirst(
    ServiceId service, std::uint32_t bucketCount, const TargetShares& shares) const
{
    if (shares.empty())
        return std::nullopt;
    BucketTable table;
    table.service = service;
    table.version = 1;
    table.leader = m_host;
    table.buckets.resize(bucketCount);
    const Counts desired = apportion(bucketCount, shares, {});
    BucketDeficits deficits(desired, {});
    for (const std::size_t index : shuffledBuckets(bucketCount, service)) {
        const TargetId target = deficits.maxDeficitTarget();
        deficits.move(noTarget, target);
        table.buckets[index] = { target, target, false };
    }
    return table;
}

bool TablePlanner::replaceGoneBases(BucketTable& table, const IsGone& isGone)
{
    bool changed = false;
    for (Bucket& bucket : table.buckets) {
        if (bucket.base == bucket.current || !isGone(bucket.base))
            continue;
        bucket.base = bucket.current;
        changed = true;
    }
    return changed;
}

TablePlanner::Counts TablePlanner::apportion(std::size_t buckets, const TargetShares& shares, const Counts& actual)
{
    double total = 0;
    for (const auto& [id, share] : shares)
        total += share;
    struct Remainder {
        double fraction;
        bool holdsMore;
        TargetId id;
    };
    Counts desired;
    std::vector<Remainder> remainders;
    std::int64_t left = static_cast<std::int64_t>(buckets);
    for (const auto& [id, share] : shares) {
        const double exact = share / total * static_cast<double>(buckets);
        const auto whole = static_cast<std::int64_t>(exact);
        const auto held = actual.find(id);
        desired[id] = whole;
        left -= whole;
        remainders.push_back({ exact - std::floor(exact), held != actual.end() && held->second > whole, id });
    }
    // Targets that already have the extra bucket come first, so that rounding does not move buckets.
    std::sort(remainders.begin(), remainders.end(), [](const Remainder& a, const Remainder& b) {
        return std::tuple(a.holdsMore, a.fraction, a.id) > std::tuple(b.holdsMore, b.fraction, b.id);
    });
    for (std::size_t i = 0; left > 0; i = (i + 1) % remainders.size(), --left)
        ++desired[remainders[i].id];
    return desired;
}

bool TablePlanner::moveFromUnusable(BucketTable& table, const TargetShares& shares, const Counts& desired)
{
    BucketDeficits deficits(desired, countBuckets(table));
    bool changed = false;
    for (const std::size_t index : shuffledBuckets(table.buckets.size(), table.service)) {
        Bucket& bucket = table.buckets[index];
        if (shares.contains(bucket.current))
            continue;
        const TargetId receiver = receiverFor(bucket, deficits);
        deficits.move(noTarget, receiver);
        assign(bucket, receiver);
        changed = true;
    }
    return changed;
}

std::size_t TablePlanner::availableMoves(std::size_t buckets, TimePoint now)
{
    while (!m_recentMoves.empty() && m_recentMoves.front().first + rebalanceInterval <= now)
        m_recentMoves.pop_front();
    std::size_t used = 0;
    for (const auto& [at, count] : m_recentMoves)
        used += count;
    const std::size_t limit = buckets / rebalanceDivisor;
    return limit > used ? limit - used : 0;
}

bool TablePlanner::rebalance(BucketTable& table, const Counts& desired, TimePoint now)
{
    BucketDeficits deficits(desired, countBuckets(table));
    const bool isUrgent = deficits.surplus() > table.buckets.size() / urgentDivisor;
    if (!deficits.exceedsTolerance(desired) || (!isUrgent && now < m_nextRebalance))
        return false;
    const std::vector<std::size_t> order = shuffledBuckets(table.buckets.size(), table.service);
    const std::size_t available = availableMoves(table.buckets.size(), now);
    std::size_t budget = available;
    const auto moveEligible = [&](auto&& isEligible) {
        for (const std::size_t index : order) {
            Bucket& bucket = table.buckets[index];
            if (budget == 0 || deficits.deficit(bucket.current) >= 0 || !isEligible(bucket))
                continue;
            const TargetId receiver = receiverFor(bucket, deficits);
            if (deficits.deficit(receiver) <= 0)
                continue;
            deficits.move(bucket.current, receiver);
            assign(bucket, receiver);
            --budget;
        }
    };
    moveEligible([&deficits](const Bucket& bucket) { return bucket.moved && deficits.deficit(bucket.base) > 0; });
    moveEligible([](const Bucket& bucket) { return bucket.moved; });
    moveEligible([](const Bucket&) { return true; });
    if (budget == available)
        return false;
    m_nextRebalance = now + rebalanceInterval;
    m_recentMoves.emplace_back(now, available - budget);
    return true;
}

}
