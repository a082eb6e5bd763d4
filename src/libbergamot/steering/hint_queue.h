#pragma once

/// @file
/// Hints that tell a relaying host the target of a flow, so that it forwards later packets of the flow by itself.
/// See docs/design/flow_steering.md, "Hints".

#include "steering/control_sender.h"
#include "steering/flow_cache.h"
#include "steering/steering_state.h"

#include <vector>

namespace bergamotroute {

/// Collects hints for each peer and sends them in batches, at most 1 KB per second in total.
class HintQueue {
public:
    HintQueue(SteeringState& state, TimePoint now);

    /// Queues a hint for a peer that relayed a packet of a flow whose target is known. Drops the hint if the queue of
    /// the peer is full or already holds one for the flow.
    void add(HostIndex peer, std::uint64_t flow, ServiceIndex serviceIndex, TargetId target);

    /// Sends the batches that are due. Batches that exceed the hint limit or the control budget are discarded.
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
