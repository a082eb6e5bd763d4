#include "quorum/quorum_state.h"

#include <algorithm>

namespace bergamotroute {

void QuorumLog::Implementation::answerUnknown(
    std::uint64_t token, const std::string& requestId, ResultCode code, std::string_view message)
{
    schema::CommandResult result = rejectedResult(requestId, code, message, machine.configuration().revision());
    result.set_outcome(schema::OUTCOME_UNKNOWN);
    sink.answer(token, result);
}

bool QuorumLog::Implementation::answerWithoutLog(std::uint64_t token, const schema::Command& command, TimePoint now)
{
    const std::string& id = command.request_id();
    constexpr std::size_t maxRequestIdLength = 128;
    if (id.empty() || id.size() > maxRequestIdLength) {
        sink.answer(
            token, rejectedResult(id, ResultCode::CommandMalformed, "a request identifier has 1 to 128 characters", 0));
        return true;
    }
    if (const schema::CommandResult* known = machine.findDuplicate(command)) {
        sink.answer(token, *known);
        return true;
    }
    if (isStopped())
        answerUnknown(token, id, storageFailed ? ResultCode::StorageFailed : ResultCode::IdentityRetired,
            "this control host has stopped taking part in the quorum");
    else if (role != QuorumRole::Leader)
        answerUnknown(token, id, ResultCode::NotLeader,
            "not the leader; current leader: " + (leader.empty() ? "unknown" : leader));
    else if (!isLeaseValid(now))
        answerUnknown(token, id, ResultCode::NoQuorum,
            "the leader has no valid lease because no majority of control hosts answers");
    else
        return false;
    return true;
}

void QuorumLog::Implementation::handleCommand(
    std::uint64_t token, const schema::Command& command, TimePoint now, std::uint64_t wallMs)
{
    if (answerWithoutLog(token, command, now))
        return;
    queuedCommands.push_back({ token, command, wallMs, now + options.commandTimeout });
    appendQueuedCommands(now);
}

bool QuorumLog::Implementation::canAppend(const schema::Command& command) const
{
    // A member change is validated against the state that precedes it, so all earlier entries must have been applied.
    return !changesMembers(command) || commitIndex == window.lastIndex();
}

void QuorumLog::Implementation::appendQueuedCommands(TimePoint now)
{
    while (!queuedCommands.empty() && canAppend(queuedCommands.front().command)) {
        const QueuedCommand command = std::move(queuedCommands.front());
        queuedCommands.pop_front();
        appendCommand(command, now);
    }
}

void QuorumLog::Implementation::appendCommand(const QueuedCommand& command, TimePoint now)
{
    schema::LogEntry entry;
    *entry.mutable_command() = command.command;
    entry.set_time_ms(std::max(command.wallMs, lastEntryTimeMs));
    if (changesMembers(command.command))
        prepareMemberChange(entry, now);
    pendingCommands.emplace(
        window.lastIndex() + 1, PendingCommand { command.token, command.command.request_id(), command.deadline });
    appendEntries({ std::move(entry) }, now);
}

void QuorumLog::Implementation::prepareMemberChange(schema::LogEntry& entry, TimePoint now)
{
    const schema::Command& command = entry.command();
    if (machine.findDuplicate(command) || !machine.check(command).accepted())
        return;
    const ResultCode code = checkMemberChange(command, now);
    entry.set_refused_code(static_cast<std::uint32_t>(code));
    if (code != ResultCode::Ok)
        return;
    ConfigurationMachine preview;
    preview.restore(machine.snapshot());
    preview.apply(entry);
    *entry.mutable_members() = preview.configuration().control_members();
}

ResultCode QuorumLog::Implementation::checkMemberChange(const schema::Command& command, TimePoint now) const
{
    const schema::Change& change = command.changes(0);
    if (change.change_case() == schema::Change::kPromoteControlMember) {
        const auto found = progress.find(change.promote_control_member());
        const bool caughtUp = found != progress.end() && found->second.hasAnswered && found->second.match >= commitIndex
            && now - found->second.lastContact < options.electionTimeout;
        return caughtUp ? ResultCode::Ok : ResultCode::MemberNotCaughtUp;
    }
    const bool demotes = change.change_case() == schema::Change::kDemoteControlMember;
    if ((!demotes && change.change_case() != schema::Change::kRemoveControlMember) || command.force())
        return ResultCode::Ok;
    const std::string& leaving = demotes ? change.demote_control_member() : change.remove_control_member();
    std::vector<schema::ControlMember> remaining;
    std::copy_if(members.begin(), members.end(), std::back_inserter(remaining),
        [&](const schema::ControlMember& member) { return member.voter() && member.identity() != leaving; });
    const bool keepsMajority = countReachableVoters(remaining, now) >= remaining.size() / 2 + 1;
    return keepsMajority ? ResultCode::Ok : ResultCode::MajorityLoss;
}

void QuorumLog::Implementation::appendEntries(std::vector<schema::LogEntry> entries, TimePoint now)
{
    PersistRequest request = newPersistRequest();
    bool membersChanged = false;
    for (schema::LogEntry& entry : entries) {
        entry.set_term(hardState.term());
        entry.set_index(window.lastIndex() + 1);
        entry.set_known_commit(commitIndex);
        lastEntryTimeMs = entry.time_ms();
        membersChanged = membersChanged || !entry.members().empty();
        request.entries.push_back(entry);
        window.append(std::move(entry));
    }
    persist(std::move(request));
    if (membersChanged) {
        refreshMembers();
        // A new member is sent at least this entry; its answer contains the index from which it needs entries.
        rebuildProgress(window.lastIndex(), now);
    }
    replicateAll(now);
}

void QuorumLog::Implementation::commitUpTo(std::uint64_t index, TimePoint now)
{
    constexpr Duration commitPersistDelay { 200 };
    if (commitIndex < std::min(index, window.lastIndex()))
        commitPersistDeadline = std::min(commitPersistDeadline, now + commitPersistDelay);
    const std::uint64_t revision = machine.configuration().revision();
    while (commitIndex < std::min(index, window.lastIndex())) {
        ++commitIndex;
        applyEntry(window.at(commitIndex), now);
    }
    if (machine.configuration().revision() != revision)
        sink.configurationChanged(machine.configuration());
    takeSnapshotIfDue();
}

void QuorumLog::Implementation::applyEntry(const schema::LogEntry& entry, TimePoint now)
{
    const schema::CommandResult result = machine.apply(entry);
    if (entry.members().empty())
        answerPending(entry.index(), result);
    else
        handleMemberChange(entry, result, now);
}

void QuorumLog::Implementation::answerPending(std::uint64_t index, const schema::CommandResult& result)
{
    const auto [first, last] = pendingCommands.equal_range(index);
    for (auto pendingCommand = first; pendingCommand != last; ++pendingCommand)
        sink.answer(pendingCommand->second.token, pendingCommand->second.result.value_or(result));
    pendingCommands.erase(first, last);
}

void QuorumLog::Implementation::confirmMemberChange(
    std::uint64_t index, const schema::CommandResult& result, TimePoint now)
{
    // Until it is known that the change is committed, the voters before it decide as well, and the leader may be lost
    // before it has told anybody.
    const auto [first, last] = pendingCommands.equal_range(index);
    std::vector<PendingCommand> answers;
    for (auto pendingCommand = first; pendingCommand != last; ++pendingCommand)
        answers.push_back(pendingCommand->second);
    pendingCommands.erase(first, last);
    for (PendingCommand& answer : answers) {
        answer.result = result;
        pendingCommands.emplace(window.lastIndex() + 1, std::move(answer));
    }
    schema::LogEntry confirmation;
    confirmation.set_time_ms(lastEntryTimeMs);
    appendEntries({ std::move(confirmation) }, now);
}

void QuorumLog::Implementation::handleMemberChange(
    const schema::LogEntry& entry, const schema::CommandResult& result, TimePoint now)
{
    const schema::Change& change = entry.command().changes(0);
    const bool demotesSelf = change.change_case() == schema::Change::kDemoteControlMember
        && change.demote_control_member() == options.identity;
    const bool removesSelf = change.change_case() == schema::Change::kRemoveControlMember
        && change.remove_control_member() == options.identity;
    if (role == QuorumRole::Leader) {
        dropRemovedMembers(now);
        if (!demotesSelf && !removesSelf) {
            confirmMemberChange(entry.index(), result, now);
            return;
        }
        // The followers learn that the entry is accepted, so that the next leader begins with it applied.
        sendHeartbeats(now);
    }
    answerPending(entry.index(), result);
    if (demotesSelf && role == QuorumRole::Leader) {
        sink.logEvent(ResultCode::MemberChanged, "this host has lost its vote; stepping down as leader");
        becomeFollower(hardState.term(), {}, now);
    }
    if (!removesSelf)
        return;
    hardState.set_retired(true);
    persistHardState();
    stop(ResultCode::IdentityRetired, "this host was removed from the members");
}

void QuorumLog::Implementation::dropRemovedMembers(TimePoint now)
{
    for (const std::string& identity : progressIdentities()) {
        const bool remains = std::any_of(members.begin(), members.end(),
            [&identity](const schema::ControlMember& member) { return member.identity() == identity; });
        if (remains)
            continue;
        // The last message contains the removal entry and the commit index, so that a reachable removed member applies
        // the removal and stops.
        Progress& memberProgress = progress[identity];
        if (memberProgress.next > window.baseIndex())
            sendAppend(identity, memberProgress, true, now);
        progress.erase(identity);
    }
}

void QuorumLog::Implementation::takeSnapshotIfDue()
{
    const std::uint64_t previous = newestSnapshot ? newestSnapshot->last_index() : 0;
    if (commitIndex - previous < options.snapshotEntries)
        return;
    newestSnapshot = machine.snapshot();
    ++snapshotsTaken;
    // Half of snapshotEntries are kept, so that a member that lags only slightly needs no snapshot.
    const std::uint64_t kept = options.snapshotEntries / 2;
    window.compact(std::max(window.baseIndex(), commitIndex - kept));
    persistSnapshot();
}

void QuorumLog::Implementation::expireCommands(TimePoint now)
{
    while (!queuedCommands.empty() && queuedCommands.front().deadline <= now) {
        const QueuedCommand expired = std::move(queuedCommands.front());
        queuedCommands.pop_front();
        answerUnknown(expired.token, expired.command.request_id(), ResultCode::MemberChangePending,
            "timed out while waiting for an earlier member change");
    }
    while (!pendingCommands.empty() && pendingCommands.begin()->second.deadline <= now) {
        const PendingCommand expired = pendingCommands.begin()->second;
        pendingCommands.erase(pendingCommands.begin());
        answerUnknown(expired.token, expired.requestId, ResultCode::OutcomeUnknown,
            "outcome unknown; retry with the same request identifier");
    }
}

void QuorumLog::Implementation::abandonCommands()
{
    for (const QueuedCommand& command : queuedCommands)
        answerUnknown(
            command.token, command.command.request_id(), ResultCode::NotLeader, "this host is no longer the leader");
    queuedCommands.clear();
    for (const auto& [index, answer] : pendingCommands)
        answerUnknown(answer.token, answer.requestId, ResultCode::OutcomeUnknown,
            "outcome unknown; retry with the same request identifier");
    pendingCommands.clear();
}

std::vector<schema::LogEntry> QuorumLog::Implementation::history(std::uint64_t since) const
{
    std::vector<schema::LogEntry> entries;
    for (std::uint64_t index = std::max(since, window.baseIndex()) + 1; index <= commitIndex; ++index) {
        const schema::LogEntry& entry = window.at(index);
        const schema::RememberedResult* known = machine.findResult(entry.command().request_id());
        if (known && known->result().outcome() == schema::OUTCOME_ACCEPTED && known->result().revision() == index)
            entries.push_back(entry);
    }
    return entries;
}

schema::ControlHostState QuorumLog::Implementation::dump(TimePoint now) const
{
    static constexpr const char* roleNames[] = { "follower", "candidate", "candidate", "leader", "stopped" };
    schema::ControlHostState state;
    state.set_host(options.host);
    state.set_data_centre(options.dataCentre);
    state.set_identity(options.identity);
    const bool learner = role == QuorumRole::Follower && !isVoter(options.identity);
    state.set_role(learner ? "learner" : roleNames[static_cast<std::size_t>(role)]);
    state.set_term(hardState.term());
    state.set_leader(leader);
    state.set_commit_index(commitIndex);
    state.set_last_index(window.lastIndex());
    state.set_first_index(window.baseIndex() + 1);
    state.set_lease_valid(isLeaseValid(now));
    state.set_storage_failed(storageFailed);
    state.set_remembered_requests(machine.rememberedCount());
    for (const schema::ControlMember& member : members) {
        schema::ControlMemberState& shown = *state.add_members();
        shown.set_identity(member.identity());
        shown.set_host(member.host());
        shown.set_voter(member.voter());
        const auto found = progress.find(member.identity());
        if (found != progress.end() && found->second.hasAnswered) {
            shown.set_match_index(found->second.match);
            shown.set_last_heard_ms_ago(static_cast<std::uint64_t>((now - found->second.lastContact).count()));
        } else if (member.identity() == options.identity) {
            shown.set_match_index(window.lastIndex());
        }
    }
    const std::pair<const char*, std::uint64_t> counters[]
        = { { "elections", elections }, { "elections_by_half", electionsByHalf },
              { "snapshots_installed", snapshotsInstalled }, { "snapshots_taken", snapshotsTaken } };
    for (const auto& [name, value] : counters) {
        schema::CounterState& counter = *state.add_counters();
        counter.set_name(name);
        counter.set_value(value);
    }
    return state;
}

}
