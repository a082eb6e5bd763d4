#include "scenario/simulated_host.h"

#include <algorithm>

namespace bergamotroute::scenario {

namespace {

    constexpr std::size_t datagramHeaderBytes = 28;
    constexpr std::size_t averagingSeconds = 10;
    // Approximate number of small datagrams that a socket buffer of 208 KiB holds, the usual default of Linux.
    constexpr std::size_t maxPendingInputs = 256;

    const char* kindOf(const schema::PeerMessage& message)
    {
        switch (message.body_case()) {
        case schema::PeerMessage::kHeartbeat:
            return "heartbeat";
        case schema::PeerMessage::kTableUpdate:
            return "table";
        case schema::PeerMessage::kTableAcknowledgement:
            return "acknowledgement";
        case schema::PeerMessage::kFlowRecords:
            return message.flow_records().hint() ? "hints" : "records";
        case schema::PeerMessage::kTableRequest:
            return "table-request";
        case schema::PeerMessage::kTargetUpdate:
            return "targets";
        default:
            return "other";
        }
    }

}

SimulatedHost::SimulatedHost(EntryHostOptions options, NodeId node, HostTransport& transport, FlowTable& flows,
    const EventQueue& queue, HostFactory factory)
    : m_options(std::move(options))
    , m_place(node)
    , m_transport(transport)
    , m_flows(flows)
    , m_queue(queue)
    , m_factory(std::move(factory))
{
}

void SimulatedHost::setPeers(const std::vector<PeerConfig>& peers)
{
    m_options.peers = peers;
    const auto self = std::find_if(
        peers.begin(), peers.end(), [this](const PeerConfig& peer) { return peer.host == m_options.host; });
    m_index = static_cast<HostIndex>(self - peers.begin());
}

void SimulatedHost::start(std::uint64_t incarnation)
{
    kill();
    m_options.incarnation = incarnation;
    m_options.seed = incarnation;
    m_hasLeft = false;
    ++m_generation;
    m_program = m_factory(m_options, *this, m_queue.clock().now());
}

void SimulatedHost::kill()
{
    m_program.reset();
    m_pendingInputs.clear();
    m_isFrozen = false;
    m_lastRevision = 0;
}

void SimulatedHost::resume()
{
    m_isFrozen = false;
    while (!m_pendingInputs.empty() && m_program != nullptr) {
        const auto action = std::move(m_pendingInputs.front());
        m_pendingInputs.pop_front();
        action(*m_program, m_queue.clock().now());
    }
}

void SimulatedHost::handleInput(std::function<void(HostProgram&, TimePoint)> action)
{
    if (m_program == nullptr)
        return;
    if (!m_isFrozen)
        action(*m_program, m_queue.clock().now());
    else if (m_pendingInputs.size() < maxPendingInputs)
        m_pendingInputs.push_back(std::move(action));
}

void SimulatedHost::tick()
{
    if (m_program == nullptr || m_isFrozen)
        return;
    const TimePoint now = m_queue.clock().now();
    if (m_program->nextDeadline() <= now)
        m_program->advance(now);
    checkRevision();
    if (m_program->hasLeft()) {
        m_hasLeft = true;
        kill();
    }
}

void SimulatedHost::checkRevision()
{
    const std::uint64_t revision = m_program->revision();
    if (revision < m_lastRevision)
        m_flows.count(Counter::Reverted);
    m_lastRevision = revision;
}

void SimulatedHost::leave()
{
    handleInput([](HostProgram& program, TimePoint now) { program.leave(now); });
}

double SimulatedHost::controlBytesPerSecond(std::int64_t sinceSecond) const
{
    const auto first = static_cast<std::size_t>(std::max<std::int64_t>(sinceSecond, 0));
    std::uint64_t largest = 0;
    for (std::size_t end = first + averagingSeconds; end <= m_controlBytes.size(); ++end) {
        std::uint64_t sum = 0;
        for (std::size_t second = end - averagingSeconds; second < end; ++second)
            sum += m_controlBytes[second];
        largest = std::max(largest, sum);
    }
    return static_cast<double>(largest) / static_cast<double>(averagingSeconds);
}

std::uint64_t SimulatedHost::messagesSent(const std::string& kind) const
{
    const auto entry = m_messagesByKind.find(kind);
    return entry == m_messagesByKind.end() ? 0 : entry->second;
}

void SimulatedHost::forwardPacket(const Endpoint& target, std::span<const std::byte> packet)
{
    m_transport.forwardFromHost(m_place, target, packet);
}

void SimulatedHost::relayPacket(HostIndex peer, RelayKind kind, TargetId target, std::span<const std::byte> packet)
{
    ++m_relayedPackets;
    m_transport.relayFromHost(m_place, m_index, peer, kind, target, packet);
}

void SimulatedHost::sendToCaller(std::span<const std::byte> packet)
{
    m_transport.sendToCallerFromHost(m_place, packet);
}

void SimulatedHost::sendMessage(HostIndex peer, const schema::PeerMessage& message)
{
    const std::string bytes = message.SerializeAsString();
    const std::size_t size = bytes.size() + datagramHeaderBytes;
    const auto second = static_cast<std::size_t>(m_queue.now() / microsecondsPerSecond);
    if (m_controlBytes.size() <= second)
        m_controlBytes.resize(second + 1, 0);
    m_controlBytes[second] += size;
    m_bytesByKind[kindOf(message)] += size;
    ++m_messagesByKind[kindOf(message)];
    m_transport.sendMessageFromHost(m_place, peer, bytes);
}

void SimulatedHost::startHealthCheck(TargetId target, std::string_view, std::string_view)
{
    m_transport.startHealthCheckFromHost(m_place, target);
}

void SimulatedHost::logEvent(ResultCode, std::string_view) { }

}
