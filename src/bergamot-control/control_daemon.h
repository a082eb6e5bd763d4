#pragma once

/// @file
/// The control host: connects the quorum log with storage, peers and operators.

#include "peer_links.h"
#include "revision_watchers.h"

#include "bergamotroute/quorum_bootstrap.h"
#include "bergamotroute/quorum_log.h"
#include "libbergamotio/event_loop.h"
#include "libbergamotio/http_server.h"
#include "libbergamotio/log_storage.h"
#include "libbergamotio/rpc_server.h"

#include "entry.pb.h"
#include "settings.pb.h"

#include <map>
#include <memory>
#include <optional>

namespace bergamotroute {

/// One control host of a process.
class ControlDaemon final : public QuorumSink {
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

    // QuorumSink
    void persist(const PersistRequest& request) override;
    void send(const schema::ControlMessage& message) override;
    void answer(std::uint64_t token, const schema::CommandResult& result) override;
    void configurationChanged(const schema::Configuration& configuration) override;
    void logEvent(ResultCode code, std::string_view detail) override;

    std::error_code openStorage();
    std::error_code openListeners();
    void startBootstrap();
    void setRoutes();
    void syncStorage();
    void afterEvent();
    void advance();
    void advanceBootstrap();

    void handleControlCall(const std::string& body, const RpcReply& reply);
    void handleConfigurationCall(const std::string& body, const RpcReply& reply);
    void sendConfiguration(const RpcReply& reply, std::uint64_t haveRevision);

    void handleCommand(const ExchangePointer& exchange);
    void handleConfiguration(const ExchangePointer& exchange);
    void handleRequest(const ExchangePointer& exchange);
    void handleHistory(const ExchangePointer& exchange);
    void handleWatch(const ExchangePointer& exchange);
    void handleHealth(const ExchangePointer& exchange);
    std::string metrics();

    EventLoop& m_loop;
    schema::ControlHostSettings m_settings;
    LogStorage m_storage;
    std::string m_identity;
    PeerLinks m_links;
    RpcServer m_rpc;
    HttpServer m_http;
    RevisionWatchers m_watchers;
    std::unique_ptr<QuorumLog> m_log;
    std::optional<QuorumBootstrap> m_bootstrap;
    std::map<std::uint64_t, ExchangePointer> m_commands;
    std::uint64_t m_nextToken = 1;
    std::uint64_t m_lastPersist = 0;
    bool m_revisionChanged = false;
    bool m_stopping = false;
    std::uint64_t m_acceptedCommands = 0;
    std::uint64_t m_refusedCommands = 0;
    std::uint64_t m_unknownCommands = 0;
    Timer m_syncTimer;
    Timer m_advanceTimer;
    Timer m_bootstrapTimer;
    Timer m_stopTimer;
};

}
