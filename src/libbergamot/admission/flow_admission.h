#pragma once

/// @file
/// Admission of new flows on a host with a small link: flows that send much share the room that the link has, and wait
/// for it or are refused before any of their packets is forwarded. docs/design/overload.md gives the reasons.

#include "admission/admission_queue.h"
#include "admission/bulk_flows.h"
#include "bergamotroute/clock.h"
#include "bergamotroute/cookie_steering.h"
#include "bergamotroute/flow_packet.h"
#include "bergamotroute/link_state.h"
#include "bergamotroute/routing_document.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bergamotroute {

/// Outcome for a new flow.
enum class FlowVerdict {
    Admit,
    Wait,
    /// Refused at once, because the flow would not be admitted within the time that it may wait.
    RefuseNoRoom,
    /// Refused after its wait.
    RefuseWaitedTooLong,
    /// Dropped without an answer after its wait: an expected retransmission of its first packet has not come, so
    /// another host may have received and forwarded it.
    DropWaitedTooLong,
    /// Dropped without an answer, because the flow has been opened through another host.
    DropOpenElsewhere,
};

/// A waiting flow about which has been decided.
struct AdmissionRelease {
    /// Latest copy of the flow's first packet.
    FlowPacket packet;
    std::string routeName;
    FlowVerdict verdict = FlowVerdict::Admit;
};

class FlowAdmission {
public:
    /// @param flowCapacity maximum number of flows that are tracked.
    explicit FlowAdmission(std::size_t flowCapacity)
        : m_flows(flowCapacity)
    {
    }

    /// Applies the document in force.
    void setDocument(const RoutingDocument& document);

    /// Applies the state of this host's link; its rate must be known.
    void setLinkState(const LinkState& state);

    /// Decides on a first packet of a flow that has no target yet. The same flow may ask again.
    FlowVerdict decide(const FlowPacket& packet, const Route& route, TimePoint now);

    /// Counts a later packet of a flow.
    void observe(const FlowPacket& packet, const Route& route, TimePoint now);

    /// Ends the claim of a flow that is reset.
    void forget(const FlowId& flow) { m_flows.forget(flow); }

    /// @return waiting flows that are admitted now, refused because their wait has ended, or dropped.
    std::vector<AdmissionRelease> takeReleases(TimePoint now);

    /// Admits all waiting flows and forgets all flows, because admission is no longer in force.
    std::vector<AdmissionRelease> releaseAll(TimePoint now);

    /// @return the time at which takeReleases() is due at the latest, or nothing if no flow is to be released.
    std::optional<TimePoint> nextRelease() const;

    /// Removes expired state; to be called a few times per second.
    void advance(TimePoint now);

    AdmissionMetrics metrics() const;

private:
    using RouteKey = std::pair<std::uint32_t, std::uint16_t>;

    struct Refusal {
        /// Time until which the first packet may be repeated.
        TimePoint expiry;
        /// Number of the latest copy of the first packet.
        std::uint32_t lastCopy = 0;
    };

    std::shared_ptr<RouteDemand> demandOf(const Route& route);
    FlowVerdict admit(const FlowId& flow, const std::shared_ptr<RouteDemand>& demand, TimePoint now);
    FlowVerdict refuse(const FlowPacket& packet, const std::string& route, FlowVerdict verdict, TimePoint now);
    void countRefusal(const std::string& route, FlowVerdict verdict);
    void rememberRefusal(const FlowId& flow, std::uint32_t lastCopy, TimePoint now);
    /// @return true if this host has received all copies of the first packet up to this one and has forwarded none.
    bool hasRefusedAllBefore(const FlowPacket& packet) const;
    FlowVerdict endWait(const WaitingFlow& flow, TimePoint now);
    bool admitsSmall(const Route& route);
    bool hasRoomFor(const RouteDemand& demand) const;
    bool exceedsPermittedWait(const WaitingFlow& flow, TimePoint now) const;

    BulkFlows m_flows;
    AdmissionQueue m_queue;
    /// Flows that have waited here and are open through another host, until they are released.
    std::vector<AdmissionRelease> m_openElsewhere;
    std::map<RouteKey, std::shared_ptr<RouteDemand>> m_demands;
    /// Flows that this host has refused or dropped after it has received each copy up to the last one.
    std::unordered_map<FlowId, Refusal, FlowIdHash> m_refused;
    /// By route, of which a bounded number is told apart.
    std::map<std::string, FlowRefusals> m_refusals;
    double m_roomBytes = 0;
    Duration m_urgentDelay { 0 };
    std::uint32_t m_lowestPriority = 0;
    std::uint32_t m_smallRefusals = 0;
    std::uint64_t m_waited = 0;
};

}
