#pragma once

/// @file
/// Queue of new flows that wait for room: higher priorities first, client accounts by turns, then the earliest end of
/// the latency objective. Start-time fair queueing gives each flow the turn after its client account's previous one, so
/// a client account with many new flows delays only its own.

#include "admission/bulk_flows.h"
#include "bergamotroute/clock.h"
#include "bergamotroute/flow_packet.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace bergamotroute {

/// A new flow that waits for room.
struct WaitingFlow {
    /// Latest copy of the first packet.
    FlowPacket packet;
    std::shared_ptr<RouteDemand> route;
    std::string routeName;
    std::uint32_t priority = 0;
    TimePoint objectiveEnd;
    /// The flow is refused if it has not been admitted by this time.
    TimePoint waitEnd;
    std::uint64_t turn = 0;
};

class AdmissionQueue {
public:
    /// @return the waiting flow, or null. The pointer is valid until the queue changes.
    WaitingFlow* find(const FlowId& flow);

    /// @return number of flows ahead of a new one.
    std::size_t countAhead(const WaitingFlow& flow) const;

    /// @return true if a flow of this priority waits.
    bool hasPriority(std::uint32_t priority) const;

    void add(WaitingFlow flow);

    /// @return the flow to admit next, or null if the queue is empty. The pointer is valid until the queue changes.
    const WaitingFlow* next() const;

    /// Removes the flow that next() returns, because it is admitted.
    WaitingFlow takeNext();

    /// Removes the flows whose wait has ended.
    std::vector<WaitingFlow> takeOverdue(TimePoint now);

    /// Removes all flows.
    std::vector<WaitingFlow> takeAll();

    /// @return the earliest end of a wait, or nothing if the queue is empty.
    std::optional<TimePoint> nextWaitEnd() const;

    bool isEmpty() const { return m_flows.empty(); }
    std::size_t size() const { return m_flows.size(); }

private:
    using ClientKey = std::pair<std::uint32_t, std::uint32_t>;

    std::uint64_t nextTurn(std::uint32_t priority, std::uint32_t clientAddress) const;
    std::size_t nextIndex() const;
    void forgetTurnsIfEmpty();

    /// In order of admission.
    std::vector<WaitingFlow> m_flows;
    /// By priority: the turn that is being served.
    std::map<std::uint32_t, std::uint64_t> m_currentTurns;
    /// By priority and client address: the turn after the client account's last flow.
    std::map<ClientKey, std::uint64_t> m_nextTurns;
    /// By priority: number of the admission that served it last.
    std::map<std::uint32_t, std::uint64_t> m_lastServed;
    std::uint64_t m_admissions = 0;
    /// Admissions in a row that passed over a lower priority.
    unsigned m_passedOver = 0;
};

}
