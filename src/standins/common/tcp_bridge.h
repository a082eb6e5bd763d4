#pragma once

/// @file
/// Joins a socket of the system with a TCP connection over inner packets.

#include "standins/common/packet_port.h"

#include <functional>
#include <list>
#include <memory>

struct bufferevent;

namespace bergamotroute {

struct BuffereventDeleter {
    void operator()(bufferevent* item) const;
};

/// Copies bytes, ends and resets in both directions.
class TcpBridge final : public TcpObserver {
public:
    /// @param flow flow of the packets that this side sends.
    /// @param side socket side, connected or connecting.
    /// @param done called from the loop when both sides have ended; deletes the bridge.
    TcpBridge(EventLoop& loop, PacketPort& port, const FlowKey& flow, bufferevent* side, std::function<void()> done);

    /// Sets the connection over inner packets.
    void attach(const TcpConnectionPointer& connection) { m_connection = connection; }

    void onConnected() override;
    void onData(std::string_view data) override;
    void onPeerFinished() override;
    void onEnded(TcpEnd end) override;

private:
    static void handleReadable(bufferevent* side, void* bridge);
    static void handleWritten(bufferevent* side, void* bridge);
    static void handleEvent(bufferevent* side, short events, void* bridge);
    void forwardInput();
    void handleSocketEnd(bool orderly);
    void endWhenWritten();
    void resetSocket();
    void finishRound();

    EventLoop& m_loop;
    PacketPort& m_port;
    FlowKey m_flow;
    std::unique_ptr<bufferevent, BuffereventDeleter> m_side;
    TcpConnectionPointer m_connection;
    Timer m_done;
    bool m_peerFinished = false;
    bool m_ended = false;
};

/// Owns bridges until they end.
class TcpBridges {
public:
    TcpBridges(EventLoop& loop, PacketPort& port)
        : m_loop(loop)
        , m_port(port)
    {
    }

    /// Adds a bridge for a flow.
    TcpBridge& add(const FlowKey& flow, bufferevent* side);

    std::size_t size() const { return m_bridges.size(); }

private:
    EventLoop& m_loop;
    PacketPort& m_port;
    std::list<std::unique_ptr<TcpBridge>> m_bridges;
};

}
