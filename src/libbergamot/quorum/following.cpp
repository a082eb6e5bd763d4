#include "quorum/quorum_state.h"

#include <algorithm>

namespace bergamotroute {

void QuorumLog::Implementation::answerAppend(
    const std::string& leaderIdentity, bool success, std::uint64_t match, std::uint64_t hint, std::uint64_t sentMs)
{
    schema::ControlMessage message = messageTo(leaderIdentity);
    schema::AppendAnswer& answer = *message.mutable_append_answer();
    answer.set_term(hardState.term());
    answer.set_follower(options.identity);
    answer.set_success(success);
    answer.set_match_index(match);
    answer.set_next_index_hint(hint);
    answer.set_sent_ms(sentMs);
    sendWhenDurable(std::move(message));
}

void QuorumLog::Implementation::handleAppendRequest(const schema::AppendRequest& request, TimePoint now)
{
    if (request.term() < hardState.term()) {
        answerAppend(request.leader(), false, 0, 0, 0);
        return;
    }
    becomeFollower(request.term(), request.leader(), now);
    const std::uint64_t previous = request.previous_index();
    // Committed entries are identical on all members, so their terms need no comparison.
    const bool matches = previous <= commitIndex || window.termAt(previous) == request.previous_term();
    if (!matches) {
        const std::uint64_t hint = previous > window.lastIndex() ? window.lastIndex() + 1 : commitIndex + 1;
        answerAppend(request.leader(), false, 0, hint, request.sent_ms());
        return;
    }
    storeEntries(request, now);
    const std::uint64_t match = previous + static_cast<std::uint64_t>(request.entries_size());
    commitUpTo(std::min(request.commit_index(), match), now);
    answerAppend(request.leader(), true, match, 0, request.sent_ms());
}

void QuorumLog::Implementation::storeEntries(const schema::AppendRequest& request, TimePoint)
{
    PersistRequest persistRequest;
    for (const schema::LogEntry& entry : request.entries()) {
        if (entry.index() <= commitIndex || window.termAt(entry.index()) == entry.term())
            continue;
        if (entry.index() <= window.lastIndex()) {
            window.truncateFrom(entry.index());
            durableIndex = std::min(durableIndex, entry.index() - 1);
            for (auto& [id, last] : pendingWrites)
                last = std::min(last, entry.index() - 1);
        }
        window.append(entry);
        knownCommit = std::max(knownCommit, entry.known_commit());
        lastEntryTimeMs = std::max(lastEntryTimeMs, entry.time_ms());
        persistRequest.entries.push_back(entry);
    }
    if (persistRequest.entries.empty())
        return;
    refreshMembers();
    persistRequest.id = ++requestedPersistId;
    persist(std::move(persistRequest));
}

void QuorumLog::Implementation::handleSnapshotRequest(const schema::SnapshotRequest& request, TimePoint now)
{
    if (request.term() < hardState.term()) {
        answerAppend(request.leader(), false, 0, 0, 0);
        return;
    }
    becomeFollower(request.term(), request.leader(), now);
    if (request.snapshot().last_index() > commitIndex) {
        installSnapshot(request.snapshot());
        ++snapshotsInstalled;
        sink.configurationChanged(machine.configuration());
    }
    answerAppend(request.leader(), true, request.snapshot().last_index(), 0, request.sent_ms());
}

void QuorumLog::Implementation::installSnapshot(const schema::Snapshot& snapshot)
{
    newestSnapshot = snapshot;
    machine.restore(snapshot);
    commitIndex = snapshot.last_index();
    if (window.termAt(commitIndex) == snapshot.last_term()) {
        window.compact(commitIndex);
    } else {
        window.reset(commitIndex, snapshot.last_term());
        durableIndex = 0;
        pendingWrites.clear();
    }
    for (const schema::RememberedResult& result : snapshot.results())
        lastEntryTimeMs = std::max(lastEntryTimeMs, result.time_ms());
    refreshMembers();
    persistSnapshot();
    pendingWrites.emplace_back(requestedPersistId, window.lastIndex());
}

}
