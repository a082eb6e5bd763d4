#pragma once

/// @file
/// One HTTP/2 connection: nghttp2 for the protocol, a libevent bufferevent for the bytes. RpcClient and RpcServer use
/// it.

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

struct bufferevent;
struct nghttp2_session;
struct Http2Callbacks;

namespace bergamotroute {

/// Receives what happens on an HTTP/2 connection.
class Http2Events {
public:
    virtual ~Http2Events() = default;
    virtual void headerReceived(std::int32_t stream, std::string_view name, std::string_view value) = 0;
    virtual void dataReceived(std::int32_t stream, std::string_view bytes) = 0;
    /// The other side has sent the whole request or answer.
    virtual void messageEnded(std::int32_t stream) = 0;
    virtual void streamClosed(std::int32_t stream) = 0;
    virtual void pingAcknowledged() = 0;
    virtual void connected() = 0;
    /// The connection has ended or broken the protocol. The transport may be destroyed inside this call only.
    virtual void disconnected() = 0;
};

enum class Http2Side {
    Client,
    Server,
};

/// An HTTP/2 connection. Calls of Http2Events come from the event loop or from submit calls, never after destruction.
class Http2Transport {
public:
    using Headers = std::vector<std::pair<std::string, std::string>>;

    /// @param stream a bufferevent with deferred callbacks; the transport owns it.
    /// @param events outlives the transport.
    Http2Transport(bufferevent* stream, Http2Side side, Http2Events& events);
    ~Http2Transport();
    Http2Transport(const Http2Transport&) = delete;
    Http2Transport& operator=(const Http2Transport&) = delete;

    /// Sends a request.
    /// @return the stream, or a negative number if the connection takes no more requests.
    std::int32_t submitRequest(const Headers& headers, std::string body);

    /// Sends the answer on a stream.
    void submitResponse(std::int32_t stream, unsigned status, std::string body);

    /// Ends a stream without waiting for its answer.
    void resetStream(std::int32_t stream);

    /// Asks the other process for a sign of life; pingAcknowledged() follows.
    void ping();

private:
    friend struct ::Http2Callbacks;

    struct Body {
        std::string bytes;
        std::size_t sent = 0;
    };

    void createSession(Http2Side side);
    void submitSettings(Http2Side side);
    void disableDelay();
    void receive();
    void flush();
    void end();

    Http2Events& m_events;
    bufferevent* m_stream;
    nghttp2_session* m_session = nullptr;
    std::map<std::int32_t, Body> m_bodies;
    bool m_inReceive = false;
};

}
