#pragma once

/// @file
/// Health of targets, decided by the majority of up to three entry hosts that check each target.

#include "bergamotroute/clock.h"
#include "bergamotroute/membership_view.h"
#include "bergamotroute/types.h"

#include "entry.pb.h"

#include <map>
#include <string_view>
#include <vector>

namespace bergamotroute {

/// Assigns checker hosts to each target, schedules the checks of this host, and combines the statuses of the checkers.
class HealthMonitor {
public:
    explicit HealthMonitor(Duration interval);

    /// Reassigns the checkers of all targets among the ready hosts of the view.
    void handleView(const MembershipView& view);

    /// Adds a target, or updates the data centre of a known one.
    /// @param dataCentre data centre of the target; hosts in it are preferred as checkers.
    void addTarget(TargetId target, std::string_view dataCentre, TimePoint now);
    void removeTarget(TargetId target);

    /// @return all added targets.
    std::vector<TargetId> targets() const;

    /// Schedules the next check of each target whose check is due.
    /// @return the due targets that this host has to check now.
    std::vector<TargetId> takeDueTargets(TimePoint now);

    /// Handles the result of a check by this host.
    void handleResult(TargetId target, bool healthy, TimePoint now);

    /// Handles the status that another checker sent in its heartbeat.
    void handleStatus(HostIndex from, TargetId target, bool healthy, TimePoint now);

    /// @return statuses of this host for its next heartbeat, without load reports.
    std::vector<schema::TargetStatus> takeStatuses();

    /// @return false if a majority of the checkers reports the target as unhealthy; true for an unknown target.
    bool isHealthy(TargetId target, TimePoint now) const;

    /// @return true if this host sends the load reports of the target to the other hosts.
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
