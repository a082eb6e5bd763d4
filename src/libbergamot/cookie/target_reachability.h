#pragma once

/// @file
/// Failure detector of one target: decides when an entry host probes it and when it counts as unreachable. Two quick
/// probes without an answer suffice if a reference target of the same data centre answers meanwhile, because a slow
/// path or a full link would delay both. Without such a reference the probes wait longer. A target whose slots are all
/// in use may be silent because its queue is full, so only a longer silence proves that it is unreachable.

#include "bergamotroute/clock.h"
#include "bergamotroute/cookie_steering.h"

#include <cstdint>

namespace bergamotroute {

/// How to probe a target.
struct ProbePlan {
    Duration timeout { 0 };
    /// The outcome counts only if a reference target answers within the same time.
    bool needsReference = false;
};

class TargetReachability {
public:
    /// Records a sign that the target may be unreachable, such as a retransmitted packet.
    /// @param isFull the requests under way at the target fill its slots; ignored if it has responded within the last
    /// second.
    void suspect(TimePoint now, bool isFull = false);

    /// Records that a client has received something new from the target.
    /// @param isFull the requests still under way at the target fill its slots.
    void recordResponse(TimePoint now, bool isFull = false);

    /// Forgets everything but the reports of other hosts; the target has been started again.
    void restart();

    /// @return true if the target is suspected, no probe is pending and the next one is due.
    bool isProbeDue(TimePoint now) const;

    /// @return true if the next probe takes a reference target: a quick one that decides, or one of a full target.
    bool wantsReference() const;

    /// Starts the probe that is due.
    /// @param hasReference there is a target that can serve as reference; ignored unless wantsReference().
    ProbePlan takeProbe(bool hasReference);

    /// @return true if the outcome changes whether the target is unreachable.
    bool recordOutcome(ProbeOutcome outcome, TimePoint now);

    /// Records that a probe got no answer while this host was overloaded, which proves nothing. The target's silence
    /// counts from now.
    void recordUnjudged(TimePoint now);

    /// Counts a host of the same data centre that reports the target as unreachable.
    void addReport() { ++m_reports; }
    void removeReport() { m_reports -= m_reports > 0 ? 1 : 0; }

    bool isSuspected() const { return m_isSuspected; }
    bool isUnreachable() const { return m_isUnreachable; }
    bool isReported() const { return m_reports > 0; }

    /// @return time of the last response, or the clock's epoch if there was none.
    TimePoint lastResponse() const { return m_lastResponse; }

private:
    std::uint32_t neededFailures() const;

    TimePoint m_lastResponse;
    TimePoint m_suspectedSince;
    TimePoint m_nextProbe;
    std::uint32_t m_failedProbes = 0;
    std::uint32_t m_reports = 0;
    bool m_isSuspected = false;
    bool m_isUnreachable = false;
    bool m_isProbePending = false;
    /// The target has responded since the pending probe began.
    bool m_isProbeStale = false;
    /// The target was full at its last response.
    bool m_wasFull = false;
    /// The suspected target may be silent because it is full.
    bool m_isFull = false;
    /// Quick probes were inconclusive.
    bool m_isPatient = false;
};

}
