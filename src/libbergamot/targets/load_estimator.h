#pragma once

/// @file
/// What load reports are worth: their age, their plausibility, and the correction of a target's share.

#include "bergamotroute/clock.h"
#include "bergamotroute/types.h"

#include "announcement.pb.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>

namespace bergamotroute {

/// A target that takes new flows, as the load estimator compares it with the others of its service.
struct LoadCandidate {
    TargetId target = noTarget;
    /// Slots times operator weight.
    double capacity = 0;
    /// Share of new flows that this host forwarded to it over the share that its buckets stand for; near 1.
    double newFlowRatio = 1;
};

/// Exponentially weighted mean of a value, and how far it may be from the true mean.
class SmoothedValue {
public:
    /// @param elapsed time since the previous value, in units of the smoothing time.
    void add(double value, double elapsed);

    double mean() const { return m_mean; }

    /// @return standard error of the mean; infinite for few values.
    double standardError() const;

private:
    static constexpr double minEffectiveCount = 10;

    double m_mean = 0;
    double m_variance = 0;
    /// Number of independent values that the mean is worth.
    double m_effectiveCount = 0;
};

/// Keeps the latest load report of each target and derives corrections from it.
class LoadEstimator {
public:
    /// Takes a report.
    /// @return false if a newer report of this target is known.
    bool handleReport(TargetId target, const schema::LoadReport& report, TimePoint now);

    void removeTarget(TargetId target) { m_loads.erase(target); }

    /// @return the latest report, or a null pointer.
    const schema::LoadReport* latest(TargetId target) const;

    /// Age of the latest report. Clocks of backend servers are compared with the median of all of them, because this
    /// host's clock has no common origin with theirs.
    std::optional<Duration> age(TargetId target, TimePoint now) const;

    /// Derives the correction of each target's share.
    /// @return factors between 0.8 and 1.2; 1 for a target without a fresh and plausible report.
    std::map<TargetId, double> corrections(std::span<const LoadCandidate> candidates, TimePoint now) const;

    /// @return true if fresh reports have shown no open connection for some time.
    bool isEmpty(TargetId target, TimePoint now) const;

    /// @return true if any report of the target showed an open connection.
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
    /// Load for one unit of capacity, with standard errors.
    struct UnitLoad {
        double open = 0;
        double openError = 0;
        double busy = 0;
        double busyError = 0;
        /// Between 0 for no usable report and 1 for a fresh one.
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
