#include "steering/recent_flows.h"

namespace bergamotroute {

namespace {

    /// A table acknowledgement lists the flows of the 3 s before the table was applied, and may be repeated for some
    /// seconds afterwards.
    constexpr Duration retentionTime { 10'000 };
    constexpr std::size_t maxRecentFlows = 65'536;

}

void RecentFlows::add(const RecentFlow& flow)
{
    if (m_flows.size() >= maxRecentFlows)
        m_flows.pop_front();
    m_flows.push_back(flow);
}

void RecentFlows::expire(TimePoint now)
{
    while (!m_flows.empty() && m_flows.front().time + retentionTime < now)
        m_flows.pop_front();
}

}
