#pragma once

/// @file
/// Daemon of a control host with cookie steering: holds the document in force (replicated by the quorum) and the target
/// registry (kept in memory, replicated to the other control hosts), and serves entry hosts.

#include "bergamot-directory/directory_replicator.h"
#include "bergamot-directory/entry_sync.h"
#include "bergamot-directory/evacuation_routes.h"
#include "bergamot-directory/registry_store.h"
#include "bergamotroute/member_policy.h"
#include "bergamotroute/operator_protocol.h"
#include "bergamotroute/target_registry.h"
#include "libbergamotio/event_loop.h"
#include "libbergamotio/http_server.h"
#include "libbergamotio/metrics.h"
#include "libbergamotio/quorum_host.h"
#include "libbergamotio/rpc_server.h"

#include "settings.pb.h"

#include <memory>
#include <prometheus/registry.h>
#include <string>

namespace bergamotroute {

/// Runs one control host on an event loop.
class DirectoryDaemon {
public:
    /// @param protocol must outlive the daemon.
    DirectoryDaemon(EventLoop& loop, schema::DirectorySettings settings, const OperatorProtocol& protocol);

    /// Opens the data folder and the listeners.
    /// @return the error that prevents the start, if any.
    std::error_code start();

    /// Responds to pending calls and stops the loop.
    void stop();

    /// Applies those settings that may change at run time.
    void reload(const schema::DirectorySettings& settings);

private:
    using ExchangePointer = std::shared_ptr<HttpExchange>;

    struct Counters {
        std::uint64_t heartbeats = 0;
        std::uint64_t heartbeatsRefused = 0;
        std::uint64_t leaves = 0;
        std::uint64_t leavesRefused = 0;
        std::uint64_t documentsAccepted = 0;
        std::uint64_t documentsOvertaken = 0;
        std::uint64_t documentsRefused = 0;
        std::uint64_t documentsUnknown = 0;
        std::uint64_t redirects = 0;
        std::uint64_t reads = 0;
        std::uint64_t readsRefused = 0;
    };

    std::error_code openListeners();
    void addSeeds(const schema::DirectorySettings& settings);
    void handleTargetEvent(const RegisteredTarget& target, TargetEvent event);
    /// Tells the registry the services of the document in force; has it pass on a later end of slow start, and returns
    /// be remembered, if that document states a slow start.
    void applyDocument();
    void loadRegistry();
    void saveRegistry();
    /// Saves the registry soon, together with further changes.
    void scheduleSave();
    void runChecks();
    std::vector<AnnouncedControlHost> announcedControlHosts(TimePoint now) const;
    void changeMembers();
    /// @return whether this host votes and another member can get its vote.
    bool canPassVote() const;
    /// Ends the loop unless this host should first pass its vote to another member.
    void finishStop();
    void logQuorumContact();
    /// Tells the registry which control hosts this one is in contact with.
    void updateContact();

    void putDocument(const ExchangePointer& exchange);
    void submitDocument(const ExchangePointer& exchange, const RoutingDocument& routing);
    void replyToDocument(const ExchangePointer& exchange, std::uint64_t version, const schema::CommandResult& result);
    /// @param timeout maximum wait for the other control hosts.
    void acknowledgeWhenReplicated(const ExchangePointer& exchange, Duration timeout);
    void getDocument(const ExchangePointer& exchange);
    void redirectToLeader(const ExchangePointer& exchange);
    void putTarget(const ExchangePointer& exchange);
    void deleteTarget(const ExchangePointer& exchange);
    void replyError(const ExchangePointer& exchange, HttpStatus status, std::string_view message);
    std::string metrics() const;

    EventLoop& m_loop;
    schema::DirectorySettings m_settings;
    const OperatorProtocol& m_protocol;
    TargetRegistry m_registry;
    RegistryStore m_registryStore;
    QuorumHost m_quorum;
    DirectoryReplicator m_replicator;
    DataCentreReturns m_returns;
    EntrySync m_entrySync;
    EvacuationRoutes m_evacuations;
    MemberPolicy m_memberPolicy;
    RpcServer m_rpcServer;
    HttpServer m_operatorServer;
    HttpServer m_metricsServer;
    Counters m_counters;
    prometheus::Registry m_histograms;
    DurationHistogram m_documentTime;
    DurationHistogram m_readTime;
    DurationHistogram m_leaveTime;
    bool m_memberChangePending = false;
    bool m_hadQuorum = false;
    bool m_stopping = false;
    TimePoint m_stopDeadline;
    Timer m_memberTimer;
    Timer m_checkTimer;
    Timer m_saveTimer;
    Timer m_stopTimer;
};

}
