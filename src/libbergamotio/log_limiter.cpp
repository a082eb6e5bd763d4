#include "libbergamotio/log_limiter.h"

#include <algorithm>
#include <utility>

namespace bergamotroute {

bool LogLimiter::admit(ResultCode code, TimePoint now, std::uint64_t& suppressed)
{
    const auto [found, isNew] = m_buckets.try_emplace(code, Bucket { m_limits.burst, now, 0 });
    Bucket& bucket = found->second;
    const std::chrono::duration<double> elapsed = now - bucket.filled;
    bucket.tokens = std::min(m_limits.burst, bucket.tokens + elapsed.count() * m_limits.perSecond);
    bucket.filled = now;
    if (bucket.tokens < 1) {
        ++bucket.suppressed;
        ++m_suppressed;
        return false;
    }
    bucket.tokens -= 1;
    suppressed = std::exchange(bucket.suppressed, 0);
    return true;
}

}
