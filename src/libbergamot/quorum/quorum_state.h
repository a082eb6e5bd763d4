#pragma once

/// @file
/// Implementation of QuorumLog. Its methods are defined in quorum_log.cpp (life cycle and persistence), election.cpp,
/// replication.cpp (leader), following.cpp (follower) and commands.cpp.

#include "bergamotroute/quorum_log.h"
#include "quorum/log_window.h"
#include "quorum/voter_sets.h"

#include <deque>
#include <map>
#include <random>
#include <set>

namespace bergamotroute {

/// Replication progress of another member, as tracked by the leader.
struct Progress {
    /// Index of the next entry to send.
    std::uint64_t next = 1;
    /// Highest index known to be replicated on the member.
    std::uint64_t match = 0;
    /// Highest index sent without an answer yet; zero if no entries are in flight.
    std::uint64_t inFlightUpTo = 0;
    TimePoint inFlightSince {};
    /// Send time of the latest message that the member has answered.
    TimePoint acknowledgedSendTime {};
    TimePoint lastContact {};
    bool hasAnswered = false;
};

/// A command that has not been appended to the log yet.
struct QueuedCommand {
    std::uint64_t token = 0;
    schema::Command command;
    std::uint64_t wallMs = 0;
    TimePoint deadline;
};

/// A command that has been appended to the log but not committed yet.
struct PendingCommand {
    std::uint64_t token = 0;
    std::string requestId;
    TimePoint deadline;
    /// Result of a change of members, which is answered with a later entry.
    std::optional<schema::CommandResult> result = std::nullopt;
};

class QuorumLog::Implementation {
public:
    Implementation(QuorumOptions quorumOptions, StoredLog stored, QuorumSink& quorumSink, TimePoint now);

    // Life cycle and persistence.
    void bootstrap(const schema::Snapshot& snapshot, TimePoint now);
    void handlePersisted(std::uint64_t id, bool succeeded, TimePoint now);
    void advance(TimePoint now);
    TimePoint nextDeadline() const;
    bool isInitialized() const { return window.lastIndex() > 0; }
    schema::ControlHostState dump(TimePoint now) const;
    std::vector<schema::LogEntry> history(std::uint64_t since) const;
    PersistRequest newPersistRequest();
    void persist(PersistRequest request);
    void persistHardState();
    void replayCommittedEntries();
    void persistCommitIfDue(TimePoint now);
    void sendWhenDurable(schema::ControlMessage message);
    void sendNow(const schema::ControlMessage& message);
    schema::ControlMessage messageTo(const std::string& identity) const;
    void stop(ResultCode code, std::string_view detail);
    bool isStopped() const { return role == QuorumRole::Stopped; }

    // Members.
    void refreshMembers();
    /// @return index of the last entry up to an index that changes the members; zero if only the snapshot has them.
    std::uint64_t findMemberChange(std::uint64_t from) const;
    /// @param changeIndex result of findMemberChange().
    std::vector<schema::ControlMember> membersAt(std::uint64_t changeIndex) const;
    bool isVoter(const std::string& identity) const;
    /// @return true while another leader may still replace the last change of members.
    bool isMemberChangePending() const { return memberChangeIndex > std::max(commitIndex, knownCommit); }
    /// @param lost voters that do not count.
    VoterSets voterSets(const std::set<std::string>& lost) const;
    /// @return the members and, while a change is pending, those that it takes away.
    std::vector<schema::ControlMember> replicatedMembers() const;
    void handleLostVoter(const std::string& identity, TimePoint now);

    // Elections.
    void resetElectionDeadline(TimePoint now);
    void becomeFollower(std::uint64_t term, const std::string& newLeader, TimePoint now);
    void startPreVote(TimePoint now);
    void startElection(TimePoint now);
    void requestVotes(bool preVote, std::uint64_t term);
    void handleVoteRequest(const std::string& from, const schema::VoteRequest& request, TimePoint now);
    bool grantsVote(const schema::VoteRequest& request, TimePoint now);
    bool hasRecentLeader(const std::string& candidate, TimePoint now) const;
    void handleVoteAnswer(const schema::VoteAnswer& answer, TimePoint now);
    void countVotes(TimePoint now);
    void becomeLeader(TimePoint now);

    // Leader.
    void replicate(const std::string& identity, TimePoint now);
    void replicateAll(TimePoint now);
    std::vector<std::string> progressIdentities() const;
    void sendHeartbeats(TimePoint now);
    void sendAppend(const std::string& identity, Progress& memberProgress, bool withEntries, TimePoint now);
    void sendSnapshot(const std::string& identity, Progress& memberProgress, TimePoint now);
    void handleAppendAnswer(const schema::AppendAnswer& answer, TimePoint now);
    void advanceCommit(TimePoint now);
    TimePoint leaseStart(TimePoint now) const;
    bool isLeaseValid(TimePoint now) const;
    void checkQuorum(TimePoint now);
    /// Adds progress records for members that have none.
    /// @param next index of the first entry to send to these members.
    void rebuildProgress(std::uint64_t next, TimePoint now);
    std::size_t countReachableVoters(const std::vector<schema::ControlMember>& candidates, TimePoint now) const;

