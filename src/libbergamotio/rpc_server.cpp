#include "libbergamotio/rpc_server.h"

#include "bergamotroute/result_code.h"
#include "libbergamotio/http2_transport.h"
#include "libbergamotio/socket_address.h"

#include <event2/bufferevent.h>
#include <event2/listener.h>

namespace bergamotroute {

namespace {

    /// Largest accepted request body; a snapshot of the design size is below 2 MB.
    constexpr std::size_t maxBodyBytes = 16 * 1024 * 1024;
    constexpr timeval idleTimeout { 60, 0 };
    constexpr unsigned statusTooLarge = 413;
    constexpr unsigned statusNotFound = 404;

}

/// One accepted connection.
class RpcConnection final : public Http2Events, public std::enable_shared_from_this<RpcConnection> {
public:
    RpcConnection(RpcServer& server, bufferevent* stream)
        : m_server(server)
        , m_transport(std::make_unique<Http2Transport>(stream, Http2Side::Server, *this))
    {
    }

    void reply(std::int32_t stream, unsigned status, std::string body)
    {
        const auto call = m_calls.find(stream);
        if (!m_transport || call == m_calls.end() || call->second.answered)
            return;
        call->second.answered = true;
        m_transport->submitResponse(stream, status, std::move(body));
    }

    void headerReceived(std::int32_t stream, std::string_view name, std::string_view value) override
    {
        if (name == ":path")
            m_calls[stream].path = value;
    }

    void dataReceived(std::int32_t stream, std::string_view bytes) override
    {
        Call& call = m_calls[stream];
        if (call.body.size() + bytes.size() > maxBodyBytes)
            reply(stream, statusTooLarge, {});
        else
            call.body.append(bytes);
    }

    void messageEnded(std::int32_t stream) override
    {
        Call& call = m_calls[stream];
        if (!call.answered)
            m_server.dispatch(call.path, std::move(call.body), RpcReply(weak_from_this(), stream));
    }

    void streamClosed(std::int32_t stream) override { m_calls.erase(stream); }
    void pingAcknowledged() override { }
    void connected() override { }
    void disconnected() override { m_server.remove(this); }

private:
    struct Call {
        std::string path;
        std::string body;
        bool answered = false;
    };

    RpcServer& m_server;
    std::map<std::int32_t, Call> m_calls;
    std::unique_ptr<Http2Transport> m_transport;
};

RpcReply::RpcReply(std::weak_ptr<RpcConnection> connection, std::int32_t stream)
    : m_connection(std::move(connection))
    , m_stream(stream)
{
}

void RpcReply::send(unsigned status, std::string body) const
{
    if (const std::shared_ptr<RpcConnection> connection = m_connection.lock())
        connection->reply(m_stream, status, std::move(body));
}

/// Entry points that libevent calls.
struct RpcServerCallbacks {
    static void onAccept(evconnlistener*, evutil_socket_t descriptor, sockaddr*, int, void* context)
    {
        static_cast<RpcServer*>(context)->accept(descriptor);
    }
};

RpcServer::RpcServer(EventLoop& loop)
    : m_loop(loop)
{
}

RpcServer::~RpcServer()
{
    if (m_listener)
        evconnlistener_free(m_listener);
}

std::error_code RpcServer::listen(const Endpoint& endpoint)
{
    constexpr int backlog = 128;
    const SocketAddress address = toSocketAddress(endpoint);
    m_listener = evconnlistener_new_bind(m_loop.base(), RpcServerCallbacks::onAccept, this,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE, backlog, address.get(),
        static_cast<int>(address.length));
    if (!m_listener)
        return ResultCode::AddressUnavailable;
    m_port = localEndpoint(evconnlistener_get_fd(m_listener)).port;
    return {};
}

void RpcServer::handle(std::string path, RpcHandler handler) { m_handlers[std::move(path)] = std::move(handler); }

void RpcServer::accept(int descriptor)
{
    bufferevent* stream
        = bufferevent_socket_new(m_loop.base(), descriptor, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    bufferevent_set_timeouts(stream, &idleTimeout, &idleTimeout);
    auto connection = std::make_shared<RpcConnection>(*this, stream);
    RpcConnection* key = connection.get();
    m_connections.emplace(key, std::move(connection));
}

void RpcServer::dispatch(const std::string& path, std::string body, const RpcReply& reply)
{
    const auto handler = m_handlers.find(path);
    if (handler == m_handlers.end())
        reply.send(statusNotFound, {});
    else
        handler->second(std::move(body), reply);
}

void RpcServer::remove(RpcConnection* connection) { m_connections.erase(connection); }

}
