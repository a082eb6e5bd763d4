#include "cookie/request_window.h"

namespace bergamotroute {

RequestWindow::Bucket& RequestWindow::bucketAt(TimePoint now)
{
    const std::int64_t number = now.time_since_epoch() / bucketTime;
    Bucket& bucket = m_buckets[static_cast<std::size_t>(number % bucketCount)];
    if (bucket.number != number)
        bucket = { number };
    return bucket;
}

void RequestWindow::endSingleRequestFlow(TimePoint placed)
{
    const std::int64_t number = placed.time_since_epoch() / bucketTime;
    Bucket& bucket = m_buckets[static_cast<std::size_t>(number % bucketCount)];
    if (bucket.number == number && bucket.endedFlows < bucket.firstPackets)
        ++bucket.endedFlows;
}

std::uint32_t RequestWindow::sum(std::uint32_t Bucket::*count, TimePoint now) const
{
    const std::int64_t number = now.time_since_epoch() / bucketTime;
    std::uint32_t total = 0;
    for (const Bucket& bucket : m_buckets)
        total += bucket.number > number - bucketCount ? bucket.*count : 0;
    return total;
}

}
