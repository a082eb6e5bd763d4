#pragma once

/// @file
/// Typical response time and response size of a route's requests at one service, as this host observes them.

#include "bergamotroute/clock.h"

#include <array>
#include <cstddef>

namespace bergamotroute {

/// Median of the most recent values.
class RecentMedian {
public:
    void add(float value);

    /// @return the median; zero if there are no values.
    double median() const { return m_median; }

    std::size_t count() const { return m_count; }

private:
    /// A host gets 5 to 10 requests per second of a route, so these describe about the last 10 s.
    static constexpr std::size_t capacity = 64;

    std::array<float, capacity> m_values {};
    std::size_t m_count = 0;
    std::size_t m_next = 0;
    double m_median = 0;
};

struct RouteTypical {
    /// Response time in milliseconds, corrected for the load of the target.
    RecentMedian time;
    /// Size of a response in bytes, including refusals: if most responses are short, short is what is typical.
    RecentMedian bytes;
    TimePoint lastUse;

    /// @return true if there are enough values to compare a request with.
    bool isKnown() const;
};

}
