#pragma once

/// @file
/// Fetches accepted configurations by RPC from control hosts and from other entry hosts ("peers"), and serves them to
/// peers.

#include "libbergamotio/event_loop.h"
#include "libbergamotio/rpc_client.h"
#include "libbergamotio/rpc_server.h"

#include "entry.pb.h"

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

namespace bergamotroute {

/// Endpoints between which configurations are exchanged.
struct ConfigurationExchangeOptions {
    std::string host;
    std::vector<Endpoint> controlHosts;
    /// RPC endpoints of the other entry hosts.
    std::vector<Endpoint> peers;
    Endpoint listen;
};

/// One long poll to each control host at a time; peers are asked only while no control host responds.
class ConfigurationExchange {
public:
    /// @param current returns the configuration in force.
    /// @param received gets a configuration that a majority of control hosts has committed.
    ConfigurationExchange(EventLoop& loop, ConfigurationExchangeOptions options,
        std::function<const schema::Configuration&()> current,
        std::function<void(const schema::Configuration&)> received);

    /// Listens and starts to poll.
    std::error_code start();

    /// Responds to the peers that wait for a newer revision.
    void revisionChanged();

private:
    struct Source {
        Source(EventLoop& loop, const Endpoint& endpoint, bool isControlHost);

        RpcClient client;
        bool isControl;
        std::unique_ptr<Timer> retry;
    };
    struct Waiting {
        RpcReply reply;
        TimePoint deadline;
    };

    void addSource(const Endpoint& endpoint, bool isControlHost);
    void poll(Source& source);
    void handleAnswer(Source& source, const RpcResult& result);
    void handleCall(const std::string& body, const RpcReply& reply);
    void answer(const RpcReply& reply, bool withConfiguration);
    void expireWaiting();

    EventLoop& m_loop;
    ConfigurationExchangeOptions m_options;
    std::function<const schema::Configuration&()> m_current;
    std::function<void(const schema::Configuration&)> m_received;
    RpcServer m_server;
    std::vector<std::unique_ptr<Source>> m_sources;
    std::list<Waiting> m_waiting;
    Timer m_waitTimer;
    TimePoint m_lastControlAnswer;
};

}
