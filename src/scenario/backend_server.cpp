#include "scenario/backend_server.h"

#include <algorithm>
#include <cstring>

namespace bergamotroute::scenario {

std::vector<std::byte> segmentPayload(FlowId flow, std::uint32_t sequence)
{
    std::vector<std::byte> payload(sizeof(flow) + sizeof(sequence));
    std::memcpy(payload.data(), &flow, sizeof(flow));
    std::memcpy(payload.data() + sizeof(flow), &sequence, sizeof(sequence));
    return payload;
}

BackendServer::BackendServer(BackendIdentity identity, FlowTable& flows, Send send)
    : m_identity(std::move(identity))
    , m_table(flows)
    , m_send(std::move(send))
{
}

bool BackendServer::serves(FlowId flow, std::uint32_t epoch) const
{
    return m_isAlive && epoch == m_epoch && m_flows.contains(flow);
}

void BackendServer::kill()
{
    m_isAlive = false;
    m_flows.clear();
}

void BackendServer::restart()
{
    kill();
    ++m_epoch;
    m_isAlive = true;
    isFrozen = false;
}

void BackendServer::receive(std::span<const std::byte> packet, SimTime now)
{
    if (!m_isAlive || isFrozen)
        return;
    std::error_code error;
    const PacketView view = parsePacket(packet, error);
    Flow* flow = error ? nullptr : m_table.find(view.flow);
    if (flow == nullptr) {
        m_table.count(Counter::Altered);
        return;
    }
    const auto& addresses = m_identity.serviceAddresses;
    if (std::find(addresses.begin(), addresses.end(), view.flow.destination) == addresses.end()) {
        m_table.traceEvent(flow->id, "at " + m_identity.name + ": wrong service");
        m_table.countFault(Counter::WrongService, flow->id);
        return;
    }
    flow->wasReceived = true;
    if (flow->isRefused)
        m_table.countFault(Counter::RefusedButRun, flow->id);
    if (view.flow.protocol == TransportProtocol::Udp)
        receiveDatagram(*flow, now);
    else
        receiveTcp(*flow, view, now);
}

void BackendServer::receiveDatagram(Flow& flow, SimTime now)
{
    if (m_flows.contains(flow.id))
        return;
    m_flows.emplace(flow.id, ServerFlow {});
    recordAccepted(flow, now);
}

void BackendServer::recordAccepted(Flow& flow, SimTime now)
{
    ++m_acceptedFlows;
    m_lastAccepted = now;
    m_table.traceEvent(flow.id, "accepted by " + m_identity.name);
    m_send({ Reply::Kind::Acknowledgement, flow.id, m_identity.index, m_epoch, 0, 0 });
}

void BackendServer::reply(Reply::Kind kind, const Flow& flow, const ServerFlow& record)
{
    m_send({ kind, flow.id, m_identity.index, m_epoch, record.serverInitialSequence, record.clientNextSequence });
}

void BackendServer::acceptFirstPacket(Flow& flow, const PacketView& packet, SimTime now)
{
    auto [entry, isNew] = m_flows.try_emplace(flow.id);
    ServerFlow& record = entry->second;
    if (isNew || record.clientInitialSequence != packet.sequence) {
        record.clientInitialSequence = packet.sequence;
        record.clientNextSequence = packet.sequence + 1;
        // The initial sequence number depends on the server and its epoch, so that a segment that acknowledges the flow
        // of another server, or of an earlier start, is recognised.
        record.serverInitialSequence = (static_cast<std::uint32_t>(m_identity.index) << 20) + m_epoch * 4096 + 1;
        recordAccepted(flow, now);
    }
    reply(Reply::Kind::SynAck, flow, record);
}

void BackendServer::receiveTcp(Flow& flow, const PacketView& packet, SimTime now)
{
    const auto entry = m_flows.find(flow.id);
    if ((packet.tcpFlags & TcpRst) != 0) {
        if (entry != m_flows.end() && !flow.isSilent && flow.phase == FlowPhase::Open)
            m_table.count(Counter::LiveFlowReset);
        m_flows.erase(flow.id);
        return;
    }
    if (packet.isFirstPacket()) {
        acceptFirstPacket(flow, packet, now);
        return;
    }
    const bool isKnown = entry != m_flows.end() && packet.acknowledgement == entry->second.serverInitialSequence + 1;
    if (isKnown) {
        receiveSegment(flow, entry->second, packet);
        return;
    }
    m_table.traceEvent(flow.id, "at " + m_identity.name + ": segment of an unknown flow, reset");
    m_send({ Reply::Kind::Reset, flow.id, m_identity.index, m_epoch, 0, packet.sequence });
}

void BackendServer::executeRequest(Flow& flow, const ServerFlow& record)
{
    if (++flow.executions > 1)
        m_table.countFault(Counter::RunTwice, flow.id);
    reply(Reply::Kind::Answer, flow, record);
}

void BackendServer::receiveSegment(Flow& flow, ServerFlow& record, const PacketView& packet)
{
    const bool isFin = (packet.tcpFlags & TcpFin) != 0;
    if (packet.payload.empty() && !isFin)
        return;
    const std::vector<std::byte> expected = segmentPayload(flow.id, packet.sequence);
    if (!packet.payload.empty()
        && !std::equal(expected.begin(), expected.end(), packet.payload.begin(), packet.payload.end()))
        m_table.count(Counter::Altered);
    const bool isInOrder = packet.sequence == record.clientNextSequence;
    if (isInOrder)
        record.clientNextSequence += static_cast<std::uint32_t>(packet.payload.size()) + (isFin ? 1 : 0);
    if (isFin && isInOrder) {
        reply(Reply::Kind::FinAck, flow, record);
        m_flows.erase(flow.id);
        return;
    }
    if (isInOrder && flow.kind == FlowKind::Request)
        executeRequest(flow, record);
    else if (!isInOrder && flow.kind == FlowKind::Request
        && packet.sequence + packet.payload.size() == record.clientNextSequence)
        reply(Reply::Kind::Answer, flow, record);
    else
        reply(Reply::Kind::Acknowledgement, flow, record);
}

}
