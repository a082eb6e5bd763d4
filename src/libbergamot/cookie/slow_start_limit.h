#pragma once

/// @file
/// Limits the new requests that all entry hosts together send to a target in slow start, without messages between them:
/// one entry host owns the target and counts its requests. docs/design/evacuation.md compares this with shares and
/// leases.

#include "bergamotroute/cookie_steering.h"
#include "bergamotroute/routing_document.h"
#include "cookie/flow_table.h"
#include "cookie/request_window.h"
#include "cookie/target_pool.h"

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bergamotroute {

struct SlowStartOptions {
    /// Name of this entry host.
    std::string host;
    /// A target in slow start gets at most factor times the rate of its service, plus the allowance, in any second.
    /// There is no limit if both are zero.
    double factor = 0;
    /// Requests per second.
    double allowance = 0;
    Duration targetHeartbeat { 0 };
};

class SlowStartLimit final : public FlowTableObserver {
public:
    /// @param pool must outlive the object.
    SlowStartLimit(SlowStartOptions options, const TargetPool& pool);

    /// Applies the rates in slow start of a routing document.
    void setDocument(const RoutingDocument& document);

    /// Sets the entry hosts that a control host lists. The list takes effect with the next refreshView(), because a
    /// control host without a majority may list too few.
    void setEntryHosts(std::vector<EntryHostLocation> hosts);

    /// Records a response of a control host that is in contact with a majority.
    void refreshView(TimePoint now);

    /// Records that a target which could not be reached can be reached again. Until an answer of a control host that is
    /// later than this by the time for propagation, the target may have been started again.
    void recordRecovery(const PooledTarget& target, TimePoint now);

    /// @return true if the target is in slow start and its service has a limit.
    bool isLimited(const PooledTarget& target, TimePoint now) const;

    /// @return true if this host may send the first packet of a new flow to a limited target.
    bool permits(const PooledTarget& target, TimePoint now);

    /// Counts a first packet that is sent to a target.
    /// @param flow state of the flow, or null if the flow is not tracked.
    void recordFirstPacket(const PooledTarget& target, FlowState* flow, TimePoint now);

    void handleRequest(const FlowState& flow, TimePoint now) override;
    void handleSingleRequestFlow(const FlowState& flow) override;

    /// Forgets counts and ownership of targets that are no longer in slow start.
    void advance(TimePoint now);

    SlowStartStatus status(TimePoint now);

private:
    /// Limit of a service.
    struct Rule {
        std::uint32_t permittedRequests = 0;
        /// Half of the allowed number is less than one, so that two hosts with different lists must not both send.
        bool needsSettledList = false;
    };

    /// Flows of a service that this host has seen from their first packet on.
    struct FlowHistory {
        bool hasRecurred = false;
        /// Flows that have ended after one request since the last recurring flow.
        std::uint32_t singleRequestFlows = 0;
    };

    /// Forgets ownerships and recoveries of targets that are no longer in the pool or in slow start.
    void forgetTargets(TimePoint now);
    const Rule* findRule(const PooledTarget& target) const;
    /// @return true if control hosts have told whether the target was started again before it could be reached.
    bool isRecoveryKnown(TimePoint recovery) const;
    TimePoint slowStartEnd(const PooledTarget& target) const;
    bool isViewStale(TimePoint now) const;
    bool owns(const PooledTarget& target, const Rule& rule, TimePoint now);
    bool isOwnerInList(const PooledTarget& target) const;
    std::uint32_t expectedRequests(const PooledTarget& target, TimePoint now);
    bool mayRecur(const std::string& service) const;

    SlowStartOptions m_options;
    const TargetPool& m_pool;
    std::unordered_map<std::string, Rule> m_rules;
    /// By service.
    std::unordered_map<std::string, FlowHistory> m_flowHistories;
    Duration m_longestSlowStart { 0 };
    std::vector<EntryHostLocation> m_hosts;
    /// Received since the last contact.
    std::vector<EntryHostLocation> m_nextHosts;
    TimePoint m_listChanged;
    std::optional<TimePoint> m_lastContact;
    /// Begin of the contact with control hosts that has not been interrupted since.
    TimePoint m_contactSince;
    /// By number of the target: whether this host is the owner by the list in use.
    std::unordered_map<std::uint64_t, bool> m_ownerships;
    std::unordered_map<std::uint64_t, RequestWindow> m_windows;
    std::unordered_map<std::uint64_t, TimePoint> m_recoveries;
};

}
