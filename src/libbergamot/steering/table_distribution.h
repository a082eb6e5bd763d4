#pragma once

/// @file
/// Plans, publishes, requests and acknowledges bucket tables. See docs/design/flow_steering.md from
/// "Two-phase table change" to "End of a move".

#include "steering/steering_state.h"

namespace bergamotroute {

/// Two-phase change of the bucket tables of all services on one host: a new version is published, and becomes active
/// when the other hosts have acknowledged it.
class TableDistribution {
public:
    explicit TableDistribution(SteeringState& state);

    /// Adds table state for services that are new in the configuration.
    void handleConfiguration();

    void handleUpdate(HostIndex from, const schema::TableUpdate& update, TimePoint now);
    void handleAcknowledgement(HostIndex from, const schema::TableAcknowledgement& acknowledgement, TimePoint now);
    void handleRequest(HostIndex from, const schema::TableRequest& request, TimePoint now);
    void handleReport(HostIndex from, const schema::BucketReport& report);
    void handleHeartbeat(HostIndex from, const schema::Heartbeat& heartbeat, TimePoint now);
    void fillHeartbeat(schema::Heartbeat& heartbeat) const;

    /// Plans tables as table leader, repeats requests, activates versions and sends bucket reports.
    void advance(TimePoint now);

    /// Acknowledges the current tables to all ready and leaving hosts, because this host has become ready.
    void acknowledgeAll(TimePoint now);

    /// Discards the table state of a host, because a new incarnation of it was seen.
    void forgetHost(HostIndex host);

    /// @return true if no ready or leaving host advertises a newer table version than this host has.
    bool isCurrent() const;

private:
    void apply(ServiceIndex serviceIndex, BucketTable table, TimePoint now);
    void updatePinned(ServiceIndex serviceIndex);
    void acknowledge(ServiceIndex serviceIndex, HostIndex peer, TimePoint now);
    std::vector<RecentFlow> flowsFor(ServiceIndex serviceIndex, HostIndex peer, TimePoint now);
    void addRecentFlows(ServiceIndex serviceIndex, HostIndex peer, std::vector<RecentFlow>& flows) const;
    void addUdpFlows(ServiceIndex serviceIndex, HostIndex peer, std::vector<RecentFlow>& flows, TimePoint now);
    bool holdsBucket(const ServiceTable& table, HostIndex peer, std::uint32_t bucket) const;
    void request(HostIndex peer, ServiceIndex serviceIndex, TimePoint now);
    void requestMissing(ServiceIndex serviceIndex, TimePoint now);
    void requestUnknownTargets(ServiceIndex serviceIndex, TimePoint now);
    void updateActiveVersion(ServiceIndex serviceIndex, TimePoint now);
    bool isLeaseExpired(HostIndex host, TimePoint now) const;
    void reportBuckets(ServiceIndex serviceIndex, TimePoint now);
    void plan(ServiceIndex serviceIndex, TimePoint now);
    bool mayPlan(ServiceIndex serviceIndex, TimePoint now) const;
    BucketTable merge(ServiceIndex serviceIndex, const BucketTable* planned, TimePoint now) const;
    Bucket mergeBucket(
        const ServiceTable& table, std::uint32_t bucket, const BucketTable* planned, TimePoint now) const;
    bool isGone(TargetId target, TimePoint now) const;
    void publish(ServiceIndex serviceIndex, BucketTable next, TimePoint now);

    SteeringState& m_state;
    TimePoint m_nextReport = TimePoint::min();
    TimePoint m_quorumSince = TimePoint::max();
};

}
