#include "libbergamotio/rpc_client_pool.h"

namespace bergamotroute {

RpcClient* RpcClientPool::clientFor(const std::string& endpoint)
{
    std::unique_ptr<RpcClient>& client = m_clients[endpoint];
    if (client)
        return client.get();
    std::error_code error;
    const Endpoint parsed = Endpoint::parse(endpoint, error);
    if (error)
        return nullptr;
    client = std::make_unique<RpcClient>(m_loop, parsed, m_options);
    return client.get();
}

std::uint64_t RpcClientPool::failedProbes() const
{
    std::uint64_t count = 0;
    for (const auto& [endpoint, client] : m_clients)
        count += client ? client->failedProbes() : 0;
    return count;
}

}
