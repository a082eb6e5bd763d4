#include "entry/entry_host_core.h"

#include <algorithm>

namespace bergamotroute {

namespace {

    /// Interval at which membership is evaluated and steering timers run; 100 ms is short compared with every lease.
    constexpr Duration tickInterval { 100 };

    EntryHostOptions withSortedPeers(EntryHostOptions options)
    {
        // A host that is missing from its configured peers is added; without any peers it is the only member.
        const bool isListed = std::any_of(options.peers.begin(), options.peers.end(),
            [&options](const PeerConfig& peer) { return peer.host == options.host; });
        if (!isListed)
            options.peers.push_back({ options.host, options.dataCentre });
        std::sort(options.peers.begin(), options.peers.end(),
            [](const PeerConfig& a, const PeerConfig& b) { return a.host < b.host; });
        return options;
    }

    HostIndex findHost(const EntryHostOptions& options, std::string_view host)
    {
        const auto found = std::find_if(
            options.peers.begin(), options.peers.end(), [host](const PeerConfig& peer) { return peer.host == host; });
        return found == options.peers.end() ? noHost : static_cast<HostIndex>(found - options.peers.begin());
    }

}

EntryHostCore::EntryHostCore(EntryHostOptions options, EntryHostSink& sink, TimePoint now)
    : m_options(withSortedPeers(std::move(options)))
    , m_sink(sink)
    , m_self(findHost(m_options, m_options.host))
    , m_targets(makeTargetManager(m_options))
    , m_admission(makeAdmissionPolicy(m_options))
    , m_prober(makeFlowProber(m_options))
    , m_sender(m_options, sink, now)
    , m_membership(m_options, m_self, now)
    , m_steering(m_options, sink, m_membership, *m_targets, *m_admission, *m_prober, m_sender, now)
    , m_nextTick(now)
{
    m_targets->handleView(m_membership.view(), now);
    m_admission->handleView(m_membership.view(), now);
}

HostIndex EntryHostCore::indexOf(std::string_view host) const { return findHost(m_options, host); }

ResultCode EntryHostCore::handleRelayedPacket(
    HostIndex from, RelayKind kind, TargetId target, std::span<const std::byte> packet, TimePoint now)
{
    if (from >= m_options.peers.size() || from == m_self)
        return ResultCode::PeerMessageMalformed;
    return m_steering.handleRelayedPacket(from, kind, target, packet, now);
}

void EntryHostCore::handleMessage(const schema::PeerMessage& message, TimePoint now)
{
    const HostIndex from = indexOf(message.from());
    if (from == noHost || from == m_self) {
        m_sink.logEvent(ResultCode::PeerMessageMalformed, "sender is not another host of the steering group");
        return;
    }
    if (message.has_heartbeat())
        handleHeartbeat(from, message.heartbeat(), now);
    else if (message.has_target_update())
        m_targets->handleUpdate(message.target_update(), now);
    else
        m_steering.handleMessage(from, message, now);
}

void EntryHostCore::handleHeartbeat(HostIndex from, const schema::Heartbeat& heartbeat, TimePoint now)
{
    const schema::MemberState before = m_membership.state(from);
    if (!m_membership.handleHeartbeat(from, heartbeat, now))
        return;
    m_steering.handleHeartbeat(from, heartbeat, now);
    m_targets->handleHeartbeat(from, heartbeat, now);
    m_admission->handleHeartbeat(from, heartbeat, now);
    if (before != m_membership.state(from) && m_membership.state(from) == schema::JOINING) {
        schema::PeerMessage message;
        *message.mutable_target_update() = m_targets->fullUpdate(now);
        m_sender.sendUrgent(from, message, now);
    }
    if (before != m_membership.state(from))
        evaluateMembership(now);
}

void EntryHostCore::evaluateMembership(TimePoint now)
{
    const bool hadQuorum = m_membership.view().hasQuorum;
    if (!m_membership.advance(now))
        return;
    if (hadQuorum != m_membership.view().hasQuorum)
        m_sink.logEvent(hadQuorum ? ResultCode::QuorumLost : ResultCode::Ok,
            hadQuorum ? "no majority of the steering group received a heartbeat of this host within the lease"
                      : "quorum lease acquired");
    m_targets->handleView(m_membership.view(), now);
    m_admission->handleView(m_membership.view(), now);
    m_nextTick = now;
    // Peers change bucket owners only after this host has reported the same view, so it reports without delay.
    m_membership.triggerHeartbeat(now);
}

schema::AnnouncementResult EntryHostCore::handleAnnouncement(
    const schema::Announcement& announcement, const IpAddress& source, TimePoint now)
{
    schema::AnnouncementResult result = m_targets->handleAnnouncement(announcement, source, now);
    sendTargetUpdate(now);
    return result;
}

ResultCode EntryHostCore::handleConfiguration(const schema::Configuration& configuration, TimePoint now)
{
    if (configuration.revision() <= m_configuration.revision()) {
        m_sink.logEvent(ResultCode::RevisionOlderRefused, std::to_string(configuration.revision()));
        return ResultCode::RevisionOlderRefused;
    }
    m_configuration = configuration;
    m_targets->handleConfiguration(configuration, now);
    m_admission->handleConfiguration(configuration, now);
    m_prober->handleConfiguration(configuration, now);
    m_steering.handleConfiguration(configuration, now);
    applyHostOverrides(now);
    return ResultCode::Ok;
}

void EntryHostCore::applyHostOverrides(TimePoint now)
{
    HostMask removed = 0;
    for (const schema::EntryHostOverride& entry : m_configuration.entry_hosts()) {
        const HostIndex host = indexOf(entry.host());
        if (entry.state() != schema::HOST_LEAVE || host == noHost)
            continue;
        if (host == m_self)
            leave(now);
        else
            removed |= hostBit(host);
    }
    m_membership.setRemovedHosts(removed);
}

void EntryHostCore::advance(TimePoint now)
{
    if (now >= m_nextTick) {
        m_nextTick = now + tickInterval;
        evaluateMembership(now);
        m_steering.advance(now);
        m_nextTick = now + tickInterval;
    }
    sendTargetUpdate(now);
    for (const HealthCheckRequest& request : m_targets->advance(now))
        m_sink.startHealthCheck(request.target, request.healthUrl, request.loadUrl);
    runProbes(now);
    if (now >= m_membership.nextHeartbeat())
        sendHeartbeats(now);
}

void EntryHostCore::sendHeartbeats(TimePoint now)
{
    schema::PeerMessage message;
    schema::Heartbeat& heartbeat = *message.mutable_heartbeat();
    m_membership.fillHeartbeat(heartbeat, now);
    heartbeat.set_configuration_revision(m_configuration.revision());
    m_steering.fillHeartbeat(heartbeat);
    m_targets->fillHeartbeat(heartbeat, now);
    m_admission->fillHeartbeat(heartbeat, now);
    for (HostIndex peer = 0; peer < static_cast<HostIndex>(m_options.peers.size()); ++peer) {
        if (peer != m_self)
            m_sender.sendUrgent(peer, message, now);
    }
}

void EntryHostCore::sendTargetUpdate(TimePoint now)
{
    const std::optional<schema::TargetUpdate> update = m_targets->takeUpdate(now);
    if (!update)
        return;
    schema::PeerMessage message;
    *message.mutable_target_update() = *update;
    for (HostIndex peer = 0; peer < static_cast<HostIndex>(m_options.peers.size()); ++peer) {
        if (peer != m_self)
            m_sender.sendUrgent(peer, message, now);
    }
}

void EntryHostCore::runProbes(TimePoint now)
{
    for (const ProbeAction& action : m_prober->advance(now)) {
        if (action.kind == ProbeAction::Kind::ResetTarget)
            m_steering.sendToTarget(action.flow, action.packet, now);
        else
            m_sink.sendToCaller(action.packet);
        if (action.kind == ProbeAction::Kind::ResetCaller)
            m_sink.logEvent(ResultCode::FlowSilentEnded, std::to_string(action.flow));
    }
}

TimePoint EntryHostCore::nextDeadline() const
{
    return std::min({ m_nextTick, m_membership.nextHeartbeat(), m_targets->nextDeadline(), m_prober->nextDeadline() });
}

void EntryHostCore::leave(TimePoint now)
{
    const schema::MemberState state = m_membership.selfState();
    if (state == schema::LEAVING || state == schema::LEFT)
        return;
    // A host that is not ready or holds no quorum lease has no buckets to hand over.
    const bool isActiveMember = state == schema::MEMBER_READY && m_membership.hasQuorum(now);
    m_membership.setSelfState(isActiveMember ? schema::LEAVING : schema::LEFT, now);
    m_nextTick = now;
}

bool EntryHostCore::hasLeft() const { return m_membership.selfState() == schema::LEFT; }

void EntryHostCore::dumpPeers(schema::EntryHostState& state, TimePoint now) const
{
    for (const MemberView& member : m_membership.view().members) {
        const PeerStatus& status = m_membership.peer(member.index);
        schema::PeerState& peer = *state.add_peers();
        peer.set_host(member.host);
        peer.set_data_centre(member.dataCentre);
        peer.set_incarnation(member.incarnation);
        peer.set_state(member.state);
        if (status.hasHeartbeat)
            peer.set_last_heard_ms_ago(static_cast<std::uint64_t>((now - status.lastHeartbeat).count()));
        const bool isSelf = member.index == m_self;
        peer.set_configuration_revision(isSelf ? m_configuration.revision() : status.configurationRevision);
    }
}

schema::EntryHostState EntryHostCore::dump(TimePoint now) const
{
    schema::EntryHostState state;
    state.set_host(m_options.host);
    state.set_data_centre(m_options.dataCentre);
    state.set_incarnation(m_options.incarnation);
    state.set_member_state(m_membership.selfState());
    state.set_has_quorum(m_membership.hasQuorum(now));
    state.set_configuration_revision(m_configuration.revision());
    state.set_view_epoch(m_membership.readyHosts());
    dumpPeers(state, now);
    m_steering.dump(state);
    m_targets->dump(state, now);
    return state;
}

}
