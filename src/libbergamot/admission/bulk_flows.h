#pragma once

/// @file
/// Learns how much the requests of each route send, and counts the open flows that are sending much: how many bytes of
/// the link's room they claim, and at which rate they end.

#include "admission/flow_rate.h"
#include "bergamotroute/clock.h"
#include "bergamotroute/flow_packet.h"
#include "bergamotroute/routing_document.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace bergamotroute {

/// Data that clients send in a full packet.
inline constexpr std::uint32_t packetBytes = 1200;

/// What the flows of one route have been seen to need.
class RouteDemand {
public:
    explicit RouteDemand(RequestKind kind)
        : m_kind(kind)
    {
    }

    void setKind(RequestKind kind) { m_kind = kind; }

    /// @return true if requests of the route are more than a few packets.
    bool isBulk() const;

    /// @return bytes of room that an open bulk flow of the route takes: what its client sends without an
    /// acknowledgement.
    std::uint32_t claimBytes() const;

    /// Records a request that a client has sent in full.
    void recordRequest(std::uint32_t bytes);

private:
    RequestKind m_kind;
    double m_meanBytes = 0;
    bool m_hasRequests = false;
};

/// Open flows of this host with their claims on the room for bulk flows. A claim ends when the flow's request is over:
/// the client has closed the flow, sent the last packet of a request (it is shorter than those before), acknowledged a
/// response, or become quiet.
class BulkFlows {
public:
    /// @param capacity maximum number of flows; further ones are not counted.
    explicit BulkFlows(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    /// Sets whether this host is overloaded. The first data of a flow may then be late, so its claim lasts longer.
    void setOverloaded(bool isOverloaded);

    /// Counts a flow whose first packet is forwarded now.
    void open(const FlowId& flow, const std::shared_ptr<RouteDemand>& route, TimePoint now);

    /// @return true if the first packet of the flow has been forwarded within the last second and no later one has
    /// come.
    bool isOpening(const FlowId& flow, TimePoint now) const;

    /// Updates a flow from a later packet; one that was opened through another host counts from then on.
    void observe(const FlowPacket& packet, const std::shared_ptr<RouteDemand>& route, TimePoint now);

    /// Removes a flow that this host resets. Its claim does not count as one that ends, because its duration says
    /// nothing about how long a request takes.
    void forget(const FlowId& flow);

    /// Ends the claims of flows that have been quiet.
    void expireClaims(TimePoint now);

    /// Forgets all flows and their claims, but not what has been learned.
    void clear();

    /// Forgets flows that have been idle for long.
    void expireFlows(TimePoint now);

    /// @return the earliest time at which a claim may end without a packet, or nothing if there is no claim.
    std::optional<TimePoint> nextExpiry() const;

    /// @return claimed bytes, and number of flows with a claim.
    std::uint64_t claimedBytes() const { return m_claimedBytes; }
    std::size_t claimCount() const { return m_claims.size(); }

    /// @return rate at which claims end, in flows per second; zero if unknown.
    double endRate(TimePoint now) const;

private:
    struct Flow {
        std::shared_ptr<RouteDemand> route;
        std::uint32_t nextSequence = 0;
        std::uint32_t acknowledged = 0;
        /// Data of the request in progress.
        std::uint32_t requestBytes = 0;
        std::uint32_t claim = 0;
        std::uint16_t largestPacket = 0;
        TimePoint claimedSince;
        TimePoint lastSeen;
        TimePoint lastData;
        bool isEstablished = false;
        bool hasSentData = false;
        /// This host has seen the request in progress from its beginning.
        bool sawBeginning = true;
    };
    using FlowMap = std::unordered_map<FlowId, Flow, FlowIdHash>;

    TimePoint quietAt(const Flow& flow) const;
    static void endRequest(Flow& flow);
    static void skipUnseenData(Flow& flow, const FlowPacket& packet, bool wasQuiet, TimePoint now);
    FlowMap::iterator add(const FlowId& id, const std::shared_ptr<RouteDemand>& route, TimePoint now);
    void countData(const FlowId& id, Flow& flow, const FlowPacket& packet, TimePoint now);
    void claim(const FlowId& id, Flow& flow, TimePoint now);
    void release(const FlowId& id, Flow& flow, TimePoint now);
    void dropClaim(const FlowId& id, Flow& flow);

    std::size_t m_capacity;
    FlowMap m_flows;
    std::unordered_set<FlowId, FlowIdHash> m_claims;
    std::uint64_t m_claimedBytes = 0;
    /// No claim ends without a packet before this time.
    TimePoint m_nextExpiry = noDeadline;
    bool m_isOverloaded = false;
    FlowRate m_ended;
    double m_meanClaimMs = 0;
};

}
