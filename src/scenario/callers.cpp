#include "scenario/callers.h"

#include "bergamotroute/packet_builder.h"

#include <algorithm>

namespace bergamotroute::scenario {

namespace {

    // Initial retransmission timeouts of common TCP stacks: 1 s for a SYN (RFC 6298), then 200 ms on paths with a short
    // round trip.
    constexpr SimTime firstPacketTimeout = microsecondsPerSecond;
    constexpr SimTime segmentTimeout = 200 * microsecondsPerMillisecond;
    constexpr SimTime maxTimeout = 4 * microsecondsPerSecond;
    constexpr int firstPacketAttempts = 6;
    constexpr int segmentAttempts = 15;

}

Callers::Callers(EventQueue& queue, Random& random, FlowTable& flows, Send send, IsServed isServed)
    : m_queue(queue)
    , m_random(random)
    , m_flows(flows)
    , m_send(std::move(send))
    , m_isServed(std::move(isServed))
{
}

void Callers::open(const ServiceEndpoint& endpoint, FlowKind kind, SimTime interval, SimTime lifetime)
{
    Flow flow;
    flow.service = endpoint.service;
    flow.kind = kind;
    flow.serviceAddress = endpoint.address;
    flow.servicePort = endpoint.port;
    flow.intervalMs = static_cast<std::int32_t>(interval / microsecondsPerMillisecond);
    flow.endTime = lifetime > 0 ? m_queue.now() + lifetime : 0;
    flow.sequence = static_cast<std::uint32_t>(m_random.bits());
    Flow& added = m_flows.add(flow);
    if (kind == FlowKind::Datagrams)
        sendDatagram(added);
    else
        startSegment(added, TcpSyn);
}

void Callers::armTimer(Flow& flow, SimTime delay)
{
    const std::uint32_t generation = ++flow.timerGeneration;
    m_queue.after(delay, [this, id = flow.id, generation] { handleTimer(id, generation); });
}

void Callers::stopTimer(Flow& flow) { ++flow.timerGeneration; }

void Callers::handleTimer(FlowId id, std::uint32_t generation)
{
    Flow& flow = m_flows.at(id);
    if (flow.timerGeneration != generation || flow.phase >= FlowPhase::Closed)
        return;
    if (flow.kind == FlowKind::Datagrams)
        sendDatagram(flow);
    else if (flow.isAwaitingAcknowledgement)
        resend(flow);
    else
        sendNext(flow);
}

void Callers::sendSegment(Flow& flow, std::uint8_t flags, bool withPayload)
{
    if (flow.isSilent)
        return;
    flow.lastSent = m_queue.now();
    const std::uint32_t acknowledgement = (flags & TcpSyn) != 0 ? 0 : flow.serverSequence + 1;
    std::vector<std::byte> payload;
    if (withPayload)
        payload = segmentPayload(flow.id, flow.sequence);
    m_send(flow.id, buildTcpPacket(m_flows.key(flow), { flags, flow.sequence, acknowledgement }, payload));
}

void Callers::startSegment(Flow& flow, std::uint8_t flags)
{
    flow.segmentFlags = flags;
    flow.attempts = 1;
    flow.isAwaitingAcknowledgement = true;
    sendSegment(flow, flags, (flags & TcpPsh) != 0);
    armTimer(flow, flags == TcpSyn ? firstPacketTimeout : segmentTimeout);
}

void Callers::resend(Flow& flow)
{
    const bool isFirst = flow.segmentFlags == TcpSyn;
    if (flow.attempts >= (isFirst ? firstPacketAttempts : segmentAttempts)) {
        fail(flow, "no acknowledgement");
        return;
    }
    ++flow.attempts;
    sendSegment(flow, flow.segmentFlags, (flow.segmentFlags & TcpPsh) != 0);
    const SimTime timeout = (isFirst ? firstPacketTimeout : segmentTimeout) << std::min<int>(flow.attempts - 1, 5);
    armTimer(flow, std::min(timeout, maxTimeout));
}

void Callers::sendNext(Flow& flow)
{
    if (flow.endTime > 0 && m_queue.now() >= flow.endTime) {
        flow.phase = FlowPhase::Closing;
        startSegment(flow, TcpFin | TcpAck);
    } else {
        startSegment(flow, TcpPsh | TcpAck);
    }
}

void Callers::sendDatagram(Flow& flow)
{
    if (flow.endTime > 0 && m_queue.now() >= flow.endTime) {
        finish(flow, FlowPhase::Closed);
        return;
    }
    flow.lastSent = m_queue.now();
    m_send(flow.id, buildUdpPacket(m_flows.key(flow), segmentPayload(flow.id, flow.sequence)));
    armTimer(flow, flow.intervalMs * microsecondsPerMillisecond);
}

void Callers::handleReply(const Reply& reply)
{
    Flow& flow = m_flows.at(reply.flow);
    if (flow.isSilent)
        return;
    if (flow.kind == FlowKind::Datagrams)
        handleDatagramReceived(flow, reply);
    else if (reply.kind == Reply::Kind::SynAck)
        handleSynAck(flow, reply);
    else if (reply.kind == Reply::Kind::Reset)
        handleReset(flow, reply);
    else if (reply.server == flow.server)
        handleAcknowledgement(flow, reply);
}

void Callers::handleDatagramReceived(Flow& flow, const Reply& reply)
{
    const bool isFirst = flow.server == noBackend;
    if (isFirst) {
        m_flows.count(Counter::Opened);
        flow.phase = FlowPhase::Open;
    } else if (m_isServed(flow)) {
        m_flows.traceEvent(flow.id, "datagrams now reach another backend server");
        m_flows.countFault(Counter::Broken, flow.id);
    }
    flow.server = reply.server;
    flow.serverEpoch = reply.epoch;
}

void Callers::handleSynAck(Flow& flow, const Reply& reply)
{
    if (flow.phase != FlowPhase::Opening) {
        const bool isOther = reply.server != flow.server || reply.epoch != flow.serverEpoch;
        if (isOther && flow.phase < FlowPhase::Closed && m_isServed(flow)) {
            m_flows.traceEvent(flow.id, "accepted by a second backend server");
            m_flows.countFault(Counter::Split, flow.id);
        }
        return;
    }
    flow.phase = FlowPhase::Open;
    flow.server = reply.server;
    flow.serverEpoch = reply.epoch;
    flow.serverSequence = reply.serverSequence;
    flow.isAwaitingAcknowledgement = false;
    flow.sequence += 1;
    m_flows.count(Counter::Opened);
    if (flow.kind == FlowKind::Request) {
        startSegment(flow, TcpPsh | TcpAck);
        return;
    }
    sendSegment(flow, TcpAck, false);
    if (flow.intervalMs > 0)
        armTimer(flow, m_random.upTo(flow.intervalMs * microsecondsPerMillisecond));
    else
        stopTimer(flow);
}

void Callers::handleAcknowledgement(Flow& flow, const Reply& reply)
{
    const std::uint32_t length = (flow.segmentFlags & TcpFin) != 0 ? 1 : sizeof(FlowId) + sizeof(flow.sequence);
    if (!flow.isAwaitingAcknowledgement || reply.acknowledgement != flow.sequence + length)
        return;
    flow.sequence = reply.acknowledgement;
    flow.isAwaitingAcknowledgement = false;
    if (flow.phase == FlowPhase::Closing) {
        finish(flow, FlowPhase::Closed);
    } else if (reply.kind == Reply::Kind::Answer) {
        m_flows.count(Counter::Answered);
        flow.phase = FlowPhase::Closing;
        startSegment(flow, TcpFin | TcpAck);
    } else {
        armTimer(flow, flow.intervalMs * microsecondsPerMillisecond);
    }
}

void Callers::handleReset(Flow& flow, const Reply& reply)
{
    // A reset in reply to a late duplicate carries an old sequence number, which the TCP stack of the caller ignores.
    const bool isCurrent = reply.acknowledgement == flow.sequence;
    if (isCurrent && flow.phase < FlowPhase::Closed)
        fail(flow, "reset by a backend server");
}

void Callers::handleHostPacket(std::span<const std::byte> packet)
{
    std::error_code error;
    const PacketView view = parsePacket(packet, error);
    if (error)
        return;
    FlowKey key = view.flow;
    std::swap(key.source, key.destination);
    std::swap(key.sourcePort, key.destinationPort);
    Flow* flow = m_flows.find(key);
    if (flow == nullptr || flow->isSilent)
        return;
    if ((view.tcpFlags & TcpRst) == 0) {
        m_flows.traceEvent(flow->id, "probed by an entry host");
        if (flow->phase < FlowPhase::Closed)
            sendSegment(*flow, TcpAck, false);
        return;
    }
    if (flow->phase != FlowPhase::Opening) {
        if (flow->phase < FlowPhase::Closed)
            fail(*flow, "reset by an entry host");
        return;
    }
    m_flows.traceEvent(flow->id, "refused by an entry host");
    m_flows.count(Counter::Refused);
    flow->isRefused = true;
    if (flow->wasReceived)
        m_flows.countFault(Counter::RefusedButRun, flow->id);
    finish(*flow, FlowPhase::Closed);
}

void Callers::silence(Flow& flow)
{
    flow.isSilent = true;
    stopTimer(flow);
    m_flows.traceEvent(flow.id, "goes silent");
}

void Callers::finish(Flow& flow, FlowPhase phase)
{
    flow.phase = phase;
    flow.isAwaitingAcknowledgement = false;
    stopTimer(flow);
}

void Callers::fail(Flow& flow, const char* reason)
{
    m_flows.traceEvent(flow.id, std::string("ended: ") + reason);
    const bool wasOpening = flow.phase == FlowPhase::Opening;
    const bool wasClosing = flow.phase == FlowPhase::Closing;
    const bool isServed = !wasOpening && m_isServed(flow);
    if (wasOpening)
        m_flows.count(Counter::Unopened);
    else if (isServed)
        m_flows.countFault(Counter::Broken, flow.id);
    else if (!wasClosing)
        m_flows.count(Counter::EndedWithTarget);
    if (isServed && !wasClosing && flow.kind == FlowKind::Request)
        m_flows.count(Counter::Unanswered);
    finish(flow, FlowPhase::Broken);
}

}
