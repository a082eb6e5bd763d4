#pragma once

/// @file
/// Bounds the volume of the log: a token bucket for each result code, so that frequent decisions do not push out rare
/// ones.

#include "bergamotroute/clock.h"
#include "bergamotroute/result_code.h"

#include <cstdint>
#include <map>

namespace bergamotroute {

struct LogLimits {
    /// Lines of one code that may come at once.
    double burst = 200;
    /// Lines of one code a second over a longer time.
    double perSecond = 40;
};

class LogLimiter {
public:
    explicit LogLimiter(LogLimits limits = {})
        : m_limits(limits)
    {
    }

    /// @param[out] suppressed lines of this code that were not written since the last one that was.
    /// @return true if a line may be written.
    bool admit(ResultCode code, TimePoint now, std::uint64_t& suppressed);

    /// @return all lines that were not written.
    std::uint64_t suppressedLines() const { return m_suppressed; }

private:
    struct Bucket {
        double tokens = 0;
        TimePoint filled;
        std::uint64_t suppressed = 0;
    };

    LogLimits m_limits;
    std::map<ResultCode, Bucket> m_buckets;
    std::uint64_t m_suppressed = 0;
};

}
