#pragma once

/// @file
/// Replicated log of the control hosts, a variant of Raft. It does no I/O: the caller passes in events and the current
/// time, and receives messages, persist requests and command results through QuorumSink. docs/notes/quorum.md describes
/// the protocol.

#include "bergamotroute/clock.h"
#include "bergamotroute/configuration_machine.h"
#include "bergamotroute/result_code.h"

#include "control.pb.h"
#include "state.pb.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace bergamotroute {

/// Parameters of the replicated log that do not change at run time.
struct QuorumOptions {
    /// Random identifier that is created together with the data folder.
    std::string identity;
    std::string host;
    std::string dataCentre;
    Duration heartbeatInterval { 100 };
    Duration electionTimeout { 600 };
    /// A command whose outcome is still undecided after this time is answered with the outcome "unknown".
    Duration commandTimeout { 3000 };
    /// Number of committed entries after which a new snapshot is taken.
    std::uint32_t snapshotEntries = 1000;
    DeduplicationLimits resultLimits;
    std::uint64_t seed = 0;
};

/// State that is read from storage at start.
struct StoredLog {
    schema::HardState hardState;
    std::optional<schema::Snapshot> snapshot;
    /// Index and term of the entry before the first of entries.
    std::uint64_t baseIndex = 0;
    std::uint64_t baseTerm = 0;
    std::vector<schema::LogEntry> entries;
};

/// State to write to stable storage. QuorumLog::handlePersisted() is called with its id once it is durable. Requests
/// must become durable in the order in which they are made.
struct PersistRequest {
    std::uint64_t id = 0;
    std::optional<schema::HardState> hardState;
    /// These entries replace all stored entries from the index of the first one on.
    std::vector<schema::LogEntry> entries;
    /// A new snapshot. If it is set, hardState and entries are complete and replace the whole log file.
    std::optional<schema::Snapshot> snapshot;
    /// Index and term of the entry before the first of entries; set only with a snapshot.
    std::uint64_t baseIndex = 0;
    std::uint64_t baseTerm = 0;
};

/// Interface through which a QuorumLog sends messages, writes to storage and reports results.
class QuorumSink {
public:
    virtual ~QuorumSink() = default;

    /// Makes the request durable, then calls QuorumLog::handlePersisted(), which must not happen inside this call.
    virtual void persist(const PersistRequest& request) = 0;

    /// Sends a message to another control host. The message may be lost, duplicated or delayed.
    virtual void send(const schema::ControlMessage& message) = 0;

    /// Returns the result of a command.
    /// @param token the token that was passed to QuorumLog::handleCommand().
    virtual void answer(std::uint64_t token, const schema::CommandResult& result) = 0;

    /// Called after a newer configuration revision is committed or a snapshot from the leader is installed.
    virtual void configurationChanged(const schema::Configuration& configuration) = 0;

    /// Reports an event to write to the log file.
    virtual void logEvent(ResultCode code, std::string_view detail) = 0;
};

enum class QuorumRole {
    Follower,
    PreCandidate,
    Candidate,
    Leader,
    /// A write to storage failed or the member was removed; the log takes no further part in the quorum.
    Stopped,
};

/// Replica of the log on one control host. Not thread-safe: all calls must come from one thread. The times passed in
/// must not decrease.
class QuorumLog {
public:
    /// @param sink must outlive the log.
    QuorumLog(QuorumOptions options, StoredLog stored, QuorumSink& sink, TimePoint now);
    ~QuorumLog();
    QuorumLog(const QuorumLog&) = delete;
    QuorumLog& operator=(const QuorumLog&) = delete;

    /// Handles a message from another control host. Messages that are addressed to another identity are ignored.
    void handleMessage(const schema::ControlMessage& message, TimePoint now);

    /// Handles proof that the log of a member is gone for good: its address has answered a message of this host under
    /// another identity. An identity never returns, so that the member can neither vote nor hold entries any more.
    void handleLostVoter(const std::string& identity, TimePoint now);

    /// Handles an operator command. The result is passed to QuorumSink::answer(), possibly before this call returns.
    /// The outcome "unknown" with the code NotLeader, NoQuorum or StorageFailed means that this attempt was not
    /// appended to the log.
    /// @param wallMs wall-clock time in milliseconds since the Unix epoch, stored in the log entry.
    void handleCommand(std::uint64_t token, const schema::Command& command, TimePoint now, std::uint64_t wallMs);

    /// Reports that a persist request and all earlier ones are durable, or that one failed. After a failure the log
    /// grants no votes, appends no commands and reports no further command as accepted.
    void handlePersisted(std::uint64_t id, bool succeeded, TimePoint now);

    /// Handles all timers that have expired.
    void advance(TimePoint now);

    /// @return the time at which advance() must be called next.
    TimePoint nextDeadline() const;

    /// Initializes the log of a new quorum. Has no effect if the log is initialized or stopped.
    /// @param snapshot initial state, which contains the initial members.
    void bootstrap(const schema::Snapshot& snapshot, TimePoint now);

    /// @return true if the log contains entries or a snapshot; otherwise the host waits for a leader to send them.
    bool isInitialized() const;

    /// @return true while this host is the leader and its lease rules out another leader, so that its committed state
    /// is the latest one.
    bool isLeaseValid(TimePoint now) const;

    /// Sends a heartbeat to all members immediately if this host is the leader, so that isLeadershipConfirmedAfter()
    /// can become true.
    void sendHeartbeat(TimePoint now);

    /// @return true if this host is the leader, has applied all entries of earlier terms, and a majority has answered a
    /// heartbeat that was sent after a time. Its committed state is then at least as new as any that was committed at
    /// that time.
    bool isLeadershipConfirmedAfter(TimePoint time) const;

    /// @return true if this host is a follower and has received a message from its leader within a period before now,
    /// or is the leader and a majority has answered a message that it sent within that period.
    bool hasQuorumContact(Duration within, TimePoint now) const;

    /// @return time since this host, as leader, last received an answer from a member; nothing if it has none.
    std::optional<Duration> timeSinceAnswer(const std::string& identity, TimePoint now) const;

    QuorumRole role() const;
    std::uint64_t term() const;
    const schema::Configuration& configuration() const;

    /// @return true if the log holds a change of a data centre that is not known to be committed: after a restart it
    /// may have been acknowledged, and configuration() may be older than that.
    bool hasUncommittedDataCentreChange() const;

    /// @return the members according to the last log entry or snapshot that changes them; the entry may not be
    /// committed yet.
    const std::vector<schema::ControlMember>& members() const;

    /// @return the voters whose log is proven to be gone, see handleLostVoter().
    const std::set<std::string>& lostVoters() const;

    /// @return number of elections that this host has won with half of an even number of voters.
    std::uint64_t electionsByHalf() const;

    /// @return identity of the current leader; empty if it is unknown.
    const std::string& leader() const;

    /// @return the stored result of a command, or null if none is stored.
    const schema::RememberedResult* findResult(std::string_view requestId) const;

    /// @return accepted entries after a revision that are still in the log, oldest first.
    std::vector<schema::LogEntry> history(std::uint64_t since) const;

    /// @return true if history() returns every accepted entry after this revision: none has been compacted.
    bool hasHistorySince(std::uint64_t since) const;

    /// @return the state that is shown to operators.
    schema::ControlHostState dump(TimePoint now) const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

}
