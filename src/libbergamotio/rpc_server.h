#pragma once

/// @file
/// RPC server: HTTP/2 POST with protobuf bodies.

#include "bergamotroute/types.h"
#include "libbergamotio/event_loop.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

struct evconnlistener;

namespace bergamotroute {

class RpcConnection;

/// Answers one call, now or later. Copies answer the same call; the first answer counts. An answer after the end of
/// the connection is dropped.
class RpcReply {
public:
    RpcReply(std::weak_ptr<RpcConnection> connection, std::int32_t stream);

    /// @param status HTTP status.
    void send(unsigned status, std::string body) const;

private:
    std::weak_ptr<RpcConnection> m_connection;
    std::int32_t m_stream;
};

/// Handles one call.
using RpcHandler = std::function<void(std::string body, const RpcReply& reply)>;

/// Listens for calls. Connections on which nothing arrives for 60 s are closed; clients probe every few seconds.
class RpcServer {
public:
    explicit RpcServer(EventLoop& loop);
    ~RpcServer();
    RpcServer(const RpcServer&) = delete;
    RpcServer& operator=(const RpcServer&) = delete;

    /// Opens the listener.
    /// @param endpoint if its port is 0, the system chooses a free one.
    /// @return ResultCode::AddressUnavailable if the address cannot be bound.
    std::error_code listen(const Endpoint& endpoint);

    /// @return the port that is listened on.
    std::uint16_t port() const { return m_port; }

    /// Sets the handler of a path such as "/rpc/control".
    void handle(std::string path, RpcHandler handler);

    /// @return the number of open connections.
    std::size_t connectionCount() const { return m_connections.size(); }

private:
    friend class RpcConnection;
    friend struct RpcServerCallbacks;

    void accept(int descriptor);
    void dispatch(const std::string& path, std::string body, const RpcReply& reply);
    void remove(RpcConnection* connection);

    EventLoop& m_loop;
    evconnlistener* m_listener = nullptr;
    std::uint16_t m_port = 0;
    std::map<std::string, RpcHandler> m_handlers;
    std::map<RpcConnection*, std::shared_ptr<RpcConnection>> m_connections;
};

}
