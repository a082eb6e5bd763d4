#include "admission/flow_rate.h"

#include <algorithm>

namespace bergamotroute {

void FlowRate::advanceTo(std::int64_t slice)
{
    const std::int64_t steps = std::min<std::int64_t>(slice - m_newestSlice, sliceCount);
    for (std::int64_t step = 0; step < steps; ++step)
        m_slices[static_cast<std::size_t>(slice - step) % sliceCount] = 0;
    m_newestSlice = std::max(m_newestSlice, slice);
}

void FlowRate::count(TimePoint now)
{
    advanceTo(now.time_since_epoch().count() / m_sliceMs);
    ++m_slices[static_cast<std::size_t>(m_newestSlice) % sliceCount];
}

double FlowRate::events(TimePoint now) const
{
    FlowRate shifted = *this;
    shifted.advanceTo(now.time_since_epoch().count() / m_sliceMs);
    std::uint64_t events = 0;
    for (const std::uint32_t slice : shifted.m_slices)
        events += slice;
    return static_cast<double>(events);
}

double FlowRate::perSecond(TimePoint now) const
{
    constexpr double msPerSecond = 1000;
    return events(now) * msPerSecond / static_cast<double>(m_sliceMs * static_cast<std::int64_t>(sliceCount));
}

}
