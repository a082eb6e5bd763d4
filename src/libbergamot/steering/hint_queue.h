#pragma once

/// @file
/// Hints of owners to hosts that keep relaying a flow. docs/design.md, section 5.14.

#include "steering/control_sender.h"
#include "steering/flow_cache.h"
#include "steering/steering_state.h"

#include <vector>

namespace bergamotroute {

/// Collects hints and sends them in batches of at most 1 KB a second.
class HintQueue {
public:
    HintQueue(SteeringState& state, TimePoint now);

    /// Notes that a peer relayed a flow whose target is known. Drops the hint if the queue is full.
    void add(HostIndex peer, std::uint64_t flow, ServiceIndex serviceIndex, TargetId target);

    /// Sends batches that are due.
    void advance(TimePoint now);

private:
    struct Hint {
        std::uint64_t flow = 0;
        ServiceIndex serviceIndex = 0;
        TargetId target = noTarget;
    };

    SteeringState& m_state;
    std::vector<std::vector<Hint>> m_queues;
    TokenBucket m_budget;
    TimePoint m_nextBatch;
};

}
