#pragma once

/// @file
/// All flows of a run with what happened to them. The checks of a scenario read it; the code under test does not see
/// it.

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

/// One flow as its caller sees it.
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

/// Things that a scenario counts.
enum class Counter : std::uint8_t {
    /// Established flows that ended although their backend server lives.
    Broken,
    /// Flows that ended because their backend server died.
    EndedWithTarget,
    /// Flows that never opened within the caller's attempts.
    Unopened,
    /// Flows that two living backend servers accepted.
    Split,
    /// Packets that reached a backend server of another service.
    WrongService,
    /// Packets whose content changed on the way.
    Altered,
    /// Requests that ran more than once.
    RunTwice,
    Refused,
    /// Refused flows of which a backend server received a packet.
    RefusedButRun,
    Opened,
    Answered,
    /// Requests that ended without an answer although their backend server lives.
    Unanswered,
    /// Configuration revisions that went back on a running host.
    Reverted,
    /// Resets that a backend server received for a flow of a caller that is not silent.
    LiveFlowReset,
    /// Packets handed to an entry host that it dropped with a result code.
    Dropped,
    Count,
};

std::string_view counterName(Counter counter);
inline constexpr std::size_t counterCount = static_cast<std::size_t>(Counter::Count);
using Counters = std::array<std::uint64_t, counterCount>;

/// Flows, counters and the packet history of one flow.
class FlowTable {
public:
    explicit FlowTable(const EventQueue& queue)
        : m_queue(queue)
    {
    }

    Flow& add(const Flow& flow);
    Flow& at(FlowId id) { return m_flows[id]; }
    std::size_t size() const { return m_flows.size(); }
    /// @return the flow of a packet between caller and service, or a null pointer.
    Flow* find(const FlowKey& key);
    FlowKey key(const Flow& flow) const;

    void count(Counter counter) { ++m_counters[static_cast<std::size_t>(counter)]; }
    /// Counts a fault of a flow and keeps its number, so that a failing run names flows to trace.
    void countFault(Counter counter, FlowId flow);
    const std::vector<FlowId>& firstFaultyFlows() const { return m_firstFaultyFlows; }
    const Counters& counters() const { return m_counters; }

    /// Writes the packet history of one flow while the run goes on.
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
