#include "libbergamotio/peer_links.h"

namespace bergamotroute {

namespace {

    constexpr Duration messageDeadline { 1000 };
    /// A snapshot of the largest state takes longer than other messages.
    constexpr Duration snapshotDeadline { 5000 };
    constexpr Duration longestBackoff { 400 };
    constexpr const char* controlPath = "/rpc/control";

    RpcClientOptions makeOptions()
    {
        RpcClientOptions options;
        options.backoffMax = longestBackoff;
        return options;
    }

}

PeerLinks::PeerLinks(EventLoop& loop, std::string ownEndpoint)
    : m_ownEndpoint(std::move(ownEndpoint))
    , m_clients(loop, makeOptions())
{
}

void PeerLinks::learn(const std::string& identity, const std::string& endpoint)
{
    if (!identity.empty() && !endpoint.empty())
        m_endpointOf[identity] = endpoint;
}

void PeerLinks::send(schema::ControlMessage message)
{
    const auto endpoint = m_endpointOf.find(message.to());
    RpcClient* client = endpoint == m_endpointOf.end() ? nullptr : m_clients.clientFor(endpoint->second);
    if (!client) {
        ++m_failed;
        return;
    }
    ++m_sent;
    message.set_reply_endpoint(m_ownEndpoint);
    const Duration deadline = message.has_snapshot_request() ? snapshotDeadline : messageDeadline;
    client->call(controlPath, message.SerializeAsString(), deadline,
        [this, identity = message.to()](const RpcResult& result) { handleAnswer(identity, result); });
}

void PeerLinks::handleAnswer(const std::string& identity, const RpcResult& result)
{
    if (!result.succeeded()) {
        ++m_failed;
        return;
    }
    schema::ControlMessage answer;
    if (!result.body.empty() && answer.ParseFromString(result.body) && answer.has_identity_answer()
        && answer.identity_answer().identity() != identity)
        m_identityReplaced.emit(identity);
}

void PeerLinks::askIdentity(const std::string& endpoint, std::function<void(const schema::IdentityAnswer&)> handler)
{
    RpcClient* client = m_clients.clientFor(endpoint);
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

}
