#pragma once

/// @file
/// One TCP connection in user space (RFC 9293), reduced to what the stand-ins need: handshake, retransmission,
/// reordering, FIN, RST and keep-alive answers. No congestion control and no options.

#include "bergamotroute/clock.h"
#include "bergamotroute/packet.h"
#include "bergamotroute/packet_builder.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>

namespace bergamotroute {

/// Why a connection ended.
enum class TcpEnd {
    /// Both sides have sent and acknowledged FIN.
    Closed,
    /// The peer sent RST.
    Reset,
    /// The peer did not acknowledge in time.
    TimedOut,
};

/// Receives the events of a connection.
class TcpObserver {
public:
    virtual ~TcpObserver() = default;
    virtual void onConnected() = 0;
    virtual void onData(std::string_view data) = 0;
    /// The peer will send no more data.
    virtual void onPeerFinished() = 0;
    /// Last event of a connection.
    virtual void onEnded(TcpEnd end) = 0;
};

using PacketSender = std::function<void(std::span<const std::byte> packet)>;

/// One end of a connection. Times must not go back.
class TcpConnection {
public:
    /// @param outgoing flow of the packets that this end sends.
    TcpConnection(const FlowKey& outgoing, std::uint32_t initialSequence, PacketSender sender);

    /// Sets the receiver of events; it outlives the connection.
    void setObserver(TcpObserver* observer) { m_observer = observer; }

    /// Starts the handshake as a client.
    void connect(TimePoint now);

    /// Handles a packet of the peer; the first one of a server is the SYN.
    void handlePacket(const PacketView& packet, TimePoint now);

    /// Queues data; it is sent as far as the peer's window allows.
    void send(std::string_view data, TimePoint now);

    /// Sends FIN after the queued data.
    void finish(TimePoint now);

    /// Sends RST and ends without an event.
    void abort();

    /// Retransmits what is due.
    void advance(TimePoint now);

    TimePoint nextDeadline() const { return m_deadline; }
    bool hasEnded() const { return m_state == State::Ended; }
    bool isConnected() const { return m_state == State::Established; }

    /// @return bytes queued and not yet acknowledged.
    std::size_t unacknowledged() const { return m_buffer.size(); }

private:
    enum class State {
        Idle,
        SynSent,
        SynReceived,
        Established,
        Ended,
    };

    void handleReset(const PacketView& packet);
    void handleHandshake(const PacketView& packet, TimePoint now);
    void handleAcknowledgement(const PacketView& packet, TimePoint now);
    void acceptSegment(const PacketView& packet);
    void deliverInOrder();
    void transmitFrom(std::uint32_t sequence);
    void sendPending(TimePoint now);
    void sendSegment(std::uint8_t flags, std::uint32_t sequence, std::string_view data = {});
    void sendAcknowledgement() { sendSegment(TcpAck, m_next); }
    void restartTimer(TimePoint now);
    bool hasOutstanding() const;
    void endIfFinished();
    void end(TcpEnd reason);

    FlowKey m_outgoing;
    PacketSender m_sender;
    TcpObserver* m_observer = nullptr;
    State m_state = State::Idle;
    std::uint32_t m_initial;
    /// First unacknowledged and next unsent sequence number.
    std::uint32_t m_unacknowledged;
    std::uint32_t m_next;
    std::uint32_t m_peerNext = 0;
    /// Data from m_unacknowledged on; the SYN is not part of it.
    std::string m_buffer;
    /// Data that arrived ahead of a gap, by distance from the peer's initial sequence number.
    std::map<std::uint32_t, std::string> m_early;
    std::uint32_t m_peerInitial = 0;
    std::uint32_t m_peerFinSequence = 0;
    bool m_peerFinSeen = false;
    bool m_peerFinished = false;
    bool m_finishRequested = false;
    bool m_finSent = false;
    bool m_finAcknowledged = false;
    unsigned m_retransmissions = 0;
    Duration m_retransmissionTimeout;
    TimePoint m_deadline = noDeadline;
};

}
