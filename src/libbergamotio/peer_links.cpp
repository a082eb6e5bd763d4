#include "libbergamotio/peer_links.h"

namespace bergamotroute {

namespace {

    constexpr Duration messageDeadline { 1000 };
    /// A snapshot of the largest state takes longer than other messages.
    constexpr Duration snapshotDeadline { 5000 };
    constexpr Duration longestBackoff { 400 };
    constexpr const char* controlPath = "/rpc/control";

}

void PeerLinks::learn(const std::string& identity, const std::string& endpoint)
{
    if (!identity.empty() && !endpoint.empty())
        m_endpointOf[identity] = endpoint;
}

RpcClient* PeerLinks::clientFor(const std::string& endpoint)
{
    std::unique_ptr<RpcClient>& client = m_clients[endpoint];
    if (client)
        return client.get();
    std::error_code error;
    const Endpoint parsed = Endpoint::parse(endpoint, error);
    if (error)
        return nullptr;
    RpcClientOptions options;
    options.backoffMax = longestBackoff;
    client = std::make_unique<RpcClient>(m_loop, parsed, options);
    return client.get();
}

void PeerLinks::send(schema::ControlMessage message)
{
    const auto endpoint = m_endpointOf.find(message.to());
    RpcClient* client = endpoint == m_endpointOf.end() ? nullptr : clientFor(endpoint->second);
    if (!client) {
        ++m_failed;
        return;
    }
    ++m_sent;
    message.set_reply_endpoint(m_ownEndpoint);
    const Duration deadline = message.has_snapshot_request() ? snapshotDeadline : messageDeadline;
    client->call(controlPath, message.SerializeAsString(), deadline, [this](const RpcResult& result) {
        if (!result.succeeded())
            ++m_failed;
    });
}

void PeerLinks::askIdentity(const std::string& endpoint, std::function<void(const schema::IdentityAnswer&)> handler)
{
    RpcClient* client = clientFor(endpoint);
    if (!client)
        return;
    schema::ControlMessage message;
    message.mutable_identity_request();
    client->call(controlPath, message.SerializeAsString(), messageDeadline,
        [handler = std::move(handler)](const RpcResult& result) {
            schema::ControlMessage answer;
            if (result.succeeded() && answer.ParseFromString(result.body) && answer.has_identity_answer())
                handler(answer.identity_answer());
        });
}

std::uint64_t PeerLinks::failedProbes() const
{
    std::uint64_t count = 0;
    for (const auto& [endpoint, client] : m_clients)
        count += client ? client->failedProbes() : 0;
    return count;
}

}
