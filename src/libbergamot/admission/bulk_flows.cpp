#include "admission/bulk_flows.h"

#include "bergamotroute/sequence_number.h"

#include <algorithm>

namespace bergamotroute {

namespace {

    /// Packets that a client sends without an acknowledgement.
    constexpr std::uint32_t windowPackets = 16;
    constexpr std::uint32_t windowBytes = windowPackets * packetBytes;
    /// Requests of up to this mean size need no admission.
    constexpr std::uint32_t smallRequestPackets = 2;
    /// Weight of the newest value in learned means.
    constexpr double newestWeight = 1.0 / 8;
    /// A flow without packets for this time is quiet. Clients repeat unacknowledged data after 200 and 600 ms.
    constexpr Duration quietTimeout { 500 };
    /// Time without new data after which further data is another request: clients repeat unacknowledged data after this
    /// time, so all data before has arrived.
    constexpr Duration requestGap { 200 };
    /// A client sends data as soon as its flow is open. If it sends none within its retransmission timeout, its target
    /// has probably not answered, and the flow does not use the link.
    constexpr Duration firstDataTimeout { 200 };
    /// Time within which a first packet that could not be forwarded at once is tried again.
    constexpr Duration openingTimeout { 1000 };
    /// Later requests of a flow that is not forgotten are learned in full.
    constexpr Duration idleTimeout { 30'000 };
    /// Clients give up a flow after 1.4 s if its first packet is not answered.
    constexpr Duration unestablishedTimeout { 2000 };

    void updateMean(double& mean, double value, bool isFirst)
    {
        mean = isFirst ? value : mean + (value - mean) * newestWeight;
    }

}

bool RouteDemand::isBulk() const
{
    return m_kind == RequestKind::Upload || m_meanBytes > smallRequestPackets * packetBytes;
}

std::uint32_t RouteDemand::claimBytes() const
{
    if (!m_hasRequests)
        return windowBytes;
    return std::clamp(static_cast<std::uint32_t>(m_meanBytes), packetBytes, windowBytes);
}

void RouteDemand::recordRequest(std::uint32_t bytes)
{
    updateMean(m_meanBytes, bytes, !m_hasRequests);
    m_hasRequests = true;
}

TimePoint BulkFlows::quietAt(const Flow& flow) const
{
    return flow.lastSeen + (flow.hasSentData || m_isOverloaded ? quietTimeout : firstDataTimeout);
}

void BulkFlows::setOverloaded(bool isOverloaded)
{
    if (isOverloaded == m_isOverloaded)
        return;
    m_isOverloaded = isOverloaded;
    // Claims may end earlier than before.
    m_nextExpiry = {};
}

void BulkFlows::endRequest(Flow& flow)
{
    if (flow.requestBytes > 0 && flow.sawBeginning)
        flow.route->recordRequest(flow.requestBytes);
    flow.requestBytes = 0;
    flow.sawBeginning = true;
}

void BulkFlows::claim(const FlowId& id, Flow& flow, TimePoint now)
{
    if (flow.claim > 0 || !flow.route->isBulk())
        return;
    flow.claim = flow.route->claimBytes();
    flow.claimedSince = now;
    m_claimedBytes += flow.claim;
    m_claims.insert(id);
    m_nextExpiry = std::min(m_nextExpiry, quietAt(flow));
}

void BulkFlows::release(const FlowId& id, Flow& flow, TimePoint now)
{
    if (flow.claim == 0)
        return;
    updateMean(m_meanClaimMs, static_cast<double>((now - flow.claimedSince).count()), m_meanClaimMs == 0);
    m_ended.count(now);
    dropClaim(id, flow);
}

void BulkFlows::dropClaim(const FlowId& id, Flow& flow)
{
    m_claimedBytes -= flow.claim;
    flow.claim = 0;
    m_claims.erase(id);
}

BulkFlows::FlowMap::iterator BulkFlows::add(const FlowId& id, const std::shared_ptr<RouteDemand>& route, TimePoint now)
{
    auto found = m_flows.find(id);
    if (found == m_flows.end()) {
        if (m_flows.size() >= m_capacity)
            return found;
        found = m_flows.try_emplace(id).first;
    }
    release(id, found->second, now);
    found->second = {};
    found->second.route = route;
    found->second.lastSeen = now;
    return found;
}

void BulkFlows::open(const FlowId& id, const std::shared_ptr<RouteDemand>& route, TimePoint now)
{
    const auto flow = add(id, route, now);
    if (flow != m_flows.end())
        claim(id, flow->second, now);
}

bool BulkFlows::isOpening(const FlowId& id, TimePoint now) const
{
    const auto found = m_flows.find(id);
    return found != m_flows.end() && !found->second.isEstablished && now - found->second.lastSeen < openingTimeout;
}

void BulkFlows::countData(const FlowId& id, Flow& flow, const FlowPacket& packet, TimePoint now)
{
    const std::uint32_t end = packet.sequence + packet.payloadBytes;
    if (packet.payloadBytes == 0 || !isAfter(end, flow.nextSequence))
        return;
    // A client that sends now and then without an answer, as on a stream, sends several small requests.
    if (now - flow.lastData >= requestGap)
        endRequest(flow);
    flow.lastData = now;
    flow.requestBytes += end - flow.nextSequence;
    flow.nextSequence = end;
    flow.hasSentData = true;
    flow.largestPacket = std::max(flow.largestPacket, packet.payloadBytes);
    const bool isLastOfRequest = packet.payloadBytes < flow.largestPacket;
    if (isLastOfRequest)
        release(id, flow, now);
    else
        claim(id, flow, now);
}

void BulkFlows::skipUnseenData(Flow& flow, const FlowPacket& packet, bool wasQuiet, TimePoint now)
{
    if (!isAfter(packet.sequence, flow.nextSequence))
        return;
    // A client sends at most one window ahead, and repeats what was lost before it is quiet. The data in between has
    // come through another host and may be several requests.
    if (!wasQuiet && packet.sequence - flow.nextSequence <= windowBytes)
        return;
    flow.requestBytes = 0;
    flow.sawBeginning = false;
    flow.nextSequence = packet.sequence;
    // The next data belongs to the same request.
    flow.lastData = now;
}

void BulkFlows::observe(const FlowPacket& packet, const std::shared_ptr<RouteDemand>& route, TimePoint now)
{
    auto found = m_flows.find(packet.flow);
    if (found == m_flows.end()) {
        // Without data, the flow has no claim, and its last acknowledgements may come after its end.
        if (packet.fin || packet.rst || packet.payloadBytes == 0)
            return;
        found = add(packet.flow, route, now);
        if (found == m_flows.end())
            return;
        found->second.sawBeginning = false;
    }
    Flow& flow = found->second;
    const bool wasQuiet = now >= quietAt(flow);
    flow.lastSeen = now;
    if (!flow.isEstablished) {
        flow.isEstablished = true;
        flow.nextSequence = packet.sequence;
        flow.acknowledged = packet.acknowledgement;
    }
    const bool isAnswered = isAfter(packet.acknowledgement, flow.acknowledged);
    if (isAnswered)
        flow.acknowledged = packet.acknowledgement;
    if (flow.hasSentData && (isAnswered || wasQuiet)) {
        endRequest(flow);
        release(packet.flow, flow, now);
    }
    skipUnseenData(flow, packet, wasQuiet, now);
    countData(packet.flow, flow, packet, now);
    if (!packet.fin && !packet.rst)
        return;
    endRequest(flow);
    release(packet.flow, flow, now);
    m_flows.erase(found);
}

void BulkFlows::forget(const FlowId& id)
{
    const auto found = m_flows.find(id);
    if (found == m_flows.end())
        return;
    dropClaim(id, found->second);
    m_flows.erase(found);
}

void BulkFlows::expireClaims(TimePoint now)
{
    if (now < m_nextExpiry)
        return;
    m_nextExpiry = noDeadline;
    std::vector<FlowId> quietFlows;
    for (const FlowId& id : m_claims) {
        const TimePoint quiet = quietAt(m_flows.at(id));
        if (now >= quiet)
            quietFlows.push_back(id);
        else
            m_nextExpiry = std::min(m_nextExpiry, quiet);
    }
    for (const FlowId& id : quietFlows)
        release(id, m_flows.at(id), now);
}

void BulkFlows::clear()
{
    m_flows.clear();
    m_claims.clear();
    m_claimedBytes = 0;
    m_nextExpiry = noDeadline;
}

void BulkFlows::expireFlows(TimePoint now)
{
    std::erase_if(m_flows, [now](const FlowMap::value_type& item) {
        const Flow& flow = item.second;
        const Duration timeout = flow.isEstablished ? idleTimeout : unestablishedTimeout;
        return flow.claim == 0 && now - flow.lastSeen >= timeout;
    });
}

std::optional<TimePoint> BulkFlows::nextExpiry() const
{
    if (m_claims.empty())
        return std::nullopt;
    return m_nextExpiry;
}

double BulkFlows::endRate(TimePoint now) const
{
    constexpr double msPerSecond = 1000;
    // With few arrivals, few claims end; how long a claim lasts shows how many could end.
    const double byDuration
        = m_meanClaimMs > 0 ? msPerSecond * static_cast<double>(m_claims.size()) / m_meanClaimMs : 0;
    return std::max(m_ended.perSecond(now), byDuration);
}

}
