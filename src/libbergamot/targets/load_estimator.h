#pragma once

/// @file
/// Evaluation of load reports: their age and plausibility, and the resulting corrections of the targets' shares.

#include "bergamotroute/clock.h"
#include "bergamotroute/types.h"

#include "announcement.pb.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>

namespace bergamotroute {

/// A target that accepts new flows, for comparison with the other targets of its service.
struct LoadCandidate {
    TargetId target = noTarget;
    /// Number of slots times the weight that the operator has set.
    double capacity = 0;
    /// Fraction of new flows that this host forwarded to the target, divided by the target's desired fraction; near 1.
    double newFlowRatio = 1;
};

/// Exponentially weighted moving average of a value, with the standard error of this average.
class SmoothedValue {
public:
    /// @param elapsed time since the previous value, as a multiple of the time constant of the average.
    void add(double value, double elapsed);

    double mean() const { return m_mean; }

    /// @return standard error of the mean; infinite for fewer than 10 values.
    double standardError() const;

private:
    static constexpr double minEffectiveCount = 10;

    double m_mean = 0;
    double m_variance = 0;
    /// Effective sample size: number of equally weighted values whose mean would have the same variance.
    double m_effectiveCount = 0;
};

/// Keeps the latest load report of each target and derives corrections of the targets' shares from these reports.
class LoadEstimator {
public:
    /// Stores a report, unless the same or a newer one of this target is known.
    /// @return true if the report was stored.
    bool handleReport(TargetId target, const schema::LoadReport& report, TimePoint now);

    void removeTarget(TargetId target) { m_loads.erase(target); }

    /// @return the latest report of the target, or a null pointer if there is none.
    const schema::LoadReport* latest(TargetId target) const;

    /// Estimates the age of the latest report from its time stamp. The clocks of the backend servers are compared with
    /// the median of all of them, because this host's monotonic clock has no common origin with theirs.
    /// @return the age, or nothing if there is no report.
    std::optional<Duration> age(TargetId target, TimePoint now) const;

    /// Derives a factor for the share of each target.
    /// @return factors between 0.8 and 1.2; 1 for a target without a fresh and plausible report.
    std::map<TargetId, double> corrections(std::span<const LoadCandidate> candidates, TimePoint now) const;

    /// @return true if the latest report is fresh, the last three or more reports showed no open connections, and the
    /// first of these arrived at least 3 s ago.
    bool isEmpty(TargetId target, TimePoint now) const;

    /// @return true if the latest report is fresh and shows an open connection.
    bool reportsOpenConnections(TargetId target, TimePoint now) const;

    /// @return true if any report of the target has shown an open connection.
    bool hasReportedConnections(TargetId target) const;

private:
    struct Load {
        schema::LoadReport report;
        TimePoint received;
        /// Receive time minus report time in ms.
        std::int64_t clockOffset = 0;
        SmoothedValue busy;
        TimePoint emptySince = noDeadline;
        unsigned emptyReports = 0;
        bool hasReportedConnections = false;
    };
    /// Load per unit of capacity, with standard errors.
    struct UnitLoad {
        double open = 0;
        double openError = 0;
        double busy = 0;
        double busyError = 0;
        /// Weight of the report: 1 if it is fresh, 0 if there is none that is usable, and between them as it ages.
        double weight = 0;
        bool isCurrent = false;
    };

    static double relativeLoad(const UnitLoad& unitLoad, const UnitLoad& reference);
    static double freshness(Duration age);
    UnitLoad unitLoadOf(const LoadCandidate& candidate, TimePoint now) const;
    std::int64_t medianClockOffset() const;
    static void addReport(Load& load, const schema::LoadReport& report, TimePoint now);

    std::map<TargetId, Load> m_loads;
};

}