    // Follower.
    void handleAppendRequest(const schema::AppendRequest& request, TimePoint now);
    void storeEntries(const schema::AppendRequest& request, TimePoint now);
    void answerAppend(
        const std::string& leaderIdentity, bool success, std::uint64_t match, std::uint64_t hint, std::uint64_t sentMs);
    void handleSnapshotRequest(const schema::SnapshotRequest& request, TimePoint now);
    void installSnapshot(const schema::Snapshot& snapshot);
    void persistSnapshot();

    // Commands and the state machine.
    void handleCommand(std::uint64_t token, const schema::Command& command, TimePoint now, std::uint64_t wallMs);
    bool answerWithoutLog(std::uint64_t token, const schema::Command& command, TimePoint now);
    void appendQueuedCommands(TimePoint now);
    void appendCommand(const QueuedCommand& command, TimePoint now);
    void prepareMemberChange(schema::LogEntry& entry, TimePoint now);
    ResultCode checkMemberChange(const schema::Command& command, TimePoint now) const;
    bool canAppend(const schema::Command& command) const;
    void appendEntries(std::vector<schema::LogEntry> entries, TimePoint now);
    void commitUpTo(std::uint64_t index, TimePoint now);
    void applyEntry(const schema::LogEntry& entry, TimePoint now);
    void answerPending(std::uint64_t index, const schema::CommandResult& result);
    void handleMemberChange(const schema::LogEntry& entry, const schema::CommandResult& result, TimePoint now);
    /// Appends an entry that shows the change to be committed, and answers the change with it.
    void confirmMemberChange(std::uint64_t index, const schema::CommandResult& result, TimePoint now);
    void dropRemovedMembers(TimePoint now);
    void takeSnapshotIfDue();
    void answerUnknown(std::uint64_t token, const std::string& requestId, ResultCode code, std::string_view message);
    void expireCommands(TimePoint now);
    void abandonCommands();

    QuorumOptions options;
    QuorumSink& sink;
    std::mt19937_64 random;

    schema::HardState hardState;
    LogWindow window;
    ConfigurationMachine machine;
    std::uint64_t commitIndex = 0;
    /// Highest commit index that an entry of the log names. Entries up to it are committed, but this host may not have
    /// been told so yet.
    std::uint64_t knownCommit = 0;
    /// Time at which the commit index is persisted; this may lag behind the commit itself.
    TimePoint commitPersistDeadline = noDeadline;
    /// Latest snapshot; sent to members that need entries older than the window.
    std::optional<schema::Snapshot> newestSnapshot;
    std::vector<schema::ControlMember> members;
    /// Members before the entry that changed them last, and its index.
    std::vector<schema::ControlMember> previousMembers;
    std::uint64_t memberChangeIndex = 0;
    /// Voters whose log is proven to be gone: another identity has answered at their address.
    std::set<std::string> lostVoters;
    /// The lost voters that were known when the election of the current term began. Votes and answers of this term come
    /// later than each of these losses, which is what makes a smaller quorum safe.
    std::set<std::string> lostVotersOfTerm;

    QuorumRole role = QuorumRole::Follower;
    bool storageFailed = false;
    std::string leader;
    TimePoint lastLeaderContact;
    bool hadLeaderContact = false;
    TimePoint electionDeadline;
    std::set<std::string> votes;
    /// Id of the persist request for this host's own vote. The election is not won before that request is durable.
    std::uint64_t votePersistId = 0;

    std::map<std::string, Progress> progress;
    TimePoint heartbeatDeadline;
    TimePoint leaderSince;
    std::uint64_t termFirstIndex = 0;
    /// Index up to which the log is durable on this host's disk.
    std::uint64_t durableIndex = 0;
    /// Persist requests in progress: id and the index of the last entry that it makes durable.
    std::deque<std::pair<std::uint64_t, std::uint64_t>> pendingWrites;

    std::uint64_t requestedPersistId = 0;
    std::uint64_t completedPersistId = 0;
    /// Messages to send once the persist request with this id is durable.
    std::deque<std::pair<std::uint64_t, schema::ControlMessage>> deferredMessages;

    std::deque<QueuedCommand> queuedCommands;
    /// Ordered by log index.
    std::multimap<std::uint64_t, PendingCommand> pendingCommands;
    /// Entry times never decrease, so that stored results expire in log order.
    std::uint64_t lastEntryTimeMs = 0;
    std::uint64_t elections = 0;
    /// Elections won with half of an even number of voters.
    std::uint64_t electionsByHalf = 0;
    std::uint64_t snapshotsTaken = 0;
    std::uint64_t snapshotsInstalled = 0;
};

}
