#include "standins/common/tcp_stack.h"

#include <utility>

namespace bergamotroute {

FlowKey reversed(const FlowKey& flow)
{
    return { flow.destination, flow.source, flow.destinationPort, flow.sourcePort, flow.protocol };
}

TcpStack::TcpStack(std::uint64_t seed, PacketSender output)
    : m_random(seed)
    , m_output(std::move(output))
{
}

TcpConnectionPointer TcpStack::connect(const FlowKey& flow, TcpObserver* observer, TimePoint now)
{
    auto connection = std::make_shared<TcpConnection>(flow, static_cast<std::uint32_t>(m_random()), m_output);
    connection->setObserver(observer);
    m_connections[flow] = connection;
    connection->connect(now);
    touch(flow, connection);
    return connection;
}

void TcpStack::handle(const PacketView& packet, TimePoint now)
{
    const FlowKey flow = reversed(packet.flow);
    const auto found = m_connections.find(flow);
    if (found != m_connections.end()) {
        const TcpConnectionPointer connection = found->second;
        connection->handlePacket(packet, now);
        touch(flow, connection);
        return;
    }
    if (packet.isFirstPacket() && m_accept) {
        auto connection = std::make_shared<TcpConnection>(flow, static_cast<std::uint32_t>(m_random()), m_output);
        m_connections[flow] = connection;
        m_accept(flow, connection);
        connection->handlePacket(packet, now);
        touch(flow, connection);
        return;
    }
    if (!(packet.tcpFlags & TcpRst))
        sendReset(packet);
}

void TcpStack::sendReset(const PacketView& packet)
{
    TcpFields fields;
    if (packet.tcpFlags & TcpAck) {
        fields.flags = TcpRst;
        fields.sequence = packet.acknowledgement;
    } else {
        const bool counts = packet.tcpFlags & (TcpSyn | TcpFin);
        fields.flags = TcpRst | TcpAck;
        fields.acknowledgement = packet.sequence + static_cast<std::uint32_t>(packet.payload.size()) + (counts ? 1 : 0);
    }
    m_output(buildTcpPacket(reversed(packet.flow), fields));
}

void TcpStack::touch(const FlowKey& flow, const TcpConnectionPointer& connection)
{
    if (connection->hasEnded()) {
        const auto found = m_connections.find(flow);
        if (found != m_connections.end() && found->second == connection)
            m_connections.erase(found);
    } else if (connection->nextDeadline() != noDeadline) {
        // Entries of earlier deadlines stay in the queue and find nothing due.
        m_deadlines.push({ connection->nextDeadline(), flow });
    }
}

void TcpStack::advance(TimePoint now)
{
    while (!m_deadlines.empty() && m_deadlines.top().time <= now) {
        const FlowKey flow = m_deadlines.top().flow;
        m_deadlines.pop();
        const auto found = m_connections.find(flow);
        if (found == m_connections.end())
            continue;
        const TcpConnectionPointer connection = found->second;
        if (connection->nextDeadline() <= now) {
            connection->advance(now);
            touch(flow, connection);
        }
    }
}

TimePoint TcpStack::nextDeadline() const { return m_deadlines.empty() ? noDeadline : m_deadlines.top().time; }

}
