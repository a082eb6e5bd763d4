#pragma once

/// @file
/// Connections to the other control hosts.

#include "control.pb.h"
#include "libbergamotio/rpc_client_pool.h"

#include <functional>
#include <map>
#include <sigc++/signal.h>
#include <string>

namespace bergamotroute {

/// Sends messages of the quorum log. Messages may be lost; the quorum log repeats them.
class PeerLinks {
public:
    PeerLinks(EventLoop& loop, std::string ownEndpoint);

    /// Remembers where an identity listens.
    void learn(const std::string& identity, const std::string& endpoint);

    /// Sends a message to the identity in its field `to`; drops it if the endpoint is not known.
    void send(schema::ControlMessage message);

    /// Emitted with the identity that a message was for when another identity answers at its endpoint. The message was
    /// sent after this host had learned of the former identity, so that the answer shows the later one of the two.
    sigc::signal<void(const std::string&)>& identityReplaced() { return m_identityReplaced; }

    /// Asks the host at an endpoint for its identity.
    void askIdentity(const std::string& endpoint, std::function<void(const schema::IdentityAnswer&)> handler);

    std::uint64_t sentMessages() const { return m_sent; }
    std::uint64_t failedMessages() const { return m_failed; }
    std::uint64_t failedProbes() const { return m_clients.failedProbes(); }

private:
    void handleAnswer(const std::string& identity, const RpcResult& result);

    std::string m_ownEndpoint;
    std::map<std::string, std::string> m_endpointOf;
    RpcClientPool m_clients;
    sigc::signal<void(const std::string&)> m_identityReplaced;
    std::uint64_t m_sent = 0;
    std::uint64_t m_failed = 0;
};

}
