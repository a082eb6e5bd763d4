/// @file
/// View changes: join and leave of hosts, and change of bucket owners. See
/// docs/design/flow_steering.md, "Owner change" and "Start in the middle of traffic".

#include "steering/steering.h"

namespace bergamotroute {

namespace {

    /// A joining host that finds no ready host becomes ready after this time and builds the tables itself.
    constexpr Duration joinTimeout { 3'000 };
    /// A host that lost its ready state becomes ready again only after messages to and from a majority have arrived
    /// within the lease for this long.
    constexpr Duration rejoinLinkTime { 3'000 };
    /// A record transfer to a joining host is not started while this host has no quorum, and the joining host may
    /// discard what it received when it starts to join again. Without a retry it would wait for the end marker forever.
    constexpr Duration joinRetryInterval { 2'000 };
    /// A leaving host whose records are handed over leaves when no peer has relayed a packet to it for this long.
    constexpr Duration leaveQuietPeriod { 1'000 };
    /// A leaving host leaves after this time even if other hosts still relay packets to it or do not reply.
    constexpr Duration leaveTimeout { 30'000 };

}

void Steering::advance(TimePoint now)
{
    if (m_state.membership.hearsMajority(now))
        m_state.isolatedSince = TimePoint::max();
    else if (m_state.isolatedSince == TimePoint::max())
        m_state.isolatedSince = now;
    handlePeerChanges(now);
    retryJoinTransfers(now);
    if (m_state.membership.readyHosts() != m_knownReady)
        changeView(now);
    if (m_state.viewChanging)
        completeView(now);
    advanceJoin(now);
    handOverAfterIsolation(now);
    m_distribution.advance(now);
    reportLimits(now);
    m_transfer.advance(now);
    m_hints.advance(now);
    advanceLeave(now);
    m_state.recent.expire(now);
    sweepCache(now);
}

void Steering::handlePeerChanges(TimePoint now)
{
    for (HostIndex host = 0; host < static_cast<HostIndex>(m_knownStates.size()); ++host) {
        const schema::MemberState state = m_state.membership.state(host);
        if (state == m_knownStates[host])
            continue;
        m_knownStates[host] = state;
        const std::string& name = m_state.options.peers[host].host;
        if (host == m_state.self()) {
            if (state == schema::JOINING)
                m_joinStart = now;
            continue;
        }
        if (state == schema::DEAD)
            m_state.sink.logEvent(ResultCode::HostDead, name);
        else if (state == schema::LEFT)
            m_state.sink.logEvent(ResultCode::HostLeft, name);
        else if (state == schema::MEMBER_READY)
            m_state.sink.logEvent(ResultCode::HostJoined, name);
        if (state == schema::JOINING && m_state.hasQuorum(now))
            m_transfer.startJoin(host);
        else if (state != schema::MEMBER_READY)
            m_transfer.stopJoin(host);
    }
}

void Steering::retryJoinTransfers(TimePoint now)
{
    if (now < m_nextJoinRetry || !m_state.hasQuorum(now))
        return;
    m_nextJoinRetry = now + joinRetryInterval;
    for (HostIndex host = 0; host < static_cast<HostIndex>(m_knownStates.size()); ++host) {
        if (host != m_state.self() && m_knownStates[host] == schema::JOINING && m_transfer.isIdleFor(host))
            m_transfer.startJoin(host);
    }
}

void Steering::changeView(TimePoint now)
{
    const HostMask before = m_knownReady;
    m_knownReady = m_state.membership.readyHosts();
    std::vector<std::vector<BucketOwners>> previous;
    for (ServiceTable& table : m_state.tables) {
        previous.push_back(table.owners);
        for (std::uint32_t bucket = 0; bucket < table.owners.size(); ++bucket)
            table.owners[bucket] = m_state.ownership.rank(m_knownReady, table.table.service, bucket);
    }
    if (!m_state.viewChanging)
        m_state.viewChangingSince = now;
    m_state.viewChanging = true;
    m_transfer.handleViewChange(previous, before, now);
    for (HostIndex host = 0; host < static_cast<HostIndex>(m_knownStates.size()); ++host) {
        // The records that a joining host needs depend on the set of ready hosts, so they are queued again.
        if (m_knownStates[host] == schema::JOINING && host != m_state.self())
            m_transfer.startJoin(host);
    }
}

bool Steering::hasRecordsOfPreviousOwners() const
{
    HostMask awaited = 0;
    for (const ServiceTable& table : m_state.tables) {
        for (std::uint32_t bucket = 0; bucket < table.owners.size(); ++bucket) {
            const bool isOwner = table.owners[bucket].owner == m_state.self();
            if (isOwner && m_state.areHoldersLost(table, bucket))
                awaited |= m_knownReady & ~hostBit(m_state.self());
            const HostIndex previous = table.stableOwners[bucket].owner;
            const bool isAwaited = isOwner && previous != m_state.self() && m_state.isReadyOrLeaving(previous);
            awaited |= isAwaited ? hostBit(previous) : 0;
        }
    }
    for (HostIndex host = 0; host < static_cast<HostIndex>(m_knownStates.size()); ++host) {
        if ((awaited & hostBit(host)) != 0 && !m_transfer.hasFinished(host, m_knownReady))
            return false;
    }
    return true;
}

void Steering::completeView(TimePoint now)
{
    if (!m_state.hasQuorum(now) || m_state.membership.hostsWithDifferentView() != 0 || !hasRecordsOfPreviousOwners())
        return;
    for (ServiceTable& table : m_state.tables) {
        for (std::uint32_t bucket = 0; bucket < table.owners.size(); ++bucket)
            table.stableOwners[bucket] = table.owners[bucket];
    }
    m_state.viewChanging = false;
}

bool Steering::isSynchronized() const
{
    if (!m_distribution.isCurrent())
        return false;
    for (HostIndex host = 0; host < static_cast<HostIndex>(m_knownStates.size()); ++host) {
        const bool isReady = host != m_state.self() && m_state.membership.state(host) == schema::MEMBER_READY;
        if (isReady && !m_transfer.hasSentAny(host))
            return false;
    }
    return true;
}

void Steering::advanceJoin(TimePoint now)
{
    if (m_state.membership.selfState() != schema::JOINING)
        return;
    if (m_hadQuorum) {
        // This host lost its ready state, because the majority removed it or it lacked quorum for too long. Records
        // sent to it before do not count when it joins again.
        m_hadQuorum = false;
        m_isRejoining = true;
        m_joinStart = now;
        for (HostIndex host = 0; host < static_cast<HostIndex>(m_knownStates.size()); ++host)
            m_transfer.resetFinished(host);
    }
    const bool hasConfiguration = m_state.services.size() > 0;
    // A host with an unreliable link, whose messages arrive within the lease only at times, would gain and lose its
    // buckets again and again.
    const TimePoint linkedSince = m_state.membership.majorityReachableSince();
    const Duration linkTime = m_isRejoining ? rejoinLinkTime : Duration(0);
    const bool isLinked = linkedSince != TimePoint::max() && now - linkedSince >= linkTime;
    if (!hasConfiguration || !isLinked)
        return;
    const bool anyReady = (m_state.membership.readyHosts() & ~hostBit(m_state.self())) != 0;
    const bool mayStart = anyReady ? isSynchronized() : now - m_joinStart >= joinTimeout;
    if (!mayStart)
        return;
    m_state.membership.setSelfState(schema::MEMBER_READY, now);
    changeView(now);
    m_distribution.acknowledgeAll(now);
}

void Steering::handOverAfterIsolation(TimePoint now)
{
    const bool hasQuorum = m_state.hasQuorum(now);
    if (hasQuorum && !m_hadQuorum)
        m_transfer.handOverDivergent();
    m_hadQuorum = m_hadQuorum || hasQuorum;
}

void Steering::advanceLeave(TimePoint now)
{
    if (m_state.membership.selfState() != schema::LEAVING) {
        m_leaveStart = TimePoint::max();
        return;
    }
    if (m_leaveStart == TimePoint::max())
        m_leaveStart = now;
    const bool isQuiet = now - m_lastRelayReceived >= leaveQuietPeriod && now - m_leaveStart >= leaveQuietPeriod;
    const bool isHandedOver = m_transfer.isIdle() && m_state.membership.hostsWithDifferentView() == 0;
    const bool isTimedOut = now - m_leaveStart >= leaveTimeout;
    if ((isQuiet && isHandedOver) || isTimedOut)
        m_state.membership.setSelfState(schema::LEFT, now);
}

}
