#pragma once

/// @file
/// Membership of the steering group: heartbeats, failure detection, incarnations, quorum lease and bucket owner leases.

#include "bergamotroute/clock.h"
#include "bergamotroute/entry_host.h"
#include "bergamotroute/membership_view.h"
#include "steering/ownership.h"

#include <vector>

namespace bergamotroute {

/// What this host knows of one other host of the steering group.
struct PeerStatus {
    bool hasHeartbeat = false;
    /// Local time at which the last heartbeat was received.
    TimePoint lastHeartbeat;
    /// Send time of the newest heartbeat in ms, by the peer's clock.
    std::uint64_t sentMs = 0;
    /// End of the lease that the peer grants for buckets that it owns, counted from the echoed send time of this host.
    TimePoint ownerLeaseUntil = TimePoint::min();
    /// End of the peer's support for the quorum lease of this host.
    TimePoint quorumSupportUntil = TimePoint::min();
    /// Time until which the peer's echoes show that it receives heartbeats of this host, whatever state it sees.
    TimePoint reachableUntil = TimePoint::min();
    /// Hosts in state ready in the peer's view.
    HostMask readyHosts = 0;
    std::uint64_t configurationRevision = 0;
    /// Packed HeartbeatEcho for each host by index; zero if the peer received no recent heartbeat of it.
    std::vector<std::uint32_t> echoes;
    /// One byte for each host by index: tenths of a second since the peer received its last heartbeat, at most 255.
    std::string heartbeatAges;
};

/// Group membership as one host sees it. Times passed in must not decrease.
class Membership {
public:
    /// @param options peers sorted by host name.
    Membership(const EntryHostOptions& options, HostIndex self, TimePoint now);

    /// Handles a heartbeat of another host.
    /// @return false if the heartbeat is outdated (not newer than the last one, or from an older incarnation) and must
    ///     be ignored.
    bool handleHeartbeat(HostIndex from, const schema::Heartbeat& heartbeat, TimePoint now);

    /// Fills the membership fields of a heartbeat and schedules the next one.
    void fillHeartbeat(schema::Heartbeat& heartbeat, TimePoint now);

    /// Re-evaluates the states of all hosts and the quorum lease.
    /// @return true if the state of a host, the set of ready hosts or the possession of the quorum lease changed.
    bool advance(TimePoint now);

    /// @return when the next heartbeat must be sent.
    TimePoint nextHeartbeat() const { return m_nextHeartbeat; }

    /// Makes the next heartbeat due at once, so that the peers learn of a change early.
    void triggerHeartbeat(TimePoint now) { m_nextHeartbeat = now; }

    const MembershipView& view() const { return m_view; }
    HostMask readyHosts() const { return m_readyHosts; }
    schema::MemberState state(HostIndex host) const { return m_view.members[host].state; }
    schema::MemberState selfState() const { return state(m_view.self); }
    const PeerStatus& peer(HostIndex host) const { return m_peers[host]; }

    /// Sets the state of this host: ready once synchronized, leaving, left, or joining again.
    void setSelfState(schema::MemberState state, TimePoint now);

    /// @return true while this host, ready or leaving, holds the quorum lease.
    bool hasQuorum(TimePoint now) const { return now < m_quorumLeaseUntil; }

    /// @return true if this host and the hosts whose heartbeats arrived within the dead-after time form a majority,
    ///     however long those heartbeats were delayed.
    bool hearsMajority(TimePoint now) const;

    /// @return time since which echoes of a majority have shown without a gap that messages make the round trip within
    ///     the lease, or TimePoint::max() if they do not at present.
    TimePoint majorityReachableSince() const { return m_majorityReachableSince; }

    /// @return true if the last heartbeat of the host was received no longer ago than the given span.
    bool heardWithin(HostIndex host, Duration span, TimePoint now) const;

    /// @return ready and leaving hosts, except this one, whose set of ready hosts differs from that of this host.
    HostMask hostsWithDifferentView() const;

    /// @return number of hosts that form a majority of those that have neither left nor been removed by configuration.
    std::size_t majority() const;

    /// Sets the hosts that the configuration has removed from the group; they no longer count for the majority.
    void setRemovedHosts(HostMask hosts) { m_removedHosts = hosts; }

private:
    std::uint64_t localTimeMs(TimePoint now) const;
    void handleEcho(PeerStatus& peer, const schema::Heartbeat& heartbeat, TimePoint now);
    schema::MemberState acceptedState(HostIndex from, const schema::Heartbeat& heartbeat, bool isNewIncarnation) const;
    bool isDeadForMajority(HostIndex host, TimePoint now) const;
    void adoptMajorityState(HostIndex host, TimePoint now);
    void refreshReadyHosts();
    void refreshQuorum();
    std::size_t countUnexpired(TimePoint PeerStatus::*expiry, TimePoint now) const;
    void monitorQuorum(TimePoint now);
    bool isMember(HostIndex host) const;

    Duration m_heartbeatInterval;
    Duration m_lease;
    Duration m_deadAfter;
    std::uint64_t m_incarnation;
    TimePoint m_start;
    TimePoint m_nextHeartbeat;
    std::uint64_t m_lastSentMs = 0;
    std::vector<PeerStatus> m_peers;
    MembershipView m_view;
    /// End of the quorum lease; cached because every packet checks it.
    TimePoint m_quorumLeaseUntil = TimePoint::min();
    TimePoint m_majorityReachableSince = TimePoint::max();
    /// Time for which this host was ready without the quorum lease, less a fraction of the time since with the lease.
    Duration m_timeWithoutQuorum { 0 };
    TimePoint m_lastQuorumCheck;
    HostMask m_readyHosts = 0;
    HostMask m_removedHosts = 0;
};

}
