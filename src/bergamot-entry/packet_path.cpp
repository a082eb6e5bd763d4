#include "bergamot-entry/packet_path.h"

#include "bergamot-entry/flow_endpoint.h"
#include "libbergamotio/connect_probe.h"
#include "libbergamotio/log.h"

#include <algorithm>

namespace bergamotroute {

namespace {

    /// Maximum datagram size: a packet of 1,500 bytes and its prefix, with headroom.
    constexpr std::size_t maxDatagramBytes = 2048;
    constexpr unsigned maxBatchesPerEvent = 4;
    /// Limits on the number of packets that wait for the target registry or the routing document, and on their waiting
    /// time, which is shorter than the time after which clients give up.
    constexpr std::size_t maxHeldPackets = 2048;
    constexpr Duration heldLifetime { 500 };
    /// Limit on the number of first packets that wait for room; flow admission has a lower one.
    constexpr std::size_t maxWaitingPackets = 1024;
    /// Interval at which suspected targets are checked for a due probe while no packets arrive.
    constexpr Duration probeCheckInterval { 100 };

}

PacketPath::PacketPath(EventLoop& loop, CookieSteering& steering, const FlowPacketCodec& codec,
    double linkBytesPerSecond, prometheus::Registry& registry)
    : m_loop(loop)
    , m_steering(steering)
    , m_codec(codec)
    , m_socket(maxDatagramBytes)
    , m_sender(loop, steering, m_socket, linkBytesPerSecond)
    , m_heldPackets(maxHeldPackets, heldLifetime)
    , m_batchTime(registry, "bergamot_entry_packet_seconds", "Time from receiving a batch of packets to forwarding it.")
    , m_heldTimer(loop, [this] { retryHeldPackets(); })
    , m_releaseTimer(loop,
          [this] {
              releaseWaitingPackets();
              m_sender.finishBatch();
          })
    , m_probeTimer(loop, [this] { startProbes(); })
{
}

std::error_code PacketPath::open(const Endpoint& listen)
{
    m_listen = listen;
    if (const std::error_code error = m_socket.open(listen))
        return error;
    m_watch = std::make_unique<ReadWatch>(m_loop, m_socket.descriptor(), [this] { receive(); });
    return {};
}

void PacketPath::receive()
{
    const auto begin = std::chrono::steady_clock::now();
    for (unsigned batch = 0; batch < maxBatchesPerEvent; ++batch) {
        const std::size_t count = m_socket.receive([this](std::span<const std::byte> datagram, const Endpoint&) {
            if (!handleDatagram(datagram, false))
                hold(datagram);
        });
        m_counters.received += count;
        if (count < UdpSocket::batchSize)
            break;
    }
    releaseWaitingPackets();
    m_sender.finishBatch();
    m_batchTime.observe(std::chrono::steady_clock::now() - begin);
    startProbes();
    m_batchObserver();
}

void PacketPath::startProbes()
{
    for (const ProbeRequest& request : m_steering.takeProbes(m_loop.now())) {
        probeTarget(m_loop, request, [this, request](ProbeOutcome outcome) { handleProbeOutcome(request, outcome); });
    }
}

void PacketPath::handleProbeOutcome(const ProbeRequest& request, ProbeOutcome outcome)
{
    const bool changed = m_steering.handleProbeOutcome(request.target, outcome, m_loop.now());
    if (changed) {
        writeLog(LogLevel::Warning,
            outcome == ProbeOutcome::Connected ? ResultCode::TargetResponsive : ResultCode::TargetUnresponsive,
            outcome == ProbeOutcome::Refused ? "connection refused: nothing listens at the endpoint of the target"
                                             : "connection probe changed the target state",
            { { "target", request.target }, { "endpoint", request.endpoint.toString() } });
        for (const FlowReset& flowReset : m_steering.takeResets(request.target)) {
            reset(flowReset.packet, flowReset.decision);
            m_decisionObserver(flowReset.packet, flowReset.decision);
        }
        m_sender.finishBatch();
    }
    startProbes();
    if (outcome != ProbeOutcome::Connected)
        m_probeTimer.start(probeCheckInterval);
}

void PacketPath::hold(std::span<const std::byte> datagram)
{
    const std::optional<FlowPacket> packet = m_codec.parse(datagram);
    if (!packet)
        return;
    ++m_counters.held;
    if (!m_heldPackets.add(datagram, retransmissionKey(*packet), m_loop.now()))
        handleDatagram(datagram, true);
    if (!m_heldPackets.isEmpty())
        m_heldTimer.startAt(m_heldPackets.nextDeadline());
}

void PacketPath::keepWaiting(const FlowPacket& packet, std::span<const std::byte> datagram)
{
    if (m_waitingPackets.size() >= maxWaitingPackets && !m_waitingPackets.contains(packet.flow)) {
        ++m_counters.dropped;
        return;
    }
    m_waitingPackets[packet.flow].assign(datagram.begin(), datagram.end());
}

void PacketPath::releaseWaitingPackets()
{
    for (const FlowRelease& release : m_steering.takeReleases(m_loop.now())) {
        const auto waiting = m_waitingPackets.extract(release.packet.flow);
        if (!waiting.empty() && !apply(release.packet, waiting.mapped(), release.decision, false))
            hold(waiting.mapped());
    }
    if (const std::optional<TimePoint> next = m_steering.nextRelease())
        m_releaseTimer.startAt(std::max(m_loop.now(), *next));
}

void PacketPath::retryHeldPackets()
{
    m_heldPackets.retry(m_loop.now(), [this](std::span<const std::byte> datagram, bool isLastAttempt) {
        return handleDatagram(datagram, isLastAttempt);
    });
    releaseWaitingPackets();
    m_sender.finishBatch();
    if (!m_heldPackets.isEmpty())
        m_heldTimer.startAt(m_heldPackets.nextDeadline());
}

bool PacketPath::handleDatagram(std::span<const std::byte> datagram, bool isLastAttempt)
{
    const std::optional<FlowPacket> packet = m_codec.parse(datagram);
    if (!packet) {
        ++m_counters.malformed;
        return true;
    }
    return apply(*packet, datagram, m_steering.handlePacket(*packet, m_loop.now()), isLastAttempt);
}

bool PacketPath::apply(
    const FlowPacket& packet, std::span<const std::byte> datagram, const SteeringDecision& decision, bool isLastAttempt)
{
    switch (decision.action) {
    case SteeringAction::Forward:
        forward(packet, datagram, decision);
        break;
    case SteeringAction::Reset:
        reset(packet, decision);
        break;
    case SteeringAction::Hold:
        if (!isLastAttempt)
            return false;
        ++m_counters.dropped;
        break;
    case SteeringAction::Wait:
        keepWaiting(packet, datagram);
        break;
    case SteeringAction::Drop:
        ++m_counters.dropped;
        break;
    }
    if (decision.code != ResultCode::Ok)
        m_decisionObserver(packet, decision);
    return true;
}

void PacketPath::forward(
    const FlowPacket& packet, std::span<const std::byte> datagram, const SteeringDecision& decision)
{
    ++m_counters.forwarded;
    const std::vector<std::byte> prefix = m_codec.targetPrefix(decision.targetNumber);
    if (packet.cookie == decision.cookie) {
        m_sender.sendToTarget(packet, decision.endpoint, prefix, datagram);
        return;
    }
    m_rewriteBuffer.assign(datagram.begin(), datagram.end());
    m_codec.writeCookie(m_rewriteBuffer, decision.cookie);
    m_sender.sendToTarget(packet, decision.endpoint, prefix, m_rewriteBuffer);
}

void PacketPath::reset(const FlowPacket& packet, const SteeringDecision& decision)
{
    ++m_counters.resets;
    const std::vector<std::byte> resetPacket = m_codec.makeReset(packet.flow, decision.resetSequence);
    m_sender.sendToClient(toEndpoint(packet.flow.clientAddress, m_listen.port), resetPacket);
}

}
