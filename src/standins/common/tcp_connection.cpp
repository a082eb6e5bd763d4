#include "standins/common/tcp_connection.h"

#include "bergamotroute/sequence_number.h"

#include <algorithm>

namespace bergamotroute {

namespace {

    /// Fits an inner packet into a 1,500-byte link with both encapsulation headers.
    constexpr std::size_t maxSegmentBytes = 1200;
    constexpr std::uint32_t sendWindowBytes = 48 * maxSegmentBytes;
    constexpr Duration firstRetransmission { 200 };
    constexpr Duration longestRetransmission { 3000 };
    /// About 25 s of silence with the times above.
    constexpr unsigned maxRetransmissions = 12;

    std::string_view textOf(std::span<const std::byte> bytes)
    {
        return { reinterpret_cast<const char*>(bytes.data()), bytes.size() };
    }

}

TcpConnection::TcpConnection(const FlowKey& outgoing, std::uint32_t initialSequence, PacketSender sender)
    : m_outgoing(outgoing)
    , m_sender(std::move(sender))
    , m_initial(initialSequence)
    , m_unacknowledged(initialSequence)
    , m_next(initialSequence)
    , m_retransmissionTimeout(firstRetransmission)
{
}

void TcpConnection::connect(TimePoint now)
{
    m_state = State::SynSent;
    m_next = m_initial + 1;
    sendSegment(TcpSyn, m_initial);
    restartTimer(now);
}

void TcpConnection::handlePacket(const PacketView& packet, TimePoint now)
{
    if (m_state == State::Ended)
        return;
    if (packet.tcpFlags & TcpRst) {
        handleReset(packet);
        return;
    }
    if (packet.tcpFlags & TcpSyn) {
        handleHandshake(packet, now);
        return;
    }
    if (m_state == State::Idle || m_state == State::SynSent)
        return;
    handleAcknowledgement(packet, now);
    if (m_state != State::Established)
        return;
    acceptSegment(packet);
    if (m_state == State::Established)
        sendPending(now);
    endIfFinished();
}

void TcpConnection::handleReset(const PacketView& packet)
{
    // A reset outside the expected position may be a late packet of an older connection (RFC 5961).
    const bool matches = m_state == State::SynSent ? packet.acknowledgement == m_next : packet.sequence == m_peerNext;
    if (matches)
        end(TcpEnd::Reset);
}

void TcpConnection::handleHandshake(const PacketView& packet, TimePoint now)
{
    const bool isAnswer = (packet.tcpFlags & TcpAck) != 0;
    if (m_state == State::Idle && !isAnswer) {
        m_state = State::SynReceived;
        m_peerInitial = packet.sequence;
        m_peerNext = packet.sequence + 1;
        m_next = m_initial + 1;
        sendSegment(TcpSyn | TcpAck, m_initial);
        restartTimer(now);
        return;
    }
    if (m_state == State::SynReceived && !isAnswer) {
        sendSegment(TcpSyn | TcpAck, m_initial);
        return;
    }
    if (m_state == State::SynSent && isAnswer && packet.acknowledgement == m_next) {
        m_state = State::Established;
        m_peerInitial = packet.sequence;
        m_peerNext = packet.sequence + 1;
        m_unacknowledged = m_next;
        restartTimer(now);
        sendAcknowledgement();
        if (m_observer)
            m_observer->onConnected();
        sendPending(now);
        return;
    }
    if (m_state == State::Established)
        sendAcknowledgement();
}

void TcpConnection::handleAcknowledgement(const PacketView& packet, TimePoint now)
{
    if (!(packet.tcpFlags & TcpAck) || isAfter(packet.acknowledgement, m_next))
        return;
    if (m_state == State::SynReceived) {
        if (packet.acknowledgement != m_next)
            return;
        m_state = State::Established;
        m_unacknowledged = m_next;
        restartTimer(now);
        if (m_observer)
            m_observer->onConnected();
    }
    if (!isAfter(packet.acknowledgement, m_unacknowledged))
        return;
    const std::uint32_t acknowledged = packet.acknowledgement - m_unacknowledged;
    m_finAcknowledged = m_finSent && packet.acknowledgement == m_next;
    m_buffer.erase(0, std::min<std::size_t>(acknowledged, m_buffer.size()));
    m_unacknowledged = packet.acknowledgement;
    restartTimer(now);
}

void TcpConnection::acceptSegment(const PacketView& packet)
{
    const bool hasFin = (packet.tcpFlags & TcpFin) != 0;
    if (hasFin) {
        m_peerFinSeen = true;
        m_peerFinSequence = packet.sequence + static_cast<std::uint32_t>(packet.payload.size());
    }
    const bool isKeepAlive = packet.payload.empty() && !hasFin && packet.sequence + 1 == m_peerNext;
    if (packet.payload.empty() && !hasFin) {
        if (isKeepAlive)
            sendAcknowledgement();
        return;
    }
    if (!packet.payload.empty())
        m_early.emplace(packet.sequence - m_peerInitial, std::string(textOf(packet.payload)));
    deliverInOrder();
    if (m_state == State::Established)
        sendAcknowledgement();
}

void TcpConnection::deliverInOrder()
{
    while (!m_early.empty()) {
        const auto first = m_early.begin();
        const std::uint32_t sequence = m_peerInitial + first->first;
        if (isAfter(sequence, m_peerNext))
            break;
        const std::string data = std::move(first->second);
        m_early.erase(first);
        const std::uint32_t seen = m_peerNext - sequence;
        if (seen >= data.size())
            continue;
        m_peerNext += static_cast<std::uint32_t>(data.size()) - seen;
        if (m_observer)
            m_observer->onData(std::string_view(data).substr(seen));
        if (m_state != State::Established)
            return;
    }
    if (!m_peerFinSeen || m_peerFinished || m_peerNext != m_peerFinSequence)
        return;
    ++m_peerNext;
    m_peerFinished = true;
    if (m_observer)
        m_observer->onPeerFinished();
}

void TcpConnection::send(std::string_view data, TimePoint now)
{
    if (m_state == State::Ended || m_finishRequested)
        return;
    m_buffer += data;
    sendPending(now);
}

void TcpConnection::finish(TimePoint now)
{
    m_finishRequested = true;
    sendPending(now);
}

void TcpConnection::abort()
{
    if (m_state == State::Ended)
        return;
    if (m_state != State::Idle)
        sendSegment(TcpRst | TcpAck, m_next);
    m_state = State::Ended;
    m_deadline = noDeadline;
}

void TcpConnection::advance(TimePoint now)
{
    if (m_deadline > now)
        return;
    if (++m_retransmissions > maxRetransmissions) {
        end(TcpEnd::TimedOut);
        return;
    }
    m_retransmissionTimeout = std::min(m_retransmissionTimeout * 2, longestRetransmission);
    m_deadline = now + m_retransmissionTimeout;
    if (m_state == State::SynSent)
        sendSegment(TcpSyn, m_initial);
    else if (m_state == State::SynReceived)
        sendSegment(TcpSyn | TcpAck, m_initial);
    else
        transmitFrom(m_unacknowledged);
}

void TcpConnection::sendPending(TimePoint now)
{
    if (m_state != State::Established)
        return;
    const bool wasIdle = !hasOutstanding();
    transmitFrom(m_next);
    if (wasIdle && hasOutstanding())
        restartTimer(now);
}

void TcpConnection::transmitFrom(std::uint32_t sequence)
{
    const std::uint32_t limit = std::min<std::uint32_t>(static_cast<std::uint32_t>(m_buffer.size()), sendWindowBytes);
    std::uint32_t offset = sequence - m_unacknowledged;
    while (offset < limit) {
        const std::size_t size = std::min<std::size_t>(maxSegmentBytes, limit - offset);
        sendSegment(TcpAck | TcpPsh, m_unacknowledged + offset, std::string_view(m_buffer).substr(offset, size));
        offset += static_cast<std::uint32_t>(size);
        if (isAfter(m_unacknowledged + offset, m_next))
            m_next = m_unacknowledged + offset;
    }
    const std::uint32_t end = m_unacknowledged + static_cast<std::uint32_t>(m_buffer.size());
    const bool finDue = m_finishRequested && !m_finAcknowledged && offset >= m_buffer.size();
    if (!finDue || (m_finSent && sequence == m_next))
        return;
    sendSegment(TcpFin | TcpAck, end);
    m_finSent = true;
    m_next = end + 1;
}

void TcpConnection::sendSegment(std::uint8_t flags, std::uint32_t sequence, std::string_view data)
{
    const TcpFields fields {
        .flags = flags, .sequence = sequence, .acknowledgement = (flags & TcpAck) ? m_peerNext : 0
    };
    m_sender(buildTcpPacket(m_outgoing, fields, std::as_bytes(std::span(data))));
}

bool TcpConnection::hasOutstanding() const { return m_next != m_unacknowledged; }

void TcpConnection::restartTimer(TimePoint now)
{
    m_retransmissions = 0;
    m_retransmissionTimeout = firstRetransmission;
    m_deadline = hasOutstanding() ? now + m_retransmissionTimeout : noDeadline;
}

void TcpConnection::endIfFinished()
{
    if (m_state == State::Established && m_finAcknowledged && m_peerFinished)
        end(TcpEnd::Closed);
}

void TcpConnection::end(TcpEnd reason)
{
    if (m_state == State::Ended)
        return;
    m_state = State::Ended;
    m_deadline = noDeadline;
    if (m_observer)
        m_observer->onEnded(reason);
}

}
