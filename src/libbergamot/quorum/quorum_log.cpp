#include "bergamotroute/quorum_log.h"

#include "quorum/quorum_state.h"

#include <algorithm>

namespace bergamotroute {

QuorumLog::Implementation::Implementation(
    QuorumOptions quorumOptions, StoredLog stored, QuorumSink& quorumSink, TimePoint now)
    : options(std::move(quorumOptions))
    , sink(quorumSink)
    , random(options.seed)
    , hardState(std::move(stored.hardState))
    , machine(options.resultLimits)
    , lastLeaderContact(now)
    , hadLeaderContact(hardState.term() > 0)
{
    hardState.set_identity(options.identity);
    window.reset(stored.baseIndex, stored.baseTerm);
    for (schema::LogEntry& entry : stored.entries) {
        knownCommit = std::max(knownCommit, entry.known_commit());
        window.append(std::move(entry));
    }
    if (stored.snapshot) {
        newestSnapshot = std::move(stored.snapshot);
        machine.restore(*newestSnapshot);
        commitIndex = newestSnapshot->last_index();
        // A crash between writing the two files of a received snapshot can leave a log that ends before the snapshot's
        // last index or has another term there; the entries of such a log are discarded.
        if (window.termAt(commitIndex) != newestSnapshot->last_term())
            window.reset(commitIndex, newestSnapshot->last_term());
    }
    replayCommittedEntries();
    durableIndex = window.lastIndex();
    if (window.lastIndex() > window.baseIndex())
        lastEntryTimeMs = window.at(window.lastIndex()).time_ms();
    refreshMembers();
    resetElectionDeadline(now);
    if (hardState.retired())
        stop(ResultCode::IdentityRetired, "the data folder belongs to a removed member");
}

void QuorumLog::Implementation::replayCommittedEntries()
{
    const std::uint64_t last = std::min(hardState.commit_index(), window.lastIndex());
    while (commitIndex < last)
        machine.apply(window.at(++commitIndex));
}

void QuorumLog::Implementation::persistCommitIfDue(TimePoint now)
{
    if (now < commitPersistDeadline)
        return;
    commitPersistDeadline = noDeadline;
    if (hardState.commit_index() >= commitIndex)
        return;
    hardState.set_commit_index(commitIndex);
    persistHardState();
}

void QuorumLog::Implementation::bootstrap(const schema::Snapshot& snapshot, TimePoint now)
{
    if (isInitialized() || isStopped())
        return;
    hardState.set_term(std::max(hardState.term(), snapshot.last_term()));
    installSnapshot(snapshot);
    resetElectionDeadline(now);
    electionDeadline = now;
}

PersistRequest QuorumLog::Implementation::newPersistRequest()
{
    PersistRequest request;
    request.id = ++requestedPersistId;
    return request;
}

void QuorumLog::Implementation::persist(PersistRequest request)
{
    if (!request.entries.empty())
        pendingWrites.emplace_back(request.id, request.entries.back().index());
    sink.persist(request);
}

void QuorumLog::Implementation::persistHardState()
{
    PersistRequest request = newPersistRequest();
    request.hardState = hardState;
    persist(std::move(request));
}

void QuorumLog::Implementation::persistSnapshot()
{
    PersistRequest request = newPersistRequest();
    request.hardState = hardState;
    request.snapshot = newestSnapshot;
    request.baseIndex = window.baseIndex();
    request.baseTerm = window.baseTerm();
    for (std::uint64_t index = window.baseIndex() + 1; index <= window.lastIndex(); ++index)
        request.entries.push_back(window.at(index));
    persist(std::move(request));
}

void QuorumLog::Implementation::handlePersisted(std::uint64_t id, bool succeeded, TimePoint now)
{
    if (!succeeded) {
        storageFailed = true;
        stop(ResultCode::StorageFailed, "writing the log to disk failed");
        return;
    }
    completedPersistId = std::max(completedPersistId, id);
    while (!pendingWrites.empty() && pendingWrites.front().first <= completedPersistId) {
        durableIndex = std::max(durableIndex, pendingWrites.front().second);
        pendingWrites.pop_front();
    }
    while (!deferredMessages.empty() && deferredMessages.front().first <= completedPersistId) {
        const schema::ControlMessage message = std::move(deferredMessages.front().second);
        deferredMessages.pop_front();
        sink.send(message);
    }
    if (role == QuorumRole::Candidate)
        countVotes(now);
    if (role == QuorumRole::Leader)
        advanceCommit(now);
}

schema::ControlMessage QuorumLog::Implementation::messageTo(const std::string& identity) const
{
    schema::ControlMessage message;
    message.set_from(options.identity);
    message.set_to(identity);
    return message;
}

void QuorumLog::Implementation::sendWhenDurable(schema::ControlMessage message)
{
    if (completedPersistId >= requestedPersistId)
        sink.send(message);
    else
        deferredMessages.emplace_back(requestedPersistId, std::move(message));
}

void QuorumLog::Implementation::sendNow(const schema::ControlMessage& message) { sink.send(message); }

void QuorumLog::Implementation::stop(ResultCode code, std::string_view detail)
{
    if (isStopped())
        return;
    role = QuorumRole::Stopped;
    leader.clear();
    deferredMessages.clear();
    abandonCommands();
    progress.clear();
    sink.logEvent(code, detail);
}

void QuorumLog::Implementation::refreshMembers()
{
    const std::uint64_t changeIndex = findMemberChange(window.lastIndex());
    memberChangeIndex = changeIndex;
    members = membersAt(changeIndex);
    previousMembers = changeIndex > 0 ? membersAt(findMemberChange(changeIndex - 1)) : members;
    const VoterSets voters = voterSets({});
    std::erase_if(lostVoters, [&voters](const std::string& identity) { return !voters.contains(identity); });
}

std::uint64_t QuorumLog::Implementation::findMemberChange(std::uint64_t from) const
{
    const std::uint64_t snapshotIndex = newestSnapshot ? newestSnapshot->last_index() : 0;
    for (std::uint64_t index = from; index > window.baseIndex() && index > snapshotIndex; --index) {
        if (!window.at(index).members().empty())
            return index;
    }
    return 0;
}

std::vector<schema::ControlMember> QuorumLog::Implementation::membersAt(std::uint64_t changeIndex) const
{
    if (changeIndex > 0) {
        const auto& changed = window.at(changeIndex).members();
        return { changed.begin(), changed.end() };
    }
    if (!newestSnapshot)
        return {};
    const auto& known = newestSnapshot->configuration().control_members();
    return { known.begin(), known.end() };
}

bool QuorumLog::Implementation::isVoter(const std::string& identity) const
{
    return std::any_of(members.begin(), members.end(),
        [&identity](const schema::ControlMember& member) { return member.voter() && member.identity() == identity; });
}

VoterSets QuorumLog::Implementation::voterSets(const std::set<std::string>& lost) const
{
    VoterSets sets(lost);
    sets.add(members);
    if (isMemberChangePending())
        sets.add(previousMembers);
    return sets;
}

std::vector<schema::ControlMember> QuorumLog::Implementation::replicatedMembers() const
{
    std::vector<schema::ControlMember> result = members;
    if (!isMemberChangePending())
        return result;
    for (const schema::ControlMember& previous : previousMembers) {
        const auto found = std::find_if(result.begin(), result.end(),
            [&previous](const schema::ControlMember& member) { return member.identity() == previous.identity(); });
        if (found == result.end())
            result.push_back(previous);
    }
    return result;
}

void QuorumLog::Implementation::handleLostVoter(const std::string& identity, TimePoint now)
{
    if (isStopped() || identity == options.identity || !voterSets({}).contains(identity))
        return;
    if (!lostVoters.insert(identity).second)
        return;
    sink.logEvent(ResultCode::MemberReplaced, "another identity answers at the address of voter " + identity);
    if (role == QuorumRole::PreCandidate)
        countVotes(now);
}

void QuorumLog::Implementation::advance(TimePoint now)
{
    if (isStopped())
        return;
    expireCommands(now);
    persistCommitIfDue(now);
    if (role == QuorumRole::Leader) {
        checkQuorum(now);
        if (role == QuorumRole::Leader && now >= heartbeatDeadline)
            sendHeartbeats(now);
        return;
    }
    if (now < electionDeadline)
        return;
    if (voterSets(lostVoters).contains(options.identity))
        startPreVote(now);
    else
        resetElectionDeadline(now);
}

TimePoint QuorumLog::Implementation::nextDeadline() const
{
    if (isStopped())
        return noDeadline;
    TimePoint next = role == QuorumRole::Leader ? heartbeatDeadline : electionDeadline;
    for (const QueuedCommand& command : queuedCommands)
        next = std::min(next, command.deadline);
    if (!pendingCommands.empty())
        next = std::min(next, pendingCommands.begin()->second.deadline);
    return std::min(next, commitPersistDeadline);
}

QuorumLog::QuorumLog(QuorumOptions options, StoredLog stored, QuorumSink& sink, TimePoint now)
    : m_implementation(std::make_unique<Implementation>(std::move(options), std::move(stored), sink, now))
{
}

QuorumLog::~QuorumLog() = default;

void QuorumLog::handleMessage(const schema::ControlMessage& message, TimePoint now)
{
    Implementation& self = *m_implementation;
    if (self.isStopped() || message.to() != self.options.identity)
        return;
    switch (message.body_case()) {
    case schema::ControlMessage::kVoteRequest:
        self.handleVoteRequest(message.from(), message.vote_request(), now);
        break;
    case schema::ControlMessage::kVoteAnswer:
        self.handleVoteAnswer(message.vote_answer(), now);
        break;
    case schema::ControlMessage::kAppendRequest:
        self.handleAppendRequest(message.append_request(), now);
        break;
    case schema::ControlMessage::kAppendAnswer:
        self.handleAppendAnswer(message.append_answer(), now);
        break;
    case schema::ControlMessage::kSnapshotRequest:
        self.handleSnapshotRequest(message.snapshot_request(), now);
        break;
    default:
        break;
    }
}

void QuorumLog::handleLostVoter(const std::string& identity, TimePoint now)
{
    m_implementation->handleLostVoter(identity, now);
}

void QuorumLog::handleCommand(std::uint64_t token, const schema::Command& command, TimePoint now, std::uint64_t wallMs)
{
    m_implementation->handleCommand(token, command, now, wallMs);
}

void QuorumLog::handlePersisted(std::uint64_t id, bool succeeded, TimePoint now)
{
    m_implementation->handlePersisted(id, succeeded, now);
}

void QuorumLog::advance(TimePoint now) { m_implementation->advance(now); }

TimePoint QuorumLog::nextDeadline() const { return m_implementation->nextDeadline(); }

void QuorumLog::bootstrap(const schema::Snapshot& snapshot, TimePoint now)
{
    m_implementation->bootstrap(snapshot, now);
}

bool QuorumLog::isInitialized() const { return m_implementation->isInitialized(); }

bool QuorumLog::isLeaseValid(TimePoint now) const { return m_implementation->isLeaseValid(now); }

void QuorumLog::sendHeartbeat(TimePoint now)
{
    if (m_implementation->role == QuorumRole::Leader)
        m_implementation->sendHeartbeats(now);
}

bool QuorumLog::isLeadershipConfirmedAfter(TimePoint time) const
{
    const Implementation& self = *m_implementation;
    if (self.role != QuorumRole::Leader || self.commitIndex < self.termFirstIndex)
        return false;
    return self.leaseStart(TimePoint::max()) > time;
}

bool QuorumLog::hasQuorumContact(Duration within, TimePoint now) const
{
    const Implementation& self = *m_implementation;
    if (self.role == QuorumRole::Leader)
        return self.leaseStart(now) + within > now;
    return self.role == QuorumRole::Follower && !self.leader.empty() && now - self.lastLeaderContact < within;
}

std::optional<Duration> QuorumLog::timeSinceAnswer(const std::string& identity, TimePoint now) const
{
    const auto found = m_implementation->progress.find(identity);
    if (found == m_implementation->progress.end() || !found->second.hasAnswered)
        return std::nullopt;
    return now - found->second.lastContact;
}

std::uint64_t QuorumLog::term() const { return m_implementation->hardState.term(); }

QuorumRole QuorumLog::role() const { return m_implementation->role; }

const schema::Configuration& QuorumLog::configuration() const { return m_implementation->machine.configuration(); }

bool QuorumLog::hasUncommittedDataCentreChange() const
{
    const Implementation& self = *m_implementation;
    for (std::uint64_t index = self.commitIndex + 1; index <= self.window.lastIndex(); ++index) {
        const auto& changes = self.window.at(index).command().changes();
        if (std::any_of(changes.begin(), changes.end(),
                [](const schema::Change& change) { return change.has_set_data_centre(); }))
            return true;
    }
    return false;
}

const std::vector<schema::ControlMember>& QuorumLog::members() const { return m_implementation->members; }

const std::set<std::string>& QuorumLog::lostVoters() const { return m_implementation->lostVoters; }

std::uint64_t QuorumLog::electionsByHalf() const { return m_implementation->electionsByHalf; }

const std::string& QuorumLog::leader() const { return m_implementation->leader; }

const schema::RememberedResult* QuorumLog::findResult(std::string_view requestId) const
{
    return m_implementation->machine.findResult(requestId);
}

std::vector<schema::LogEntry> QuorumLog::history(std::uint64_t since) const { return m_implementation->history(since); }

bool QuorumLog::hasHistorySince(std::uint64_t since) const { return since >= m_implementation->window.baseIndex(); }

schema::ControlHostState QuorumLog::dump(TimePoint now) const { return m_implementation->dump(now); }

}
