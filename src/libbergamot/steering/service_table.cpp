#include "steering/service_table.h"

#include <algorithm>
#include <map>

namespace bergamotroute {

namespace {

    constexpr std::uint64_t leaderResidues = maxHosts;

    /// Assigns target numbers in an update. Zero means no target; other targets are numbered from one in the order in
    /// which they are appended to target_ids.
    class TargetIndex {
    public:
        explicit TargetIndex(schema::TableUpdate& update)
            : m_update(update)
        {
            m_numbers[noTarget] = 0;
        }

        std::uint32_t number(TargetId target)
        {
            const auto [position, isNew] = m_numbers.try_emplace(target, m_numbers.size());
            if (isNew)
                m_update.add_target_ids(target);
            return static_cast<std::uint32_t>(position->second);
        }

    private:
        schema::TableUpdate& m_update;
        std::map<TargetId, std::size_t> m_numbers;
    };

    std::optional<TargetId> targetAt(const schema::TableUpdate& update, std::uint32_t number)
    {
        if (number == 0)
            return noTarget;
        if (number > static_cast<std::uint32_t>(update.target_ids_size()))
            return std::nullopt;
        return update.target_ids(static_cast<int>(number - 1));
    }

    /// @return the buckets that the update contains, or nothing if one is out of range or the fields of the update have
    /// different lengths.
    std::optional<std::vector<std::uint32_t>> listedBuckets(
        const schema::TableUpdate& update, std::uint32_t bucketCount)
    {
        std::vector<std::uint32_t> buckets;
        if (update.base_version() == 0) {
            for (std::uint32_t bucket = 0; bucket < bucketCount; ++bucket)
                buckets.push_back(bucket);
        }
        std::uint64_t bucket = 0;
        for (const std::uint32_t gap : update.bucket_gaps()) {
            bucket += gap;
            if (bucket >= bucketCount)
                return std::nullopt;
            buckets.push_back(static_cast<std::uint32_t>(bucket));
        }
        if (buckets.size() != static_cast<std::size_t>(update.base_index_size())
            || update.moved_gaps_size() != update.current_index_size())
            return std::nullopt;
        return buckets;
    }

}

bool HostTableState::recordTableRequest(TimePoint now)
{
    // A heartbeat may arrive before the table update whose version it advertises. Replies to every request with a full
    // table took a third of the control traffic.
    constexpr Duration updateDelay { 700 };
    constexpr Duration seriesGap { 1'500 };
    const bool isNewSeries = requestedLast == TimePoint::min() || now - requestedLast > seriesGap;
    if (isNewSeries)
        requestedSince = now;
    requestedLast = now;
    const bool sentRecently = tableSentAt != TimePoint::min() && now - tableSentAt < updateDelay;
    return now - requestedSince >= updateDelay && !sentRecently;
}

void ServiceTable::replace(BucketTable next, TimePoint now)
{
    const std::size_t count = next.buckets.size();
    movedSince.resize(count);
    for (std::size_t bucket = 0; bucket < count; ++bucket) {
        const bool wasMoved = bucket < table.buckets.size() && table.buckets[bucket].moved;
        if (!wasMoved && next.buckets[bucket].moved)
            movedSince[bucket] = next.version;
    }
    if (!next.limited) {
        limitedSince = 0;
        limitedReported = false;
    } else if (limitedSince == 0) {
        limitedSince = next.version;
    }
    table = std::move(next);
    appliedAt = now;
    reportedClear.assign(count, false);
    reportedDivergent.assign(count, false);
}

std::uint64_t nextTableVersion(std::uint64_t version, HostIndex leader)
{
    return (version / leaderResidues + 1) * leaderResidues + leader;
}

schema::TableUpdate encodeTable(const BucketTable& table, const BucketTable* before)
{
    schema::TableUpdate update;
    update.set_service_id(table.service);
    update.set_version(table.version);
    update.set_leader(table.leader);
    update.set_limited(table.limited);
    update.set_base_version(before == nullptr ? 0 : before->version);
    TargetIndex index(update);
    std::uint32_t previousBucket = 0;
    std::uint32_t previousMoved = 0;
    for (std::uint32_t bucket = 0; bucket < table.buckets.size(); ++bucket) {
        const Bucket& state = table.buckets[bucket];
        if (before != nullptr && before->buckets[bucket] == state)
            continue;
        if (before != nullptr) {
            update.add_bucket_gaps(bucket - previousBucket);
            previousBucket = bucket;
        }
        const auto position = static_cast<std::uint32_t>(update.base_index_size());
        update.add_base_index(index.number(state.base));
        if (!state.moved)
            continue;
        update.add_moved_gaps(position - previousMoved);
        previousMoved = position;
        update.add_current_index(index.number(state.current));
    }
    return update;
}

std::optional<BucketTable> decodeTable(
    const schema::TableUpdate& update, const BucketTable& before, std::uint32_t bucketCount)
{
    const bool fitsBase = update.base_version() == 0 || update.base_version() == before.version;
    const auto buckets = listedBuckets(update, bucketCount);
    if (!fitsBase || !buckets)
        return std::nullopt;
    BucketTable table { update.service_id(), update.version(), update.leader(), update.limited(), {} };
    if (update.base_version() != 0)
        table.buckets = before.buckets;
    table.buckets.resize(bucketCount);
    for (std::size_t position = 0; position < buckets->size(); ++position) {
        const auto base = targetAt(update, update.base_index(static_cast<int>(position)));
        if (!base)
            return std::nullopt;
        table.buckets[(*buckets)[position]] = Bucket { *base, *base, false };
    }
    std::uint64_t position = 0;
    for (int i = 0; i < update.moved_gaps_size(); ++i) {
        position += update.moved_gaps(i);
        const auto current = targetAt(update, update.current_index(i));
        if (!current || position >= buckets->size())
            return std::nullopt;
        Bucket& bucket = table.buckets[(*buckets)[position]];
        bucket.current = *current;
        bucket.moved = true;
    }
    return table;
}

}
