#pragma once

/// @file
/// A member of the quorum in a process: connects the quorum log with storage, the other members and the event loop.

#include "bergamotroute/quorum_bootstrap.h"
#include "bergamotroute/quorum_log.h"
#include "libbergamotio/event_loop.h"
#include "libbergamotio/log_storage.h"
#include "libbergamotio/peer_links.h"
#include "libbergamotio/rpc_server.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <sigc++/signal.h>
#include <string>
#include <system_error>
#include <vector>

namespace bergamotroute {

struct QuorumHostOptions {
    /// The identity comes from the data folder.
    QuorumOptions quorum;
    /// Name that the bootstrap knows this host by.
    std::string bootstrapName;
    std::string dataFolder;
    /// ip:port of the RPC listener.
    std::string rpcEndpoint;
    /// Hosts that form the first quorum; empty waits for a leader that adds this host.
    std::vector<InitialMember> initialMembers;
    /// Start also with a folder that cannot be opened, and go on under a new identity when the old one was removed or
    /// its files are damaged. Otherwise the member stays stopped until an operator acts. A folder that has refused a
    /// write is opened again in both cases.
    bool recovers = false;
};

/// One member. Answers come from the event loop.
class QuorumHost final : public QuorumSink {
public:
    using AnswerHandler = std::function<void(const schema::CommandResult&)>;

    QuorumHost(EventLoop& loop, QuorumHostOptions options);

    /// Opens the data folder.
    /// @return the reason why the member cannot start.
    std::error_code open();

    /// Handles calls of the other members and begins to form the first quorum or to wait for a leader.
    void serve(RpcServer& server);

    /// Submits a command.
    /// @param handler called once with the answer; perhaps before this returns.
    void submit(const schema::Command& command, AnswerHandler handler);

    /// Confirms with a majority that this host still leads, after this call. No clock is trusted for it, so that a
    /// process that was suspended cannot take an old answer for a new one.
    /// @param handler called once; true if what this host has applied is the newest accepted state.
    void confirmRead(std::function<void(bool)> handler);

    /// @return true if this host has received a message from the leader, or as leader from a majority, within a time.
    bool hasRecentQuorum(Duration within) const;

    const QuorumLog& log() const { return *m_log; }
    const LogStorage& storage() const { return *m_storage; }
    const PeerLinks& links() const { return m_links; }
    const std::string& identity() const { return m_identity; }

    /// @return whether this host is a member that votes.
    bool isVoter() const;

    std::size_t pendingCommands() const { return m_answers.size(); }

    /// Remembers where a member listens.
    void learn(const std::string& identity, const std::string& endpoint) { m_links.learn(identity, endpoint); }

    /// A newer revision has been accepted.
    sigc::signal<void()>& configurationAccepted() { return m_configurationAccepted; }

    /// Something has happened in the quorum: answers, messages, timers.
    sigc::signal<void()>& eventHandled() { return m_eventHandled; }

private:
    struct PendingRead {
        TimePoint arrived;
        TimePoint deadline;
        std::function<void(bool)> handler;
    };

    void persist(const PersistRequest& request) override;
    void send(const schema::ControlMessage& message) override;
    void answer(std::uint64_t token, const schema::CommandResult& result) override;
    void configurationChanged(const schema::Configuration& configuration) override;
    void logEvent(ResultCode code, std::string_view detail) override;

    std::error_code openStorage(StorageOpening opening);
    /// Opens the data folder, and an empty one in place of one that is damaged if this host recovers by itself.
    std::error_code openUsableStorage(StorageOpening opening);
    void logStorageReport(const StorageReport& report);
    void discardStorage();
    void startBootstrap();
    void advanceBootstrap();
    void handleIdentity(const std::string& endpoint, const schema::IdentityAnswer& identityAnswer);
    std::string makeIdentityAnswer() const;
    void handleLostVoter(const std::string& identity);
    void handleCall(const std::string& body, const RpcReply& reply);
    void syncStorage();
    void advance();
    void recover();
    void afterEvent();
    void finishReads();

    EventLoop& m_loop;
    QuorumHostOptions m_options;
    std::unique_ptr<LogStorage> m_storage;
    std::string m_identity;
    /// False while the data folder cannot be opened; the identity is not kept then.
    bool m_hasStoredIdentity = false;
    PeerLinks m_links;
    std::unique_ptr<QuorumLog> m_log;
    std::optional<QuorumBootstrap> m_bootstrap;
    std::map<std::uint64_t, AnswerHandler> m_answers;
    std::vector<PendingRead> m_reads;
    std::uint64_t m_nextToken = 1;
    std::uint64_t m_lastPersist = 0;
    bool m_revisionChanged = false;
    bool m_identityRetired = false;
    /// Last failure in the log; the attempts that follow and fail in the same way are not logged.
    std::string m_shownStorageFailure;
    std::string m_shownLeader;
    std::string m_shownMembers;
    sigc::signal<void()> m_configurationAccepted;
    sigc::signal<void()> m_eventHandled;
    Timer m_syncTimer;
    Timer m_advanceTimer;
    Timer m_bootstrapTimer;
    Timer m_recoverTimer;
    Timer m_readTimer;
};

}
