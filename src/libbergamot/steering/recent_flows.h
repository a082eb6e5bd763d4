#pragma once

/// @file
/// First packets that this host forwarded recently. Table acknowledgements list their flows.

#include "bergamotroute/clock.h"
#include "steering/flow_cache.h"

#include <deque>

namespace bergamotroute {

/// A flow whose first packet this host forwarded to the base target of a settled bucket by its own table.
struct RecentFlow {
    std::uint64_t flow = 0;
    TargetId target = noTarget;
    ServiceIndex service = 0;
    TimePoint time;
};

/// List of recent first packets, ordered by time. A full list drops its oldest packet.
class RecentFlows {
public:
    void add(const RecentFlow& flow);
    void expire(TimePoint now);

    /// Calls visit(RecentFlow) for the flows whose first packet was forwarded between two times, both included.
    template <typename Visitor> void forEach(TimePoint from, TimePoint until, Visitor visit) const
    {
        for (const RecentFlow& flow : m_flows) {
            if (flow.time >= from && flow.time <= until)
                visit(flow);
        }
    }

private:
    std::deque<RecentFlow> m_flows;
};

}
