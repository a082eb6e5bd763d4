#pragma once

/// @file
/// The replicated log of the control hosts without I/O. Events and the time go in; messages, requests to persist and
/// answers come out. docs/notes/quorum.md explains the protocol.

#include "bergamotroute/clock.h"
#include "bergamotroute/configuration_machine.h"
#include "bergamotroute/result_code.h"

#include "control.pb.h"
#include "state.pb.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bergamotroute {

/// Fixed parameters of a control host.
struct QuorumOptions {
    /// Random identity created with the data folder.
    std::string identity;
    std::string host;
    std::string dataCentre;
    Duration heartbeatInterval { 100 };
    Duration electionTimeout { 600 };
    /// Time after which a command without a decision is answered "unknown".
    Duration commandTimeout { 3000 };
    std::uint32_t snapshotEntries = 1000;
    DeduplicationLimits resultLimits;
    std::uint64_t seed = 0;
};

/// What the storage holds at start.
struct StoredLog {
    schema::HardState hardState;
    std::optional<schema::Snapshot> snapshot;
    /// Entry before the first of entries.
    std::uint64_t baseIndex = 0;
    std::uint64_t baseTerm = 0;
    std::vector<schema::LogEntry> entries;
};

/// What must be durable before QuorumLog::handlePersisted() is called with its number. Requests are in order.
struct PersistRequest {
    std::uint64_t id = 0;
    std::optional<schema::HardState> hardState;
    /// Replace all stored entries from the first of them on.
    std::vector<schema::LogEntry> entries;
    /// A new snapshot. hardState and entries are then complete and replace the whole log file.
    std::optional<schema::Snapshot> snapshot;
    /// Entry before the first of entries; meaningful with a snapshot only.
    std::uint64_t baseIndex = 0;
    std::uint64_t baseTerm = 0;
};

/// Receives the actions of a quorum log.
class QuorumSink {
public:
    virtual ~QuorumSink() = default;

    /// Makes the content durable, then calls QuorumLog::handlePersisted(); not from inside this call.
    virtual void persist(const PersistRequest& request) = 0;

    /// Sends a message to another control host; it may be lost, repeated or late.
    virtual void send(const schema::ControlMessage& message) = 0;

    /// Answers a command.
    /// @param token as given to QuorumLog::handleCommand().
    virtual void answer(std::uint64_t token, const schema::CommandResult& result) = 0;

    /// A newer revision has been accepted.
    virtual void configurationChanged(const schema::Configuration& configuration) = 0;

    /// Reports an event for the log.
    virtual void logEvent(ResultCode code, std::string_view detail) = 0;
};

enum class QuorumRole {
    Follower,
    PreCandidate,
    Candidate,
    Leader,
    /// The storage failed or the member was removed.
    Stopped,
};

/// One control host's part of the replicated log. All calls come from one thread. Times must not go back.
class QuorumLog {
public:
    /// @param sink outlives the log.
    QuorumLog(QuorumOptions options, StoredLog stored, QuorumSink& sink, TimePoint now);
    ~QuorumLog();
    QuorumLog(const QuorumLog&) = delete;
    QuorumLog& operator=(const QuorumLog&) = delete;

    /// Handles a message of another control host. Messages to another identity are ignored.
    void handleMessage(const schema::ControlMessage& message, TimePoint now);

    /// Handles a command of an operator. The answer comes through QuorumSink::answer(), perhaps before this returns.
    /// An answer with outcome "unknown" and the code NotLeader, NoQuorum or StorageFailed says that this attempt was
    /// not entered into the log.
    /// @param wallMs wall time in ms since the Unix epoch, kept with the entry.
    void handleCommand(std::uint64_t token, const schema::Command& command, TimePoint now, std::uint64_t wallMs);

    /// Reports that a request to persist, and all before it, are durable, or that one failed. After a failure nothing
    /// more is accepted, voted for or answered as accepted.
    void handlePersisted(std::uint64_t id, bool succeeded, TimePoint now);

    /// Runs timers that are due.
    void advance(TimePoint now);

    /// @return when advance() must be called next.
    TimePoint nextDeadline() const;

    /// Creates the log of the first quorum. Only for a log that is not formed.
    /// @param snapshot names the first members.
    void bootstrap(const schema::Snapshot& snapshot, TimePoint now);

    /// @return true if the host has a log; otherwise it waits for a leader.
    bool isInitialized() const;

    /// @return true while this host leads and no other host can lead: what it reads is the newest accepted state.
    bool isLeaseValid(TimePoint now) const;

    /// Sends a heartbeat to all members at once if this host leads, so that isLeadershipConfirmedAfter() can become
    /// true.
    void sendHeartbeat(TimePoint now);

    /// @return true if this host leads, has applied everything of earlier terms, and a majority has answered a
    /// heartbeat that was sent after a time. What it reads was then the newest accepted state at that time.
    bool isLeadershipConfirmedAfter(TimePoint time) const;

    /// @return true if a leader, or as leader a majority, was heard within a time.
    bool hasQuorumContact(Duration within, TimePoint now) const;

    QuorumRole role() const;
    std::uint64_t term() const;
    const schema::Configuration& configuration() const;

    /// @return members in force on this host, which may not be committed yet.
    const std::vector<schema::ControlMember>& members() const;

    /// @return identity of the leader that this host follows; empty if not known.
    const std::string& leader() const;

    /// @return the remembered answer, or null.
    const schema::RememberedResult* findResult(std::string_view requestId) const;

    /// @return accepted entries above a revision that are still in the log, oldest first.
    std::vector<schema::LogEntry> history(std::uint64_t since) const;

    /// @return true if history() has every accepted entry above this revision.
    bool hasHistorySince(std::uint64_t since) const;

    /// @return the state for operators.
    schema::ControlHostState dump(TimePoint now) const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

}
