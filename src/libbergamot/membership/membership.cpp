#include "membership/membership.h"

#include "membership/heard_word.h"

#include <algorithm>
#include <array>

namespace bergamotroute {

namespace {

    constexpr std::int64_t ageUnitMs = 100;
    constexpr std::int64_t greatestAge = 255;
    /// Echoes older than this multiple of the death time are left out, so that the modulo time never wraps.
    constexpr int echoLifetime = 4;
    constexpr std::size_t stateCount = 5;
    /// Time with quorum makes up for this fraction of its length without quorum.
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

std::uint64_t Membership::ownTimeMs(TimePoint now) const
{
    // Starts above zero, because zero means that nothing was heard.
    return static_cast<std::uint64_t>((now - m_start).count()) + sentUnitMs;
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
    PeerKnowledge& peer = m_peers[from];
    if (heartbeat.incarnation() < member.incarnation)
        return false;
    const bool isNewMember = heartbeat.incarnation() > member.incarnation;
    if (!isNewMember && peer.everHeard && heartbeat.sent_ms() <= peer.sentMs)
        return false;
    if (isNewMember)
        peer = PeerKnowledge {};
    member.state = acceptedState(from, heartbeat, isNewMember);
    member.incarnation = heartbeat.incarnation();
    peer.everHeard = true;
    peer.lastHeard = now;
    peer.sentMs = heartbeat.sent_ms();
    peer.readyHosts = heartbeat.view_epoch();
    peer.configurationRevision = heartbeat.configuration_revision();
    peer.heard.assign(heartbeat.heard().begin(), heartbeat.heard().end());
    peer.heardAge = heartbeat.heard_age();
    takeEchoes(peer, heartbeat, now);
    return true;
}

schema::MemberState Membership::acceptedState(
    HostIndex from, const schema::Heartbeat& heartbeat, bool isNewMember) const
{
    // A host that the majority declared dead has lost its buckets and must join again before it may own any.
    const bool wasDeclaredDead = !isNewMember && state(from) == schema::DEAD;
    const bool joinsAgain = heartbeat.state() == schema::JOINING || heartbeat.state() == schema::LEFT;
    if (wasDeclaredDead && !joinsAgain)
        return schema::DEAD;
    return heartbeat.state();
}

void Membership::takeEchoes(PeerKnowledge& peer, const schema::Heartbeat& heartbeat, TimePoint now)
{
    if (m_view.self >= peer.heard.size() || peer.heard[m_view.self] == 0)
        return;
    const HeardWord echo = HeardWord::unpack(peer.heard[m_view.self]);
    if (echo.incarnation != shortIncarnation(m_incarnation))
        return;
    const TimePoint sent = now - Duration(echoAgeMs(echo.sent, ownTimeMs(now)));
    if (heartbeat.has_quorum())
        peer.leaseUntil = std::max(peer.leaseUntil, sent + m_lease);
    peer.linkUntil = std::max(peer.linkUntil, sent + m_lease);
    const bool regardsAsReady = echo.state == schema::MEMBER_READY || echo.state == schema::LEAVING;
    if (regardsAsReady)
        peer.quorumUntil = std::max(peer.quorumUntil, sent + m_lease);
    const bool declaredDead = echo.state == schema::DEAD && selfState() == schema::MEMBER_READY;
    if (declaredDead)
        setSelfState(schema::JOINING, now);
    refreshQuorum();
}

void Membership::fillHeartbeat(schema::Heartbeat& heartbeat, TimePoint now)
{
    m_nextHeartbeat = now + m_heartbeatInterval;
    // Sender times are unique, so that the receiver can order heartbeats.
    m_lastSentMs = std::max(m_lastSentMs + 1, ownTimeMs(now));
    heartbeat.set_incarnation(m_incarnation);
    heartbeat.set_sent_ms(m_lastSentMs);
    heartbeat.set_state(selfState());
    heartbeat.set_view_epoch(m_readyHosts);
    heartbeat.set_has_quorum(hasQuorum(now));
    std::string ages;
    for (HostIndex host = 0; host < static_cast<HostIndex>(m_peers.size()); ++host) {
        const PeerKnowledge& peer = m_peers[host];
        const bool fresh = peer.everHeard && now - peer.lastHeard <= m_deadAfter * echoLifetime;
        const MemberView& member = m_view.members[host];
        const HeardWord word { shortSent(peer.sentMs), member.state, shortIncarnation(member.incarnation) };
        heartbeat.add_heard(fresh ? word.pack() : 0);
        const std::int64_t age = (now - peer.lastHeard).count() / ageUnitMs;
        ages.push_back(static_cast<char>(fresh ? std::min(age, greatestAge) : greatestAge));
    }
    heartbeat.set_heard_age(std::move(ages));
}

bool Membership::heardWithin(HostIndex host, Duration span, TimePoint now) const
{
    return host < m_peers.size() && m_peers[host].everHeard && now - m_peers[host].lastHeard <= span;
}

bool Membership::isDeadForMajority(HostIndex host, TimePoint now) const
{
    std::size_t silent = heardWithin(host, m_deadAfter, now) ? 0 : 1;
    for (HostIndex witness = 0; witness < static_cast<HostIndex>(m_peers.size()); ++witness) {
        const bool counts = witness != host && witness != m_view.self && isMember(witness)
            && heardWithin(witness, m_deadAfter, now) && host < m_peers[witness].heardAge.size();
        if (!counts)
            continue;
        const auto age = static_cast<std::uint8_t>(m_peers[witness].heardAge[host]);
        silent += age * ageUnitMs >= m_deadAfter.count() ? 1 : 0;
    }
    return silent >= majority();
}

void Membership::adoptMajorityState(HostIndex host, TimePoint now)
{
    std::array<std::size_t, stateCount> votes {};
    for (HostIndex witness = 0; witness < static_cast<HostIndex>(m_peers.size()); ++witness) {
        const bool counts = witness != host && witness != m_view.self && heardWithin(witness, m_deadAfter, now)
            && host < m_peers[witness].heard.size() && m_peers[witness].heard[host] != 0;
        if (counts)
            ++votes[HeardWord::unpack(m_peers[witness].heard[host]).state];
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
        const schema::MemberState known = state(host);
        if (host == m_view.self || known == schema::LEFT)
            continue;
        if (!heardWithin(host, m_lease, now))
            adoptMajorityState(host, now);
        if (state(host) != schema::DEAD && isDeadForMajority(host, now))
            m_view.members[host].state = schema::DEAD;
    }
    const HostMask readyBefore = m_readyHosts;
    refreshQuorum();
    watchOwnQuorum(now);
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
    hurryHeartbeat(now);
    if (state == schema::JOINING) {
        // Support for the former membership does not count for the next one.
        for (PeerKnowledge& peer : m_peers)
            peer.quorumUntil = TimePoint::min();
    }
    refreshQuorum();
}

void Membership::refreshQuorum()
{
    const schema::MemberState self = selfState();
    m_quorumUntil = TimePoint::min();
    if (self != schema::MEMBER_READY && self != schema::LEAVING)
        return;
    std::vector<TimePoint> ends { TimePoint::max() };
    for (HostIndex host = 0; host < static_cast<HostIndex>(m_peers.size()); ++host) {
        if (host != m_view.self)
            ends.push_back(m_peers[host].quorumUntil);
    }
    std::sort(ends.rbegin(), ends.rend());
    if (majority() <= ends.size())
        m_quorumUntil = ends[majority() - 1];
}

std::size_t Membership::countUntil(TimePoint PeerKnowledge::*end, TimePoint now) const
{
    std::size_t count = 1;
    for (HostIndex host = 0; host < static_cast<HostIndex>(m_peers.size()); ++host)
        count += host != m_view.self && m_peers[host].*end > now ? 1 : 0;
    return count;
}

void Membership::watchOwnQuorum(TimePoint now)
{
    if (countUntil(&PeerKnowledge::linkUntil, now) < majority())
        m_linkedSince = TimePoint::max();
    else if (m_linkedSince == TimePoint::max())
        m_linkedSince = now;
    const Duration elapsed = std::min(now - m_quorumWatched, m_lease);
    m_quorumWatched = now;
    const bool isMissing = selfState() == schema::MEMBER_READY && !hasQuorum(now) && hearsMajority(now);
    // Time without quorum adds up over short returns, because late messages let the lease come and go.
    m_quorumMissing = isMissing ? m_quorumMissing + elapsed
                                : std::max(Duration(0), m_quorumMissing - elapsed / quorumRecoveryDivisor);
    // Others still relay to a ready host that they hear, although it cannot decide without the quorum lease. It gives
    // its buckets to hosts that can, and joins again when messages pass in time.
    if (isMissing && m_quorumMissing >= m_lease) {
        m_quorumMissing = Duration(0);
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

HostMask Membership::hostsWithOtherView() const
{
    HostMask other = 0;
    for (const MemberView& member : m_view.members) {
        const bool counts
            = member.index != m_view.self && (member.state == schema::MEMBER_READY || member.state == schema::LEAVING);
        if (counts && m_peers[member.index].readyHosts != m_readyHosts)
            other |= hostBit(member.index);
    }
    return other;
}

}
