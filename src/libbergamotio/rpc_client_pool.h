#pragma once

/// @file
/// RPC clients by endpoint, made when they are first needed.

#include "libbergamotio/rpc_client.h"

#include <map>
#include <memory>
#include <string>

namespace bergamotroute {

class RpcClientPool {
public:
    /// @param options of every client.
    RpcClientPool(EventLoop& loop, RpcClientOptions options)
        : m_loop(loop)
        , m_options(options)
    {
    }

    /// @param endpoint ip:port.
    /// @return the client, which lives as long as the pool; null if the text is no endpoint.
    RpcClient* clientFor(const std::string& endpoint);

    /// @return connections closed because a probe had no answer.
    std::uint64_t failedProbes() const;

private:
    EventLoop& m_loop;
    RpcClientOptions m_options;
    std::map<std::string, std::unique_ptr<RpcClient>> m_clients;
};

}
