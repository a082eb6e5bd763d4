#pragma once

/// @file
/// Joins a user-space TCP connection with a socket of the system, so that ordinary HTTP programs talk through it.

#include "libbergamotio/event_loop.h"
#include "standins/common/tcp_connection.h"

#include <functional>
#include <memory>

struct bufferevent;

namespace bergamotroute {

struct BuffereventDeleter {
    void operator()(bufferevent* stream) const;
};

using StreamHandle = std::unique_ptr<bufferevent, BuffereventDeleter>;

/// Copies data, end of data and resets both ways. Calls its end handler once, after which it may be destroyed.
class StreamBridge final : public TcpObserver {
public:
    /// @param stream a connected or connecting socket stream; the bridge takes it over.
    /// @param outgoing flow of the packets that the user-space end sends.
    StreamBridge(EventLoop& loop, StreamHandle stream, const FlowKey& outgoing, std::uint32_t initialSequence,
        PacketSender sender);
    ~StreamBridge() override;
    StreamBridge(const StreamBridge&) = delete;
    StreamBridge& operator=(const StreamBridge&) = delete;

    /// Called when both sides have ended.
    void onEnd(std::function<void()> handler) { m_endHandler = std::move(handler); }

    TcpConnection& connection() { return m_connection; }

    /// Starts reading from the socket stream.
    void start();

    /// Handles a packet of the peer.
    void handlePacket(const PacketView& packet);

    void onConnected() override { }
    void onData(std::string_view data) override;
    void onPeerFinished() override;
    void onEnded(TcpEnd end) override;

private:
    static void handleRead(bufferevent* stream, void* bridge);
    static void handleEvent(bufferevent* stream, short events, void* bridge);
    static void handleWritten(bufferevent* stream, void* bridge);
    void readStream();
    void restartTimer();
    void scheduleEnd();

    EventLoop& m_loop;
    StreamHandle m_stream;
    TcpConnection m_connection;
    Timer m_timer;
    Timer m_endTimer;
    std::function<void()> m_endHandler;
    bool m_finishAfterWrite = false;
    bool m_ended = false;
};

}
