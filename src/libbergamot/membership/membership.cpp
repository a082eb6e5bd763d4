#include "membership/membership.h"

#include "membership/heartbeat_echo.h"

#include <algorithm>
#include <array>

namespace bergamotroute {

namespace {

    /// Unit of the heartbeat ages on the wire, which take one byte each.
    constexpr std::int64_t ageUnitMs = 100;
    constexpr std::int64_t maxAge = 255;
    /// Echoes older than this multiple of the dead-after time are not sent, so that the send time in an echo, kept
    /// modulo 2^17, never wraps around.
    constexpr int echoLifetimeFactor = 4;
    constexpr std::size_t stateCount = 5;
    /// Time with the quorum lease, divided by this number, is subtracted from the accumulated time without it.
    constexpr int quorumRecoveryDivisor = 4;

}

Membership::Membership(const EntryHostOptions& options, HostIndex self, TimePoint now)
    : m_heartbeatInterval(options.heartbeatInterval)
    , m_lease(options.lease)
    , m_deadAfter(options.deadAfter)
    , m_incarnation(options.incarnation)
    , m_start(now)
    , m_nextHeartbeat(now)
    , m_peers(options.peers.size())
{
    m_view.self = self;
    for (HostIndex host = 0; host < static_cast<HostIndex>(options.peers.size()); ++host) {
        const PeerConfig& peer = options.peers[host];
        m_view.members.push_back({ host, peer.host, peer.dataCentre, 0, schema::DEAD });
    }
    m_view.members[self].incarnation = m_incarnation;
    m_view.members[self].state = schema::JOINING;
}

std::uint64_t Membership::localTimeMs(TimePoint now) const
{
    // Starts above zero, because an echo of zero means that no heartbeat was received.
    return static_cast<std::uint64_t>((now - m_start).count()) + sendTimeUnitMs;
}

bool Membership::isMember(HostIndex host) const
{
    return state(host) != schema::LEFT && (m_removedHosts & hostBit(host)) == 0;
}

std::size_t Membership::majority() const
{
    std::size_t members = 0;
    for (HostIndex host = 0; host < static_cast<HostIndex>(m_peers.size()); ++host)
        members += isMember(host) ? 1 : 0;
    return members / 2 + 1;
}

bool Membership::handleHeartbeat(HostIndex from, const schema::Heartbeat& heartbeat, TimePoint now)
{
    MemberView& member = m_view.members[from];
    PeerStatus& peer = m_peers[from];
    if (heartbeat.incarnation() < member.incarnation)
        return false;
    const bool isNewIncarnation = heartbeat.incarnation() > member.incarnation;
    if (!isNewIncarnation && peer.hasHeartbeat && heartbeat.sent_ms() <= peer.sentMs)
        return false;
    if (isNewIncarnation)
        peer = PeerStatus {};
    member.state = acceptedState(from, heartbeat, isNewIncarnation);
    member.incarnation = heartbeat.incarnation();
    peer.hasHeartbeat = true;
    peer.lastHeartbeat = now;
    peer.sentMs = heartbeat.sent_ms();
    peer.readyHosts = heartbeat.view_epoch();
    peer.configurationRevision = heartbeat.configuration_revision();
    peer.echoes.assign(heartbeat.heard().begin(), heartbeat.heard().end());
    peer.heartbeatAges = heartbeat.heard_age();
    handleEcho(peer, heartbeat, now);
    return true;
}

schema::MemberState Membership::acceptedState(
    HostIndex from, const schema::Heartbeat& heartbeat, bool isNewIncarnation) const
{
    // A host that the majority declared dead has lost its buckets and must rejoin before it may own any.
    const bool wasDeclaredDead = !isNewIncarnation && state(from) == schema::DEAD;
    const bool isRejoining = heartbeat.state() == schema::JOINING || heartbeat.state() == schema::LEFT;
    if (wasDeclaredDead && !isRejoining)
        return schema::DEAD;
    return heartbeat.state();
}

void Membership::handleEcho(PeerStatus& peer, const schema::Heartbeat& heartbeat, TimePoint now)
{
    if (m_view.self >= peer.echoes.size() || peer.echoes[m_view.self] == 0)
        return;
    const HeartbeatEcho echo = HeartbeatEcho::unpack(peer.echoes[m_view.self]);
    if (echo.incarnation != truncateIncarnation(m_incarnation))
        return;
    const TimePoint sendTime = now - Duration(echoAgeMs(echo.sendTime, localTimeMs(now)));
    if (heartbeat.has_quorum())
        peer.ownerLeaseUntil = std::max(peer.ownerLeaseUntil, sendTime + m_lease);
    peer.reachableUntil = std::max(peer.reachableUntil, sendTime + m_lease);
    const bool peerSeesReady = echo.state == schema::MEMBER_READY || echo.state == schema::LEAVING;
    if (peerSeesReady)
        peer.quorumSupportUntil = std::max(peer.quorumSupportUntil, sendTime + m_lease);
    const bool declaredDead = echo.state == schema::DEAD && selfState() == schema::MEMBER_READY;
    if (declaredDead)
        setSelfState(schema::JOINING, now);
    refreshQuorum();
}

void Membership::fillHeartbeat(schema::Heartbeat& heartbeat, TimePoint now)
{
    m_nextHeartbeat = now + m_heartbeatInterval;
    // Send times are unique, so that the receiver can order heartbeats.
    m_lastSentMs = std::max(m_lastSentMs + 1, localTimeMs(now));
    heartbeat.set_incarnation(m_incarnation);
    heartbeat.set_sent_ms(m_lastSentMs);
    heartbeat.set_state(selfState());
    heartbeat.set_view_epoch(m_readyHosts);
    heartbeat.set_has_quorum(hasQuorum(now));
    std::string ages;
    for (HostIndex host = 0; host < static_cast<HostIndex>(m_peers.size()); ++host) {
        const PeerStatus& peer = m_peers[host];
        const bool isFresh = peer.hasHeartbeat && now - peer.lastHeartbeat <= m_deadAfter * echoLifetimeFactor;
        const MemberView& member = m_view.members[host];
        const HeartbeatEcho echo { truncateSendTime(peer.sentMs), member.state,
            truncateIncarnation(member.incarnation) };
        heartbeat.add_heard(isFresh ? echo.pack() : 0);
        const std::int64_t age = (now - peer.lastHeartbeat).count() / ageUnitMs;
        ages.push_back(static_cast<char>(isFresh ? std::min(age, maxAge) : maxAge));
    }
    heartbeat.set_heard_age(std::move(ages));
}

bool Membership::heardWithin(HostIndex host, Duration span, TimePoint now) const
{
    return host < m_peers.size() && m_peers[host].hasHeartbeat && now - m_peers[host].lastHeartbeat <= span;
}

bool Membership::isDeadForMajority(HostIndex host, TimePoint now) const
{
    std::size_t suspicions = heardWithin(host, m_deadAfter, now) ? 0 : 1;
    for (HostIndex reporter = 0; reporter < static_cast<HostIndex>(m_peers.size()); ++reporter) {
        const bool isCounted = reporter != host && reporter != m_view.self && isMember(reporter)
            && heardWithin(reporter, m_deadAfter, now) && host < m_peers[reporter].heartbeatAges.size();
        if (!isCounted)
            continue;
        const auto age = static_cast<std::uint8_t>(m_peers[reporter].heartbeatAges[host]);
        suspicions += age * ageUnitMs >= m_deadAfter.count() ? 1 : 0;
    }
    return suspicions >= majority();
}

void Membership::adoptMajorityState(HostIndex host, TimePoint now)
{
    std::array<std::size_t, stateCount> votes {};
    for (HostIndex reporter = 0; reporter < static_cast<HostIndex>(m_peers.size()); ++reporter) {
        const bool isCounted = reporter != host && reporter != m_view.self && heardWithin(reporter, m_deadAfter, now)
            && host < m_peers[reporter].echoes.size() && m_peers[reporter].echoes[host] != 0;
        if (isCounted)
            ++votes[HeartbeatEcho::unpack(m_peers[reporter].echoes[host]).state];
    }
    for (std::size_t candidate = 0; candidate < stateCount; ++candidate) {
        if (votes[candidate] >= majority())
            m_view.members[host].state = static_cast<schema::MemberState>(candidate);
    }
}

bool Membership::advance(TimePoint now)
{
    std::vector<schema::MemberState> before;
    for (const MemberView& member : m_view.members)
        before.push_back(member.state);
    for (HostIndex host = 0; host < static_cast<HostIndex>(m_peers.size()); ++host) {
        const schema::MemberState currentState = state(host);
        if (host == m_view.self || currentState == schema::LEFT)
            continue;
        if (!heardWithin(host, m_lease, now))
            adoptMajorityState(host, now);
        if (state(host) != schema::DEAD && isDeadForMajority(host, now))
            m_view.members[host].state = schema::DEAD;
    }
    const HostMask readyBefore = m_readyHosts;
    refreshQuorum();
    monitorQuorum(now);
    const bool quorumBefore = m_view.hasQuorum;
    refreshReadyHosts();
    m_view.hasQuorum = hasQuorum(now);
    bool changed = readyBefore != m_readyHosts || quorumBefore != m_view.hasQuorum;
    for (HostIndex host = 0; host < static_cast<HostIndex>(m_peers.size()); ++host)
        changed = changed || before[host] != state(host);
    return changed;
}

void Membership::refreshReadyHosts()
{
    HostMask ready = 0;
    for (const MemberView& member : m_view.members)
        ready |= member.state == schema::MEMBER_READY ? hostBit(member.index) : 0;
    if (ready == m_readyHosts)
        return;
    m_readyHosts = ready;
    ++m_view.epoch;
}

void Membership::setSelfState(schema::MemberState state, TimePoint now)
{
    m_view.members[m_view.self].state = state;
    refreshReadyHosts();
    triggerHeartbeat(now);
    if (state == schema::JOINING) {
        // Support that peers gave before this host rejoined does not count towards its new quorum lease.
        for (PeerStatus& peer : m_peers)
            peer.quorumSupportUntil = TimePoint::min();
    }
    refreshQuorum();
}

void Membership::refreshQuorum()
{
    const schema::MemberState self = selfState();
    m_quorumLeaseUntil = TimePoint::min();
    if (self != schema::MEMBER_READY && self != schema::LEAVING)
        return;
    std::vector<TimePoint> expiries { TimePoint::max() };
    for (HostIndex host = 0; host < static_cast<HostIndex>(m_peers.size()); ++host) {
        if (host != m_view.self)
            expiries.push_back(m_peers[host].quorumSupportUntil);
    }
    std::sort(expiries.rbegin(), expiries.rend());
    if (majority() <= expiries.size())
        m_quorumLeaseUntil = expiries[majority() - 1];
}

std::size_t Membership::countUnexpired(TimePoint PeerStatus::*expiry, TimePoint now) const
{
    std::size_t count = 1;
    for (HostIndex host = 0; host < static_cast<HostIndex>(m_peers.size()); ++host)
        count += host != m_view.self && m_peers[host].*expiry > now ? 1 : 0;
    return count;
}

void Membership::monitorQuorum(TimePoint now)
{
    if (countUnexpired(&PeerStatus::reachableUntil, now) < majority())
        m_majorityReachableSince = TimePoint::max();
    else if (m_majorityReachableSince == TimePoint::max())
        m_majorityReachableSince = now;
    const Duration elapsed = std::min(now - m_lastQuorumCheck, m_lease);
    m_lastQuorumCheck = now;
    const bool lacksQuorum = selfState() == schema::MEMBER_READY && !hasQuorum(now) && hearsMajority(now);
    // Short periods with the quorum lease do not reset the time without it, because delayed messages make the lease
    // alternate between held and lost.
    m_timeWithoutQuorum = lacksQuorum ? m_timeWithoutQuorum + elapsed
                                      : std::max(Duration(0), m_timeWithoutQuorum - elapsed / quorumRecoveryDivisor);
    // Peers keep relaying packets to a ready host whose heartbeats they receive, although it cannot decide without the
    // quorum lease. This host therefore returns to joining, which gives its buckets to hosts that can decide, and is
    // ready again once messages arrive in time.
    if (lacksQuorum && m_timeWithoutQuorum >= m_lease) {
        m_timeWithoutQuorum = Duration(0);
        setSelfState(schema::JOINING, now);
    }
}

bool Membership::hearsMajority(TimePoint now) const
{
    std::size_t heard = 1;
    for (HostIndex host = 0; host < static_cast<HostIndex>(m_peers.size()); ++host)
        heard += host != m_view.self && heardWithin(host, m_deadAfter, now) ? 1 : 0;
    return heard >= majority();
}

HostMask Membership::hostsWithDifferentView() const
{
    HostMask other = 0;
    for (const MemberView& member : m_view.members) {
        const bool isCounted
            = member.index != m_view.self && (member.state == schema::MEMBER_READY || member.state == schema::LEAVING);
        if (isCounted && m_peers[member.index].readyHosts != m_readyHosts)
            other |= hostBit(member.index);
    }
    return other;
}

}
