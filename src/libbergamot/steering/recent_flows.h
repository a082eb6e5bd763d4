#pragma once

/// @file
/// First packets that this host forwarded lately; acknowledgements of tables list them.

#include "bergamotroute/clock.h"
#include "steering/flow_cache.h"

#include <deque>

namespace bergamotroute {

/// A first packet that this host forwarded by its own table.
struct RecentFlow {
    std::uint64_t flow = 0;
    TargetId target = noTarget;
    ServiceIndex service = 0;
    TimePoint time;
};

/// Bounded list of recent first packets in order of time.
class RecentFlows {
public:
    void add(const RecentFlow& flow);
    void expire(TimePoint now);

    /// Calls visit(RecentFlow) for the flows forwarded between two times.
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
