#pragma once

/// @file
/// State that an entry host keeps of the flows that pass it. Later packets of a flow are forwarded by their cookie
/// alone; this state only serves to measure load, so it may be lost at any time.

#include "capacity/response_samples.h"
#include "cookie/target_pool.h"

#include <functional>
#include <unordered_map>

namespace bergamotroute {

struct FlowState {
    PooledTarget* target = nullptr;
    /// Incarnation of the target in whose load the flow is counted.
    std::uint64_t targetStartTimeMs = 0;
    TimePoint opened;
    TimePoint lastSeen;
    TimePoint lastPlaced;
    std::uint32_t nextSequence = 0;
    std::uint32_t acknowledged = 0;
    /// The client has acknowledged the target's response to the first packet.
    bool established = false;
    /// Requests observed here so far: the one that the first packet announces, and further ones.
    std::uint32_t requests = 1;
    bool sentData = false;
    /// This host has seen the flow's first packet.
    bool openedHere = true;
    /// The target was in slow start when the flow was opened, and its requests are limited.
    bool openedInSlowStart = false;
    bool requestPending = false;
    bool closed = false;
    RequestMeasurement measurement;
};

/// Number of the request that shows a flow to be recurring, i.e. to carry more than one request.
inline constexpr std::uint32_t firstRecurringRequest = 2;

/// Is told about requests on tracked flows.
class FlowTableObserver {
public:
    virtual ~FlowTableObserver() = default;

    /// A request begins that is not the one announced by the flow's first packet.
    virtual void handleRequest(const FlowState& flow, TimePoint now) = 0;

    /// An established flow that was opened through this host ends without such a request.
    virtual void handleSingleRequestFlow(const FlowState& flow) = 0;
};

/// What a client's packet shows about the flow's target.
enum class FlowObservation {
    None,
    /// The client has received something new from the target.
    Responded,
    /// The client retransmits data that the target has not acknowledged.
    Retransmitted,
};

/// Flows by addresses and ports, bounded in number and age.
class FlowTable {
public:
    /// @param capacity maximum number of flows; further flows are not tracked.
    explicit FlowTable(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    /// Sets the observer of requests, which must outlive the table; null for none.
    void setObserver(FlowTableObserver* observer) { m_observer = observer; }

    /// Measures response times of requests from now on.
    /// @param samples must outlive the object.
    void setSamples(ResponseSamples& samples) { m_samples = &samples; }

    FlowState* find(const FlowId& flow);

    /// @return true if a first packet of the flow has been sent to a target and no later one has come.
    bool isOpening(const FlowId& flow) const;

    /// Tracks a flow that was assigned to a target and replaces the flow's previous state.
    /// @return null if the table is full.
    FlowState* assign(const FlowId& flow, PooledTarget& target, TimePoint now);

    /// Updates a flow from the sequence numbers of its packet; an untracked flow is tracked from then on.
    FlowObservation observe(const FlowPacket& packet, PooledTarget& target, TimePoint now);

    /// Closes the flows of a target that wait for a response and match a condition.
    /// @return the closed flows, each with the last acknowledgement of its client.
    std::vector<std::pair<FlowId, std::uint32_t>> closePending(
        const PooledTarget& target, const std::function<bool(const FlowId&)>& matches);

    /// Removes flows that are closed, idle or older than maxAge.
    void expire(Duration idleTimeout, Duration maxAge, TimePoint now);

    std::size_t size() const { return m_flows.size(); }

private:
    static bool isCounted(const FlowState& state);
    static void setRequestPending(FlowState& state, bool pending);
    void close(FlowState& state);
    /// Counts the request that new data of a flow belongs to, unless it is counted already.
    void countRequest(FlowState& state, TimePoint now);
    /// Passes a packet on to the measurement of response times.
    void measure(const FlowPacket& packet, RequestProgress progress, FlowState& state, TimePoint now);
    void examineRequests(TimePoint now);

    std::size_t m_capacity;
    FlowTableObserver* m_observer = nullptr;
    ResponseSamples* m_samples = nullptr;
    std::unordered_map<FlowId, FlowState, FlowIdHash> m_flows;
};

}
