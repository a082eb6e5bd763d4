#include "quorum/quorum_state.h"

#include <algorithm>

namespace bergamotroute {

namespace {

    /// Limits the message size, so that a long backlog does not delay heartbeats.
    constexpr std::size_t maxEntriesPerMessage = 256;

    std::uint64_t toWire(TimePoint time) { return static_cast<std::uint64_t>(time.time_since_epoch().count()); }

    TimePoint fromWire(std::uint64_t milliseconds)
    {
        return TimePoint(Duration(static_cast<Duration::rep>(milliseconds)));
    }

}

void QuorumLog::Implementation::rebuildProgress(std::uint64_t next, TimePoint now)
{
    for (const schema::ControlMember& member : replicatedMembers()) {
        if (member.identity() == options.identity || progress.contains(member.identity()))
            continue;
        Progress& added = progress[member.identity()];
        added.next = next;
        added.lastContact = now;
    }
}

std::vector<std::string> QuorumLog::Implementation::progressIdentities() const
{
    std::vector<std::string> identities;
    identities.reserve(progress.size());
    for (const auto& [identity, memberProgress] : progress)
        identities.push_back(identity);
    return identities;
}

void QuorumLog::Implementation::sendSnapshot(const std::string& identity, Progress& memberProgress, TimePoint now)
{
    schema::ControlMessage message = messageTo(identity);
    schema::SnapshotRequest& request = *message.mutable_snapshot_request();
    request.set_term(hardState.term());
    request.set_leader(options.identity);
    *request.mutable_snapshot() = *newestSnapshot;
    request.set_sent_ms(toWire(now));
    memberProgress.inFlightUpTo = newestSnapshot->last_index();
    memberProgress.inFlightSince = now;
    sendNow(message);
}

void QuorumLog::Implementation::sendAppend(
    const std::string& identity, Progress& memberProgress, bool withEntries, TimePoint now)
{
    schema::ControlMessage message = messageTo(identity);
    schema::AppendRequest& request = *message.mutable_append_request();
    const std::uint64_t previous = withEntries ? memberProgress.next - 1 : memberProgress.match;
    const std::optional<std::uint64_t> previousTerm = window.termAt(previous);
    request.set_term(hardState.term());
    request.set_leader(options.identity);
    request.set_previous_index(previousTerm ? previous : 0);
    request.set_previous_term(previousTerm.value_or(0));
    request.set_commit_index(commitIndex);
    request.set_sent_ms(toWire(now));
    if (withEntries) {
        const std::uint64_t last = std::min(window.lastIndex(), previous + maxEntriesPerMessage);
        for (std::uint64_t index = previous + 1; index <= last; ++index)
            *request.add_entries() = window.at(index);
        memberProgress.inFlightUpTo = last;
        memberProgress.inFlightSince = now;
    }
    sendNow(message);
}

void QuorumLog::Implementation::replicate(const std::string& identity, TimePoint now)
{
    Progress& memberProgress = progress[identity];
    const bool inFlight
        = memberProgress.inFlightUpTo != 0 && now - memberProgress.inFlightSince < options.electionTimeout;
    if (inFlight || memberProgress.next > window.lastIndex())
        return;
    if (memberProgress.next <= window.baseIndex())
        sendSnapshot(identity, memberProgress, now);
    else
        sendAppend(identity, memberProgress, true, now);
}

void QuorumLog::Implementation::replicateAll(TimePoint now)
{
    for (const std::string& identity : progressIdentities())
        replicate(identity, now);
}

void QuorumLog::Implementation::sendHeartbeats(TimePoint now)
{
    heartbeatDeadline = now + options.heartbeatInterval;
    for (auto& [identity, memberProgress] : progress)
        sendAppend(identity, memberProgress, false, now);
    replicateAll(now);
}

void QuorumLog::Implementation::handleAppendAnswer(const schema::AppendAnswer& answer, TimePoint now)
{
    if (answer.term() > hardState.term()) {
        becomeFollower(answer.term(), {}, now);
        return;
    }
    const auto found = progress.find(answer.follower());
    if (role != QuorumRole::Leader || answer.term() != hardState.term() || found == progress.end())
        return;
    Progress& memberProgress = found->second;
    memberProgress.acknowledgedSendTime = std::max(memberProgress.acknowledgedSendTime, fromWire(answer.sent_ms()));
    memberProgress.lastContact = now;
    memberProgress.hasAnswered = true;
    if (answer.success()) {
        memberProgress.match = std::max(memberProgress.match, std::min(answer.match_index(), window.lastIndex()));
        memberProgress.next = std::max(memberProgress.next, memberProgress.match + 1);
    } else {
        memberProgress.next = std::clamp(answer.next_index_hint(), memberProgress.match + 1, window.lastIndex() + 1);
    }
    if (!answer.success() || memberProgress.match >= memberProgress.inFlightUpTo)
        memberProgress.inFlightUpTo = 0;
    advanceCommit(now);
    if (role == QuorumRole::Leader && progress.contains(answer.follower()))
        replicate(answer.follower(), now);
}

void QuorumLog::Implementation::advanceCommit(TimePoint now)
{
    const auto matchOf = [this](const std::string& identity) -> std::uint64_t {
        if (identity == options.identity)
            return durableIndex;
        const auto found = progress.find(identity);
        return found == progress.end() ? 0 : found->second.match;
    };
    const std::uint64_t candidate = voterSets(lostVotersOfTerm).reachedByQuorum<std::uint64_t>(matchOf, 0);
    if (candidate <= commitIndex || window.termAt(candidate) != hardState.term())
        return;
    commitUpTo(candidate, now);
    if (role == QuorumRole::Leader)
        appendQueuedCommands(now);
}

TimePoint QuorumLog::Implementation::leaseStart(TimePoint now) const
{
    const auto answeredSendTime = [this, now](const std::string& identity) {
        if (identity == options.identity)
            return now;
        const auto found = progress.find(identity);
        const bool hasAnswered = found != progress.end() && found->second.hasAnswered;
        return hasAnswered ? found->second.acknowledgedSendTime : TimePoint::min();
    };
    return voterSets(lostVotersOfTerm).reachedByQuorum<TimePoint>(answeredSendTime, TimePoint::min());
}

bool QuorumLog::Implementation::isLeaseValid(TimePoint now) const
{
    if (role != QuorumRole::Leader || commitIndex < termFirstIndex)
        return false;
    // Voters reject other candidates for a full election timeout. The lease lasts three quarters of it; the remaining
    // quarter allows for clocks that run at different speeds.
    return now < leaseStart(now) + options.electionTimeout * 3 / 4;
}

void QuorumLog::Implementation::checkQuorum(TimePoint now)
{
    const TimePoint contact = std::max(leaseStart(now), leaderSince);
    if (now < contact + options.electionTimeout * 2)
        return;
    sink.logEvent(ResultCode::NoQuorum, "no majority of voters answers; stepping down as leader");
    becomeFollower(hardState.term(), {}, now);
}

std::size_t QuorumLog::Implementation::countReachableVoters(
    const std::vector<schema::ControlMember>& candidates, TimePoint now) const
{
    std::size_t count = 0;
    for (const schema::ControlMember& member : candidates) {
        const auto found = progress.find(member.identity());
        const bool isSelf = member.identity() == options.identity;
        const bool recent = found != progress.end() && found->second.hasAnswered
            && now - found->second.lastContact < options.electionTimeout;
        count += member.voter() && (isSelf || recent) ? 1 : 0;
    }
    return count;
}

}
