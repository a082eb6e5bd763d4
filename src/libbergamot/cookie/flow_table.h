#pragma once

/// @file
/// What an entry host remembers of flows that pass it. The cookie alone decides where packets go; this state only
/// measures load, so it may be lost at any time.

#include "cookie/target_pool.h"

#include <unordered_map>

namespace bergamotroute {

/// One flow.
struct FlowState {
    PooledTarget* target = nullptr;
    /// Incarnation of the target that the counts belong to.
    std::uint64_t targetStartTimeMs = 0;
    TimePoint opened;
    TimePoint lastSeen;
    TimePoint lastPlaced;
    std::uint32_t nextSequence = 0;
    std::uint32_t acknowledged = 0;
    /// The client has acknowledged the target's answer to the first packet.
    bool established = false;
    bool requestPending = false;
    bool closed = false;
};

/// What a packet of a client tells of the flow's target.
enum class FlowObservation {
    None,
    /// The client has received something new from the target.
    Responded,
    /// The client repeats data that the target has not acknowledged.
    Retransmitted,
};

/// Flows by their addresses, bounded in number and age.
class FlowTable {
public:
    /// @param capacity flows above this number are not remembered.
    explicit FlowTable(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    FlowState* find(const FlowId& flow);

    /// Remembers a flow that was given to a target; replaces what was known of it.
    /// @return null if the table is full.
    FlowState* assign(const FlowId& flow, PooledTarget& target, TimePoint now);

    /// Takes the sequence numbers of a packet of a known or adopted flow into account.
    /// @return what the packet tells of the target.
    FlowObservation observe(const FlowPacket& packet, PooledTarget& target, TimePoint now);

    /// Forgets flows that are closed, idle or old.
    void expire(Duration idleTimeout, Duration maxAge, TimePoint now);

    std::size_t size() const { return m_flows.size(); }

private:
    static bool isCounted(const FlowState& state);
    static void setRequestPending(FlowState& state, bool pending);
    static void close(FlowState& state);

    std::size_t m_capacity;
    std::unordered_map<FlowId, FlowState, FlowIdHash> m_flows;
};

}
