#pragma once

/// @file
/// Limits of one service as one entry host applies them: the host's share of the limits of all entry hosts, and whether
/// the service counts as limited.

#include "admission/flow_rate.h"
#include "bergamotroute/admission.h"
#include "bergamotroute/clock.h"
#include "bergamotroute/types.h"

#include "configuration.pb.h"
#include "entry.pb.h"

#include <cstdint>
#include <map>

namespace bergamotroute {

/// Limits on new flows per second and on open flows of one service; a limit of 0 means unlimited.
class ServiceLimit {
public:
    void configure(const schema::Service& service);

    /// Discards the demand of hosts that are dead or have left.
    /// @param readyHosts number of hosts that may own buckets, including this one.
    void handleView(const MembershipView& view, std::size_t readyHosts);

    void handleDemand(HostIndex from, const schema::ServiceDemand& demand);
    schema::ServiceDemand ownDemand(ServiceId service, TimePoint now) const;

    AdmissionVerdict admit(TimePoint now, bool hasQuorum);
    void countOpened(TimePoint now);
    void countEnded();

    bool isLimited() const { return m_limited; }
    void handleLimitedActive(TimePoint since);

    /// Recomputes this host's share and the limited state from the demand of all hosts.
    void update(TimePoint now);

    /// Recomputes how many flows this host may have open until it sends its next heartbeat.
    void startHeartbeatInterval(TimePoint now);

private:
    bool hasLimit() const { return m_maxNewFlows > 0 || m_maxOpenFlows > 0; }
    double ownRate(TimePoint now) const;
    double peersRate() const;
    std::int64_t peersOpen() const;
    void updateShare();
    void updateLimited(TimePoint now);
    bool takeNewFlowToken(TimePoint now);
    std::int64_t openHeadroom() const;
    bool hasOpenHeadroom() const;

    std::uint32_t m_maxNewFlows = 0;
    std::uint32_t m_maxOpenFlows = 0;
    std::size_t m_readyHosts = 1;
    std::map<HostIndex, schema::ServiceDemand> m_peerDemand;
    FlowRate m_attempts;
    FlowRate m_opened;
    std::int64_t m_open = 0;
    /// This host's fraction of the limits, between 0 and 1.
    double m_share = 1;
    /// Demand that this host sent in its last heartbeat, in new flows per second. It is about as old as the demand
    /// known of the other hosts. With the current demand instead, each host's own demand was ahead of the others' while
    /// demand grew, and the shares of all hosts added up to more than the limit.
    double m_sentRate = 0;
    double m_tokens = 0;
    TimePoint m_tokensUpdatedAt {};
    /// Number of its own open flows up to which this host admits flows until its next heartbeat.
    std::int64_t m_openCeiling = 0;
    bool m_limited = false;
    TimePoint m_belowThresholdSince = noDeadline;
    TimePoint m_limitedActiveSince = noDeadline;
};

}
