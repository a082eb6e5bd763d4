#pragma once

/// @file
/// Queue of new flows that wait for room: higher priorities first; within one priority, routes and then client accounts
/// take turns; then the earliest end of the latency objective. Turns follow start-time fair queueing, so a route or a
/// client account with many new flows delays only its own.

#include "admission/bulk_flows.h"
#include "bergamotroute/clock.h"
#include "bergamotroute/flow_packet.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
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
    TimePoint arrival;
    TimePoint objectiveEnd;
    /// The flow is refused if it has not been admitted by this time.
    TimePoint waitEnd;
    std::uint64_t turn = 0;
    /// Number of the latest copy of the first packet; the original is 0.
    std::uint32_t lastCopy = 0;
    /// A copy before the latest one has not come here, so another host may have forwarded it.
    bool hasSkippedCopy = false;
};

class AdmissionQueue {
public:
    /// @return the waiting flow, or null. The pointer is valid until the queue changes.
    WaitingFlow* find(const FlowId& flow);

    /// @return number of waiting flows that are admitted before a new one.
    std::size_t countAhead(const WaitingFlow& flow) const;

    /// @return true if a flow of this priority waits.
    bool hasPriority(std::uint32_t priority) const;

    /// @param flow its turn is set here.
    void add(WaitingFlow flow);

    /// @return the flow to admit next, or null if the queue is empty. The pointer is valid until the queue changes.
    const WaitingFlow* next() const;

    /// Removes the flow that next() returns, because it is admitted.
    WaitingFlow takeNext();

    /// Removes a flow that is not admitted.
    /// @return the flow, or nothing if it does not wait.
    std::optional<WaitingFlow> take(const FlowId& flow);

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

    /// State of one priority.
    struct Level {
        /// Turns of clients and of routes that are being served.
        std::uint64_t clientTurn = 0;
        std::uint64_t routeTurn = 0;
        /// Number of the admission that served it last.
        std::uint64_t lastServed = 0;
    };

    /// @return the turn of the next flow of a client account.
    std::uint64_t clientTurn(const WaitingFlow& flow) const;
    /// @return the turn of a waiting flow's route.
    std::uint64_t routeTurn(const WaitingFlow& flow) const;
    const Level& levelOf(std::uint32_t priority) const;
    bool isAhead(const WaitingFlow& left, const WaitingFlow& right) const;
    /// @return the priority that is served next. The queue must not be empty.
    std::uint32_t nextPriority() const;
    std::size_t nextIndex() const;
    std::vector<WaitingFlow>::iterator locate(const FlowId& flow);
    void returnTurn(const WaitingFlow& flow);
    void forgetTurnsIfEmpty();

    /// In order of arrival.
    std::vector<WaitingFlow> m_flows;
    /// Waiting flows, for each of which there is one element of m_flows.
    std::unordered_set<FlowId, FlowIdHash> m_ids;
    std::map<std::uint32_t, Level> m_levels;
    /// The turn after the last one, by priority and client address, and by route.
    std::map<ClientKey, std::uint64_t> m_clientTurns;
    std::map<const RouteDemand*, std::uint64_t> m_routeTurns;
    std::uint64_t m_admissions = 0;
    /// Admissions in a row that passed over a lower priority.
    unsigned m_passedOver = 0;
};

}
