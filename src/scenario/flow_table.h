#pragma once

/// @file
/// All flows of a run and their outcomes. Only the checks of a scenario read this table; the code under test has no
/// access to it.

#include "bergamotroute/packet.h"
#include "scenario/event_queue.h"

#include <array>
#include <cstdint>
#include <functional>
#include <iosfwd>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bergamotroute::scenario {

using FlowId = std::uint32_t;
using BackendIndex = std::int32_t;
inline constexpr BackendIndex noBackend = -1;

enum class FlowKind : std::uint8_t {
    Feed,
    Request,
    Datagrams,
};

enum class FlowPhase : std::uint8_t {
    Opening,
    Open,
    Closing,
    Closed,
    Broken,
};

/// State of one flow at its caller.
struct Flow {
    FlowId id = 0;
    std::uint16_t service = 0;
    FlowKind kind = FlowKind::Feed;
    FlowPhase phase = FlowPhase::Opening;
    bool isSilent = false;
    bool isRefused = false;
    bool wasReceived = false;
    bool isAwaitingAcknowledgement = false;
    std::uint8_t attempts = 0;
    std::uint8_t executions = 0;
    std::uint8_t segmentFlags = 0;
    std::uint32_t sequence = 0;
    std::uint32_t serverSequence = 0;
    std::uint32_t timerGeneration = 0;
    BackendIndex server = noBackend;
    std::uint32_t serverEpoch = 0;
    std::int32_t intervalMs = 0;
    SimTime endTime = 0;
    SimTime lastSent = 0;
    IpAddress serviceAddress;
    std::uint16_t servicePort = 0;
};

/// Counters that scenarios check; the names in counterName() are those of the scenario language.
enum class Counter : std::uint8_t {
    /// Established flows that ended although their backend server is alive.
    Broken,
    /// Flows that ended because their backend server failed.
    EndedWithTarget,
    /// Flows that were not established within the retransmissions of the caller.
    Unopened,
    /// Flows accepted by two backend servers that are both alive.
    Split,
    /// Packets that reached a backend server of another service.
    WrongService,
    /// Packets whose content changed in transit.
    Altered,
    /// Requests that were executed more than once.
    RunTwice,
    Refused,
    /// Flows refused by an entry host of which a backend server nevertheless received a packet.
    RefusedButRun,
    Opened,
    Answered,
    /// Requests that ended without an answer although their backend server is alive.
    Unanswered,
    /// Times that a running host went back to an older configuration revision.
    Reverted,
    /// Resets that a backend server received for an open flow whose caller still responds.
    LiveFlowReset,
    /// Packets that an entry host dropped with a result code.
    Dropped,
    Count,
};

std::string_view counterName(Counter counter);
inline constexpr std::size_t counterCount = static_cast<std::size_t>(Counter::Count);
using Counters = std::array<std::uint64_t, counterCount>;

/// Flows and counters of a run, and the packet trace of one flow.
class FlowTable {
public:
    explicit FlowTable(const EventQueue& queue)
        : m_queue(queue)
    {
    }

    Flow& add(const Flow& flow);
    Flow& at(FlowId id) { return m_flows[id]; }
    std::size_t size() const { return m_flows.size(); }
    /// @return the flow of a packet from a caller to a service, or a null pointer.
    Flow* find(const FlowKey& key);
    FlowKey key(const Flow& flow) const;

    void count(Counter counter) { ++m_counters[static_cast<std::size_t>(counter)]; }
    /// Counts a fault of a flow and records the number of the flow, so that a failed run reports flows to trace.
    void countFault(Counter counter, FlowId flow);
    const std::vector<FlowId>& firstFaultyFlows() const { return m_firstFaultyFlows; }
    const Counters& counters() const { return m_counters; }

    /// Starts to write the packet trace of one flow to the output, which must outlive the run.
    void startTrace(FlowId flow, std::ostream& output);
    bool isTracing() const { return m_traceOutput != nullptr; }
    bool isTraced(FlowId flow) const { return m_traceOutput != nullptr && flow == m_tracedFlow; }
    void traceEvent(FlowId flow, const std::string& text);

private:
    const EventQueue& m_queue;
    std::vector<Flow> m_flows;
    Counters m_counters {};
    std::vector<FlowId> m_firstFaultyFlows;
    FlowId m_tracedFlow = 0;
    std::ostream* m_traceOutput = nullptr;
};

}
