#pragma once

/// @file
/// All TCP connections of a stand-in: finds the connection of a packet and runs the timers.

#include "standins/common/tcp_connection.h"

#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <unordered_map>
#include <vector>

namespace bergamotroute {

using TcpConnectionPointer = std::shared_ptr<TcpConnection>;

/// Connections by flow, with one timer queue.
class TcpStack {
public:
    using AcceptHandler = std::function<void(const FlowKey& flow, const TcpConnectionPointer& connection)>;

    /// @param seed for initial sequence numbers.
    /// @param output sends an inner packet.
    TcpStack(std::uint64_t seed, PacketSender output);

    /// Accepts connections from other hosts; the handler sets the connection's observer.
    void listen(AcceptHandler handler) { m_accept = std::move(handler); }

    /// Opens a connection.
    /// @param flow from this side to the other side.
    TcpConnectionPointer connect(const FlowKey& flow, TcpObserver* observer, TimePoint now);

    /// Handles a TCP packet for this side. A packet of an unknown flow is answered with a reset, as a host's stack
    /// does.
    void handle(const PacketView& packet, TimePoint now);

    /// Notes the new deadline of a connection, or forgets it if it has ended; needed after calls outside an event.
    void touch(const FlowKey& flow, const TcpConnectionPointer& connection);

    /// Runs the timers that are due and forgets ended connections.
    void advance(TimePoint now);

    /// @return earliest deadline; may be earlier than needed.
    TimePoint nextDeadline() const;

    std::size_t size() const { return m_connections.size(); }

private:
    struct FlowKeyHash {
        std::size_t operator()(const FlowKey& flow) const { return flowHash(flow, 0); }
    };
    struct Deadline {
        TimePoint time;
        FlowKey flow;
        bool operator<(const Deadline& other) const { return time > other.time; }
    };

    void sendReset(const PacketView& packet);

    std::mt19937_64 m_random;
    PacketSender m_output;
    AcceptHandler m_accept;
    std::unordered_map<FlowKey, TcpConnectionPointer, FlowKeyHash> m_connections;
    std::priority_queue<Deadline> m_deadlines;
};

/// @return the flow as the other side sends it.
FlowKey reversed(const FlowKey& flow);

}
