#pragma once

/// @file
/// Learned speed of one target: how much slower than typical it answers, and how many outstanding requests it takes
/// without refusing. Combines the evidence of this host with that of other entry hosts;
/// docs/design/learned_capacity.md.

#include "bergamotroute/clock.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace bergamotroute {

/// Largest factor by which one sample counts as slower or faster than typical; bounds the effect of a heavy tail.
inline constexpr double maxSampleFactor = 8;
/// Slowness above which a target counts as slow: it is shown in metrics and gets minimum traffic.
inline constexpr double slowTarget = 2;

/// Evidence of one entry host on one target, as load reports carry it.
struct CapacityEvidence {
    /// Natural logarithm of the slowness.
    double logSlowness = 0;
    /// Number of samples behind it, decayed by their age.
    double samples = 0;
    /// Limit on outstanding requests, if the host has seen refusals.
    std::optional<std::uint32_t> limit;
};

/// Identifies a reporting entry host within this process.
using EvidenceHost = std::uint32_t;

/// Estimate for one target. slowness() and limit() change only in refresh(), so that they are cheap to read.
class CapacityEstimate {
public:
    /// Forgets all evidence, because the target has restarted.
    /// @param ignoreReportsUntil time until which reports of other hosts may still describe the former incarnation.
    void restart(TimePoint ignoreReportsUntil);

    /// Adds a sample of this host.
    /// @param ratio response time, corrected for load, divided by the typical one.
    void addSample(double ratio, TimePoint now);

    /// Adds a request that is still unanswered after the typical time. All such requests are to be added again each
    /// time that they are examined; those of an earlier examination are then forgotten.
    /// @param ratio age of the request, corrected for load, divided by the typical time.
    void addOverdue(double ratio, TimePoint now);

    /// Adds a refusal seen by this host.
    /// @param requests outstanding requests at the target when the refused one was sent, including that one.
    void addRefusal(std::uint32_t requests, std::uint32_t slots, TimePoint now);

    /// Replaces what another host has reported.
    /// @param isLocal that host is in the data centre of this host.
    void setReported(EvidenceHost host, const CapacityEvidence& evidence, bool isLocal, TimePoint now);

    /// @return evidence of this host, or nothing if there is none.
    std::optional<CapacityEvidence> ownEvidence(std::uint32_t slots, TimePoint now) const;

    /// @return true if this host has added evidence at or after a time.
    bool hasOwnEvidenceSince(TimePoint since) const { return m_hasOwnEvidence && m_lastOwnEvidence >= since; }

    /// Computes slowness() and limit() for the present time.
    void refresh(std::uint32_t slots, TimePoint now);

    /// @return response time relative to that of a typical target; 1 is typical, 0.5 the minimum.
    double slowness() const { return m_slowness; }

    /// @return number of outstanding requests from which on the target is expected to refuse; nothing if unknown.
    std::optional<std::uint32_t> limit() const { return m_limit; }

    /// @return decayed number of samples behind slowness().
    double evidence() const { return m_evidence; }

    /// @return time of the latest evidence of any host, or nothing if there is none.
    std::optional<TimePoint> lastEvidence() const { return m_lastEvidence; }

private:
    struct Limit {
        std::uint32_t requests = 0;
        TimePoint since;
    };
    struct HostEvidence {
        EvidenceHost host = 0;
        bool isLocal = false;
        double logSlowness = 0;
        double samples = 0;
        std::optional<Limit> limit;
        TimePoint received;
    };

    static double samplesOf(const HostEvidence& evidence, double halfLifeMs, TimePoint now);
    static std::optional<std::uint32_t> currentLimit(
        const std::optional<Limit>& limit, std::uint32_t slots, TimePoint now);
    void decaySamples(TimePoint now);
    void noteOwnEvidence(TimePoint now);
    void dropOldReports(std::uint32_t slots, TimePoint now);
    void refreshSlowness(const std::optional<CapacityEvidence>& own, TimePoint now);
    void refreshLimit(const std::optional<CapacityEvidence>& own, std::uint32_t slots, TimePoint now);

    /// Decayed sums of this host's samples.
    double m_logSum = 0;
    double m_samples = 0;
    TimePoint m_lastSample;
    double m_overdueLogSum = 0;
    std::uint32_t m_overdueCount = 0;
    TimePoint m_overdueAt;
    std::optional<Limit> m_ownLimit;
    bool m_hasOwnEvidence = false;
    TimePoint m_lastOwnEvidence;
    /// In the order in which it was received.
    std::vector<HostEvidence> m_reported;
    TimePoint m_ignoreReportsUntil;

    double m_slowness = 1;
    double m_evidence = 0;
    std::optional<std::uint32_t> m_limit;
    std::optional<TimePoint> m_lastEvidence;
};

}
