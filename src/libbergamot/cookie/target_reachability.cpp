#include "cookie/target_reachability.h"

namespace bergamotroute {

namespace {

    /// Timeout of a quick probe: several round trips within a region. A reference target guards against longer ones.
    constexpr Duration quickTimeout { 100 };
    constexpr Duration patientTimeout { 300 };
    /// Time between probes that do not use a reference.
    constexpr Duration patientInterval { 100 };
    /// Time between probes of a target that is already unreachable.
    constexpr Duration unreachableInterval { 300 };
    /// Failed probes before a target counts as unreachable; a single probe may be lost in the network.
    constexpr std::uint32_t unreachableThreshold = 2;

}

void TargetReachability::suspect(TimePoint now)
{
    if (m_isSuspected)
        return;
    m_isSuspected = true;
    m_nextProbe = now;
}

void TargetReachability::recordResponse(TimePoint now)
{
    m_lastResponse = now;
    restart();
}

void TargetReachability::restart()
{
    m_isSuspected = false;
    m_isUnreachable = false;
    m_isPatient = false;
    m_failedProbes = 0;
}

std::uint32_t TargetReachability::neededFailures() const { return m_reports > 0 ? 1 : unreachableThreshold; }

bool TargetReachability::isProbeDue(TimePoint now) const
{
    return m_isSuspected && !m_isProbePending && now >= m_nextProbe;
}

bool TargetReachability::wantsReference() const
{
    return !m_isPatient && !m_isUnreachable && m_failedProbes + 1 >= neededFailures();
}

ProbePlan TargetReachability::takeProbe(bool hasReference)
{
    m_isProbePending = true;
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
    const bool wasUnreachable = m_isUnreachable;
    if (outcome == ProbeOutcome::Connected) {
        restart();
        return wasUnreachable;
    }
    if (outcome == ProbeOutcome::Inconclusive) {
        m_failedProbes = 0;
        m_nextProbe = m_isPatient ? now + patientInterval : now;
        m_isPatient = true;
        return false;
    }
    if (!m_isSuspected)
        return false;
    ++m_failedProbes;
    m_isUnreachable = outcome == ProbeOutcome::Refused || m_failedProbes >= neededFailures();
    if (m_isUnreachable)
        m_nextProbe = now + unreachableInterval;
    else
        m_nextProbe = m_isPatient ? now + patientInterval : now;
    return m_isUnreachable != wasUnreachable;
}

}
