#pragma once

/// @file
/// One TCP connection through the fault proxy.

#include "libbergamotio/event_loop.h"
#include "standins/faultproxy/proxy.h"

#include <deque>
#include <string>

struct bufferevent;

namespace bergamotroute {

/// Two sockets and the pieces that travel between them.
class StreamLink {
public:
    /// @param descriptor accepted connection of the client.
    /// @param cutAfter bytes from the client after which both connections are closed.
    /// @param onClosed called once, from the loop; the owner then destroys the link.
    StreamLink(EventLoop& loop, FaultPlan& plan, int descriptor, const Endpoint& target,
        std::optional<std::size_t> cutAfter, std::function<void(StreamLink&)> onClosed);
    ~StreamLink();
    StreamLink(const StreamLink&) = delete;
    StreamLink& operator=(const StreamLink&) = delete;

    void freeze();
    void resume();

private:
    struct Piece {
        TimePoint due;
        std::string data;
    };

    struct Direction {
        Direction(StreamLink& link, bool isUp);

        StreamLink& link;
        bool isUp;
        bufferevent* from = nullptr;
        bufferevent* to = nullptr;
        std::deque<Piece> pieces;
        Timer timer;
        TimePoint lastDue {};
        bool isEnded = false;
        bool isFinished = false;
    };

    static void onRead(bufferevent* stream, void* context);
    static void onWritten(bufferevent* stream, void* context);
    static void onEvent(bufferevent* stream, short what, void* context);
    Direction& directionFrom(const bufferevent* stream) { return stream == m_up.from ? m_up : m_down; }
    bool isHeld(const Direction& direction) const;
    void read(Direction& direction);
    void forward(Direction& direction);
    void finish(Direction& direction);
    std::string limited(const Direction& direction, std::string data);
    void close();

    EventLoop& m_loop;
    FaultPlan& m_plan;
    std::optional<std::size_t> m_bytesLeft;
    std::function<void(StreamLink&)> m_onClosed;
    Direction m_up;
    Direction m_down;
    bool m_isFrozen = false;
    bool m_isCut = false;
    bool m_isClosed = false;
};

}
