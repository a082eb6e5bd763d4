#pragma once

/// @file
/// Health verdicts of targets by a majority of up to three checker hosts.

#include "bergamotroute/clock.h"
#include "bergamotroute/membership_view.h"
#include "bergamotroute/types.h"

#include "entry.pb.h"

#include <map>
#include <string_view>
#include <vector>

namespace bergamotroute {

/// Decides which hosts check a target, when this host checks it, and what the checkers think of it.
class HealthMonitor {
public:
    explicit HealthMonitor(Duration interval);

    /// Takes the hosts that may check targets.
    void handleView(const MembershipView& view);

    /// Starts or goes on to watch a target.
    /// @param dataCentre data centre of the target; its hosts are preferred as checkers.
    void addTarget(TargetId target, std::string_view dataCentre, TimePoint now);
    void removeTarget(TargetId target);

    /// @return all watched targets.
    std::vector<TargetId> targets() const;

    /// @return targets that this host checks now.
    std::vector<TargetId> takeDueTargets(TimePoint now);

    /// Notes the result of a check of this host.
    void handleResult(TargetId target, bool healthy, TimePoint now);

    /// Notes what another checker says.
    void handleStatus(HostIndex from, TargetId target, bool healthy, TimePoint now);

    /// @return verdicts of this host that its next heartbeat carries, without load.
    std::vector<schema::TargetStatus> takeStatuses();

    /// @return false if the majority of the checkers says that the target fails.
    bool isHealthy(TargetId target, TimePoint now) const;

    /// @return true if this host passes on the load reports of the target.
    bool isLoadReporter(TargetId target, TimePoint now) const;

    TimePoint nextDeadline() const;

private:
    struct CheckerStatus {
        bool healthy = true;
        TimePoint at;
    };
    struct TargetHealth {
        std::string dataCentre;
        std::vector<HostIndex> checkers;
        std::map<HostIndex, CheckerStatus> checkerStatuses;
        TimePoint nextCheck = noDeadline;
        unsigned failures = 0;
        unsigned successes = 0;
        unsigned copiesToSend = 0;
    };

    void assignCheckers(TargetId target, TargetHealth& health) const;
    bool isChecker(const TargetHealth& health) const;
    bool isFailing(const TargetHealth& health, HostIndex checker, TimePoint now) const;

    Duration m_interval;
    MembershipView m_view;
    std::map<TargetId, TargetHealth> m_targets;
    TargetId m_lastSent = noTarget;
};

}
