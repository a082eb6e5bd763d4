#include "quorum/quorum_state.h"

namespace bergamotroute {

void QuorumLog::Implementation::resetElectionDeadline(TimePoint now)
{
    // Random jitter makes it unlikely that several members become candidates at the same time.
    const auto spread = static_cast<std::uint64_t>(options.electionTimeout.count());
    const auto jitter = static_cast<Duration::rep>(random() % (spread + 1));
    electionDeadline = now + options.electionTimeout + Duration(jitter);
}

void QuorumLog::Implementation::becomeFollower(std::uint64_t term, const std::string& newLeader, TimePoint now)
{
    if (role == QuorumRole::Leader) {
        abandonCommands();
        progress.clear();
    }
    if (term > hardState.term()) {
        hardState.set_term(term);
        hardState.clear_voted_for();
        persistHardState();
    }
    role = QuorumRole::Follower;
    votes.clear();
    leader = newLeader;
    if (!newLeader.empty()) {
        lastLeaderContact = now;
        hadLeaderContact = true;
    }
    resetElectionDeadline(now);
}

void QuorumLog::Implementation::requestVotes(bool preVote, std::uint64_t term)
{
    const VoterSets voters = voterSets(lostVoters);
    for (const schema::ControlMember& member : replicatedMembers()) {
        if (!voters.contains(member.identity()) || member.identity() == options.identity)
            continue;
        schema::ControlMessage message = messageTo(member.identity());
        schema::VoteRequest& request = *message.mutable_vote_request();
        request.set_term(term);
        request.set_candidate(options.identity);
        request.set_last_index(window.lastIndex());
        request.set_last_term(window.lastTerm());
        request.set_pre_vote(preVote);
        sendWhenDurable(std::move(message));
    }
}

void QuorumLog::Implementation::startPreVote(TimePoint now)
{
    role = QuorumRole::PreCandidate;
    leader.clear();
    votes = { options.identity };
    resetElectionDeadline(now);
    requestVotes(true, hardState.term() + 1);
    countVotes(now);
}

void QuorumLog::Implementation::startElection(TimePoint now)
{
    ++elections;
    role = QuorumRole::Candidate;
    hardState.set_term(hardState.term() + 1);
    hardState.set_voted_for(options.identity);
    persistHardState();
    votePersistId = requestedPersistId;
    lostVotersOfTerm = lostVoters;
    votes = { options.identity };
    resetElectionDeadline(now);
    requestVotes(false, hardState.term());
    countVotes(now);
}

bool QuorumLog::Implementation::hasRecentLeader(const std::string& candidate, TimePoint now) const
{
    if (role == QuorumRole::Leader)
        return isLeaseValid(now);
    // A lease is bound to the leader's identity, so that leader itself may become a candidate again immediately.
    return hadLeaderContact && candidate != leader && now - lastLeaderContact < options.electionTimeout;
}

bool QuorumLog::Implementation::grantsVote(const schema::VoteRequest& request, TimePoint now)
{
    // The leader's lease relies on voters that grant no vote to another candidate within an election timeout after its
    // last message.
    if (hasRecentLeader(request.candidate(), now))
        return false;
    const bool upToDate = request.last_term() > window.lastTerm()
        || (request.last_term() == window.lastTerm() && request.last_index() >= window.lastIndex());
    if (request.pre_vote())
        return upToDate && request.term() > hardState.term();
    if (request.term() > hardState.term())
        becomeFollower(request.term(), {}, now);
    const bool isVoteFree = hardState.voted_for().empty() || hardState.voted_for() == request.candidate();
    if (request.term() < hardState.term() || !isVoteFree || !upToDate)
        return false;
    if (hardState.voted_for().empty()) {
        hardState.set_voted_for(request.candidate());
        persistHardState();
    }
    resetElectionDeadline(now);
    return true;
}

void QuorumLog::Implementation::handleVoteRequest(
    const std::string& from, const schema::VoteRequest& request, TimePoint now)
{
    const bool granted = grantsVote(request, now);
    schema::ControlMessage message = messageTo(from);
    schema::VoteAnswer& answer = *message.mutable_vote_answer();
    // A granted pre-vote returns the requested term, so that the candidate can match the answer to its request.
    answer.set_term(granted && request.pre_vote() ? request.term() : hardState.term());
    answer.set_granted(granted);
    answer.set_voter(options.identity);
    answer.set_pre_vote(request.pre_vote());
    sendWhenDurable(std::move(message));
}

void QuorumLog::Implementation::handleVoteAnswer(const schema::VoteAnswer& answer, TimePoint now)
{
    const bool grantedPreVote = answer.pre_vote() && answer.granted();
    if (!grantedPreVote && answer.term() > hardState.term()) {
        becomeFollower(answer.term(), {}, now);
        return;
    }
    const QuorumRole expected = answer.pre_vote() ? QuorumRole::PreCandidate : QuorumRole::Candidate;
    const std::uint64_t expectedTerm = hardState.term() + (answer.pre_vote() ? 1 : 0);
    if (!answer.granted() || role != expected || answer.term() != expectedTerm)
        return;
    votes.insert(answer.voter());
    countVotes(now);
}

void QuorumLog::Implementation::countVotes(TimePoint now)
{
    const bool isPreVote = role == QuorumRole::PreCandidate;
    if (!voterSets(isPreVote ? lostVoters : lostVotersOfTerm).hasQuorum(votes))
        return;
    if (isPreVote)
        startElection(now);
    else if (role == QuorumRole::Candidate && completedPersistId >= votePersistId)
        becomeLeader(now);
}

void QuorumLog::Implementation::becomeLeader(TimePoint now)
{
    role = QuorumRole::Leader;
    leader = options.identity;
    leaderSince = now;
    progress.clear();
    durableIndex = window.lastIndex();
    pendingWrites.clear();
    const bool isByHalf = !voterSets({}).hasQuorum(votes);
    electionsByHalf += isByHalf ? 1 : 0;
    sink.logEvent(ResultCode::Ok,
        "became leader in term " + std::to_string(hardState.term())
            + (isByHalf ? " with half of the voters; another one's log is gone" : ""));
    votes.clear();
    // A leader may commit entries of earlier terms only by committing an entry of its own term after them, so it
    // appends an empty entry.
    schema::LogEntry first;
    first.set_time_ms(lastEntryTimeMs);
    termFirstIndex = window.lastIndex() + 1;
    rebuildProgress(termFirstIndex, now);
    appendEntries({ std::move(first) }, now);
    heartbeatDeadline = now + options.heartbeatInterval;
}

}
