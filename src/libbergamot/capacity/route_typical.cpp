#include "capacity/route_typical.h"

#include <algorithm>

namespace bergamotroute {

namespace {

    /// With fewer values, a few requests to slow targets or long requests would decide what is typical.
    constexpr std::size_t minValues = 8;

}

void RecentMedian::add(float value)
{
    m_values.at(m_next) = value;
    m_next = (m_next + 1) % capacity;
    m_count = std::min(m_count + 1, capacity);
    std::array<float, capacity> sorted = m_values;
    const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(m_count / 2);
    std::nth_element(sorted.begin(), middle, sorted.begin() + static_cast<std::ptrdiff_t>(m_count));
    m_median = *middle;
}

bool RouteTypical::isKnown() const { return time.count() >= minValues && bytes.count() >= minValues; }

}
