#pragma once

/// @file
/// Membership of the steering group: heartbeats, failure detection, incarnations, quorum lease and host leases.

#include "bergamotroute/clock.h"
#include "bergamotroute/entry_host.h"
#include "bergamotroute/membership_view.h"
#include "steering/ownership.h"

#include <vector>

namespace bergamotroute {

/// One other host as this host knows it.
struct PeerStatus {
    bool hasHeartbeat = false;
    /// Local time at which the last heartbeat came in.
    TimePoint lastHeartbeat;
    /// Sender time of the newest heartbeat.
    std::uint64_t sentMs = 0;
    /// End of the lease that the peer grants for buckets that it owns; counts from our own echoed sender time.
    TimePoint ownerLeaseUntil = TimePoint::min();
    /// End of the peer's support for our quorum lease.
    TimePoint quorumSupportUntil = TimePoint::min();
    /// End of the time for which the peer shows that it hears this host in whatever state.
    TimePoint reachableUntil = TimePoint::min();
    /// Ready hosts in the peer's view.
    HostMask readyHosts = 0;
    std::uint64_t configurationRevision = 0;
    std::vector<std::uint32_t> echoes;
    std::string heartbeatAges;
};

/// Membership as one host sees it. Times must not go back.
class Membership {
public:
    /// @param options peers sorted by host name.
    Membership(const EntryHostOptions& options, HostIndex self, TimePoint now);

    /// Takes a heartbeat of another host.
    /// @return false if it was old or from an older incarnation and must be ignored.
    bool handleHeartbeat(HostIndex from, const schema::Heartbeat& heartbeat, TimePoint now);

    /// Fills the membership part of the next heartbeat.
    void fillHeartbeat(schema::Heartbeat& heartbeat, TimePoint now);

    /// Re-evaluates the states of all hosts.
    /// @return true if the state of a host or the quorum changed.
    bool advance(TimePoint now);

    /// @return time of the next heartbeat to send.
    TimePoint nextHeartbeat() const { return m_nextHeartbeat; }

    /// Sends the next heartbeat at once, because others should learn of a change.
    void triggerHeartbeat(TimePoint now) { m_nextHeartbeat = now; }

    const MembershipView& view() const { return m_view; }
    HostMask readyHosts() const { return m_readyHosts; }
    schema::MemberState state(HostIndex host) const { return m_view.members[host].state; }
    schema::MemberState selfState() const { return state(m_view.self); }
    const PeerStatus& peer(HostIndex host) const { return m_peers[host]; }

    /// Sets the state of this host: ready once synchronized, leaving or left.
    void setSelfState(schema::MemberState state, TimePoint now);

    /// @return true while this host holds the quorum lease as a ready host.
    bool hasQuorum(TimePoint now) const { return now < m_quorumLeaseUntil; }

    /// @return true while this host hears a majority of the group, however old the messages are.
    bool hearsMajority(TimePoint now) const;

    /// @return time since which a majority has shown without a gap that messages pass both ways within the lease, or
    /// TimePoint::max().
    TimePoint majorityReachableSince() const { return m_majorityReachableSince; }

    /// @return true if the last heartbeat of the host came in within the given time.
    bool heardWithin(HostIndex host, Duration span, TimePoint now) const;

    /// @return ready and leaving hosts, without this one, whose ready set differs from ours.
    HostMask hostsWithDifferentView() const;

    /// @return number of hosts that form a majority of the hosts that have not left.
    std::size_t majority() const;

    /// Notes hosts that the configuration has taken out of the group.
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
    /// End of the quorum lease; kept, because every packet needs it.
    TimePoint m_quorumLeaseUntil = TimePoint::min();
    TimePoint m_majorityReachableSince = TimePoint::max();
    /// Time for which this host was ready without quorum, less a part of the time with quorum since.
    Duration m_timeWithoutQuorum { 0 };
    TimePoint m_lastQuorumCheck;
    HostMask m_readyHosts = 0;
    HostMask m_removedHosts = 0;
};

}
