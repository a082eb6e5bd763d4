#pragma once

/// @file
/// The control host: connects the quorum log with storage, peers and operators.

#include "revision_watchers.h"

#include "libbergamotio/event_loop.h"
#include "libbergamotio/http_server.h"
#include "libbergamotio/quorum_host.h"
#include "libbergamotio/rpc_server.h"

#include "entry.pb.h"
#include "settings.pb.h"

#include <memory>

namespace bergamotroute {

/// One control host of a process.
class ControlDaemon {
public:
    ControlDaemon(EventLoop& loop, schema::ControlHostSettings settings);

    /// Opens the data folder and the listeners.
    /// @return the reason why the process cannot start.
    std::error_code start();

    /// Answers what is pending and stops the loop. A second call stops at once.
    void stop();

    /// Writes the state to the log.
    void logState();

private:
    using ExchangePointer = std::shared_ptr<HttpExchange>;

    std::error_code openListeners();
    void setRoutes();
    void afterEvent();

    void handleConfigurationCall(const std::string& body, const RpcReply& reply);
    void sendConfiguration(const RpcReply& reply, std::uint64_t haveRevision);

    void handleCommand(const ExchangePointer& exchange);
    void answerCommand(const ExchangePointer& exchange, const schema::CommandResult& result);
    void handleConfiguration(const ExchangePointer& exchange);
    void handleRequest(const ExchangePointer& exchange);
    void handleHistory(const ExchangePointer& exchange);
    void handleWatch(const ExchangePointer& exchange);
    void handleHealth(const ExchangePointer& exchange);
    std::string metrics();

    EventLoop& m_loop;
    schema::ControlHostSettings m_settings;
    QuorumHost m_quorum;
    RpcServer m_rpc;
    HttpServer m_http;
    RevisionWatchers m_watchers;
    bool m_stopping = false;
    std::uint64_t m_acceptedCommands = 0;
    std::uint64_t m_refusedCommands = 0;
    std::uint64_t m_unknownCommands = 0;
    Timer m_stopTimer;
};

}
