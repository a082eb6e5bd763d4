#include "cookie/target_reachability.h"

#include <utility>

namespace bergamotroute {

namespace {

    /// Timeout of a quick probe: several round trips within a region. A reference target guards against longer ones.
    constexpr Duration quickTimeout { 100 };
    constexpr Duration patientTimeout { 300 };
    /// Time between probes that do not use a reference.
    constexpr Duration patientInterval { 100 };
    /// Time between probes of a target that is already unreachable.
    constexpr Duration unreachableInterval { 300 };
    /// Time between probes while this host is overloaded, when most targets are suspected and probes add to the load.
    constexpr Duration unjudgedInterval { 500 };
    /// Failed probes before a target counts as unreachable; a single probe may be lost in the network.
    constexpr std::uint32_t unreachableThreshold = 2;
    /// Silence after which a full target is judged like any other. Clients that wait at it give up after 1.4 s.
    constexpr Duration fullTargetSilence { 1500 };
    /// If the target has responded within this time, its load at that time counts. Requests that have arrived since may
    /// have piled up because it is dead.
    constexpr Duration recentResponse { 1000 };

}

void TargetReachability::suspect(TimePoint now, bool isFull)
{
    if (m_isSuspected)
        return;
    m_isSuspected = true;
    m_suspectedSince = now;
    m_isFull = now - m_lastResponse < recentResponse ? m_wasFull : isFull;
    m_nextProbe = now;
}

void TargetReachability::recordResponse(TimePoint now, bool isFull)
{
    m_lastResponse = now;
    m_wasFull = isFull;
    restart();
}

void TargetReachability::restart()
{
    m_isSuspected = false;
    m_isUnreachable = false;
    m_isPatient = false;
    m_isFull = false;
    m_isProbeStale = m_isProbePending;
    m_failedProbes = 0;
}

std::uint32_t TargetReachability::neededFailures() const { return m_reports > 0 ? 1 : unreachableThreshold; }

bool TargetReachability::isProbeDue(TimePoint now) const
{
    return m_isSuspected && !m_isProbePending && now >= m_nextProbe;
}

bool TargetReachability::wantsReference() const
{
    if (m_isUnreachable)
        return false;
    return m_isFull || (!m_isPatient && m_failedProbes + 1 >= neededFailures());
}

ProbePlan TargetReachability::takeProbe(bool hasReference)
{
    m_isProbePending = true;
    m_isProbeStale = false;
    if (m_isFull && !m_isUnreachable)
        return { patientTimeout, hasReference };
    const bool needsReference = wantsReference();
    if (needsReference && !hasReference) {
        m_isPatient = true;
        m_failedProbes = 0;
    }
    if (m_isPatient || m_isUnreachable)
        return { patientTimeout, false };
    return { quickTimeout, needsReference };
}

bool TargetReachability::recordOutcome(ProbeOutcome outcome, TimePoint now)
{
    m_isProbePending = false;
    const bool isStale = std::exchange(m_isProbeStale, false);
    const bool wasUnreachable = m_isUnreachable;
    if (outcome == ProbeOutcome::Connected) {
        restart();
        return wasUnreachable;
    }
    if (isStale)
        return false;
    if (m_isFull && now - m_suspectedSince >= fullTargetSilence) {
        m_isFull = false;
        m_isPatient = true;
    }
    if (outcome == ProbeOutcome::Inconclusive) {
        m_failedProbes = 0;
        m_nextProbe = m_isPatient || m_isFull ? now + patientInterval : now;
        m_isPatient = true;
        return false;
    }
    if (!m_isSuspected)
        return false;
    ++m_failedProbes;
    const bool isSilent = !m_isFull && m_failedProbes >= neededFailures();
    // A target that refuses connections has ended. Silence proves less.
    m_isUnreachable = m_isUnreachable || outcome == ProbeOutcome::Refused || isSilent;
    if (m_isUnreachable)
        m_nextProbe = now + unreachableInterval;
    else
        m_nextProbe = m_isPatient || m_isFull ? now + patientInterval : now;
    return m_isUnreachable != wasUnreachable;
}

void TargetReachability::recordUnjudged(TimePoint now)
{
    m_isProbePending = false;
    m_isProbeStale = false;
    m_failedProbes = 0;
    m_suspectedSince = now;
    m_nextProbe = now + unjudgedInterval;
}

}
