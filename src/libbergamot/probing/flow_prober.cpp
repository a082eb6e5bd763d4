#include "bergamotroute/flow_prober.h"

#include "bergamotroute/entry_host.h"
#include "bergamotroute/packet_builder.h"
#include "bergamotroute/sequence_number.h"
#include "bergamotroute/types.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <queue>
#include <unordered_map>

namespace bergamotroute {

namespace {

    constexpr unsigned maxProbes = 5;
    constexpr Duration probeInterval { 75'000 };
    constexpr std::uint32_t defaultIdleSeconds = 900;
    /// A flow whose caller sent FIN is removed without a reset after this time without packets; the target closes its
    /// side by itself.
    constexpr Duration finTimeout { 60'000 };
    /// Many flows can become idle at the same time, for example after an outage; their probes are sent in batches.
    constexpr std::size_t maxActionsPerCall = 500;
    constexpr Duration batchInterval { 100 };

    /// State of a flow that is needed to build a probe or a reset.
    struct ProbedFlow {
        FlowKey key;
        /// Next sequence number that the caller will send.
        std::uint32_t nextSequence = 0;
        /// Highest sequence number that the caller acknowledged.
        std::uint32_t acknowledged = 0;
        TimePoint lastSeen;
        /// Deadline of the flow's current entry in the queue; other entries of the flow are outdated and ignored.
        TimePoint queuedDeadline;
        std::uint8_t probesSent = 0;
        bool finSeen = false;
        bool hasAcknowledged = false;
    };

    /// Time without packets after which flows to one service address and port are probed. A steering group has few
    /// of them, so the list is searched linearly.
    struct IdleTimeout {
        Endpoint service;
        Duration timeout;
    };

    using QueueItem = std::pair<TimePoint, std::uint64_t>;

    FlowKey reversed(const FlowKey& key)
    {
        return { key.destination, key.source, key.destinationPort, key.sourcePort, key.protocol };
    }

    std::vector<std::byte> keepAlive(const ProbedFlow& flow)
    {
        return buildTcpPacket(reversed(flow.key), { TcpAck, flow.acknowledged - 1, flow.nextSequence });
    }

    std::vector<std::byte> resetToCaller(const ProbedFlow& flow)
    {
        return buildTcpPacket(reversed(flow.key), { TcpRst | TcpAck, flow.acknowledged, flow.nextSequence });
    }

    std::vector<std::byte> resetToTarget(const ProbedFlow& flow)
    {
        return buildTcpPacket(flow.key, { TcpRst | TcpAck, flow.nextSequence, flow.acknowledged });
    }

    std::uint32_t sequenceLength(const PacketView& packet)
    {
        const std::uint32_t flags
            = ((packet.tcpFlags & TcpSyn) != 0 ? 1 : 0) + ((packet.tcpFlags & TcpFin) != 0 ? 1 : 0);
        return static_cast<std::uint32_t>(packet.payload.size()) + flags;
    }

}

/// Keeps the sequence numbers of the flows to probe, and one valid queue entry for each flow.
class DefaultFlowProber final : public FlowProber {
public:
    explicit DefaultFlowProber(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    void handleConfiguration(const schema::Configuration& configuration, TimePoint) override
    {
        m_idleTimeouts.clear();
        for (const schema::Service& service : configuration.services()) {
            std::error_code error;
            const IpAddress address = IpAddress::parse(service.address(), error);
            const std::uint32_t seconds
                = service.probe_idle_seconds() == 0 ? defaultIdleSeconds : service.probe_idle_seconds();
            if (error || service.protocol() == schema::UDP)
                continue;
            for (const std::uint32_t port : service.ports())
                m_idleTimeouts.push_back(
                    { { address, static_cast<std::uint16_t>(port) }, std::chrono::seconds(seconds) });
        }
    }

    void handlePacket(std::uint64_t flow, const PacketView& packet, TimePoint now) override;
    void forget(std::uint64_t flow) override { m_flows.erase(flow); }
    std::vector<ProbeAction> advance(TimePoint now) override;

    TimePoint nextDeadline() const override
    {
        if (m_resumeAt != noDeadline)
            return m_resumeAt;
        return m_queue.empty() ? noDeadline : m_queue.top().first;
    }

private:
    void addFlow(std::uint64_t flow, const PacketView& packet, TimePoint now);
    void updateFlow(ProbedFlow& flow, const PacketView& packet, TimePoint now);
    std::optional<TimePoint> deadlineOf(const ProbedFlow& flow) const;
    void enqueue(std::uint64_t id, ProbedFlow& flow, TimePoint deadline);
    void handleDeadline(std::uint64_t id, TimePoint now, std::vector<ProbeAction>& actions);
    void probe(std::uint64_t id, ProbedFlow& flow, TimePoint now, std::vector<ProbeAction>& actions);

    std::size_t m_capacity;
    std::vector<IdleTimeout> m_idleTimeouts;
    std::unordered_map<std::uint64_t, ProbedFlow> m_flows;
    std::priority_queue<QueueItem, std::vector<QueueItem>, std::greater<>> m_queue;
    TimePoint m_resumeAt = noDeadline;
};

void DefaultFlowProber::handlePacket(std::uint64_t flow, const PacketView& packet, TimePoint now)
{
    if (packet.flow.protocol != TransportProtocol::Tcp)
        return;
    if ((packet.tcpFlags & TcpRst) != 0) {
        forget(flow);
        return;
    }
    const auto found = m_flows.find(flow);
    if (found == m_flows.end()) {
        addFlow(flow, packet, now);
        return;
    }
    const bool wasProbed = found->second.probesSent > 0;
    updateFlow(found->second, packet, now);
    const std::optional<TimePoint> deadline = deadlineOf(found->second);
    // An answer to a probe restarts the idle timeout, which may end before the next probe would have been due.
    if (wasProbed && deadline)
        enqueue(flow, found->second, *deadline);
}

void DefaultFlowProber::addFlow(std::uint64_t flow, const PacketView& packet, TimePoint now)
{
    if (m_flows.size() >= m_capacity)
        return;
    ProbedFlow probed;
    probed.key = packet.flow;
    probed.nextSequence = packet.sequence;
    updateFlow(probed, packet, now);
    const std::optional<TimePoint> deadline = deadlineOf(probed);
    if (deadline)
        enqueue(flow, m_flows[flow] = probed, *deadline);
}

void DefaultFlowProber::updateFlow(ProbedFlow& flow, const PacketView& packet, TimePoint now)
{
    const std::uint32_t next = packet.sequence + sequenceLength(packet);
    // A first packet on a known 5-tuple opens a new connection with new sequence numbers.
    if (packet.isFirstPacket()) {
        flow.nextSequence = next;
        flow.hasAcknowledged = false;
        flow.finSeen = false;
    } else if (isAfter(next, flow.nextSequence)) {
        flow.nextSequence = next;
    }
    if ((packet.tcpFlags & TcpAck) != 0) {
        if (!flow.hasAcknowledged || isAfter(packet.acknowledgement, flow.acknowledged))
            flow.acknowledged = packet.acknowledgement;
        flow.hasAcknowledged = true;
    }
    flow.finSeen = flow.finSeen || (packet.tcpFlags & TcpFin) != 0;
    flow.lastSeen = now;
    flow.probesSent = 0;
}

std::optional<TimePoint> DefaultFlowProber::deadlineOf(const ProbedFlow& flow) const
{
    const Endpoint service { flow.key.destination, flow.key.destinationPort };
    const auto idle = std::find_if(m_idleTimeouts.begin(), m_idleTimeouts.end(),
        [&service](const IdleTimeout& item) { return item.service == service; });
    if (idle == m_idleTimeouts.end())
        return std::nullopt;
    if (flow.finSeen)
        return flow.lastSeen + finTimeout;
    return flow.lastSeen + idle->timeout + flow.probesSent * probeInterval;
}

void DefaultFlowProber::enqueue(std::uint64_t id, ProbedFlow& flow, TimePoint deadline)
{
    flow.queuedDeadline = deadline;
    m_queue.emplace(deadline, id);
}

std::vector<ProbeAction> DefaultFlowProber::advance(TimePoint now)
{
    std::vector<ProbeAction> actions;
    m_resumeAt = noDeadline;
    while (!m_queue.empty() && m_queue.top().first <= now) {
        if (actions.size() >= maxActionsPerCall) {
            m_resumeAt = now + batchInterval;
            break;
        }
        const auto [deadline, id] = m_queue.top();
        m_queue.pop();
        const auto found = m_flows.find(id);
        if (found != m_flows.end() && found->second.queuedDeadline == deadline)
            handleDeadline(id, now, actions);
    }
    return actions;
}

void DefaultFlowProber::handleDeadline(std::uint64_t id, TimePoint now, std::vector<ProbeAction>& actions)
{
    ProbedFlow& flow = m_flows.at(id);
    const std::optional<TimePoint> deadline = deadlineOf(flow);
    if (!deadline) {
        m_flows.erase(id);
        return;
    }
    if (*deadline > now)
        enqueue(id, flow, *deadline);
    else if (flow.finSeen || !flow.hasAcknowledged)
        m_flows.erase(id);
    else
        probe(id, flow, now, actions);
}

void DefaultFlowProber::probe(std::uint64_t id, ProbedFlow& flow, TimePoint now, std::vector<ProbeAction>& actions)
{
    if (flow.probesSent < maxProbes) {
        ++flow.probesSent;
        actions.push_back({ ProbeAction::Kind::Probe, id, keepAlive(flow) });
        enqueue(id, flow, now + probeInterval);
        return;
    }
    actions.push_back({ ProbeAction::Kind::ResetTarget, id, resetToTarget(flow) });
    actions.push_back({ ProbeAction::Kind::ResetCaller, id, resetToCaller(flow) });
    m_flows.erase(id);
}

std::unique_ptr<FlowProber> makeFlowProber(const EntryHostOptions& options)
{
    return std::make_unique<DefaultFlowProber>(options.flowCacheEntries);
}

}
