#include "bergamotroute/control_selector.h"

#include <algorithm>
#include <xxhash.h>

namespace bergamotroute {

namespace {

    /// Time after which a failure or an isolated state no longer counts, so that the host is tried again.
    constexpr Duration penaltyLifetime { 4000 };
    constexpr double remoteCost = 1;
    constexpr double isolatedCost = 10;
    constexpr double failureCost = 100;
    /// Further failures do not increase the cost.
    constexpr unsigned maxFailures = 8;

}

ControlSelector::ControlSelector(std::string host, std::string dataCentre)
    : m_host(std::move(host))
    , m_dataCentre(std::move(dataCentre))
{
}

void ControlSelector::addCandidate(const std::string& endpoint, const std::string& dataCentre)
{
    Candidate& candidate = m_candidates[endpoint];
    if (!dataCentre.empty())
        candidate.dataCentre = dataCentre;
}

void ControlSelector::recordFailure(const std::string& endpoint, TimePoint now)
{
    Candidate& candidate = m_candidates[endpoint];
    candidate.failures = std::min(candidate.failures + 1, maxFailures);
    candidate.lastPenalty = now;
}

void ControlSelector::recordResponse(const std::string& endpoint, bool isolated, TimePoint now)
{
    Candidate& candidate = m_candidates[endpoint];
    candidate.failures = 0;
    candidate.isolated = isolated;
    if (isolated)
        candidate.lastPenalty = now;
}

double ControlSelector::costOf(const std::string& endpoint, const Candidate& candidate, TimePoint now) const
{
    const std::string key = m_host + endpoint;
    constexpr double scale = 1.0 / 4294967296.0;
    double cost = static_cast<double>(XXH3_64bits(key.data(), key.size()) >> 32) * scale;
    if (candidate.dataCentre != m_dataCentre)
        cost += remoteCost;
    if (now - candidate.lastPenalty >= penaltyLifetime)
        return cost;
    return cost + failureCost * candidate.failures + (candidate.isolated ? isolatedCost : 0);
}

std::string ControlSelector::choose(TimePoint now)
{
    const auto currentCandidate = m_candidates.find(m_current);
    if (currentCandidate != m_candidates.end() && currentCandidate->second.failures == 0
        && !currentCandidate->second.isolated)
        return m_current;
    double lowest = 0;
    m_current.clear();
    for (const auto& [endpoint, candidate] : m_candidates) {
        const double cost = costOf(endpoint, candidate, now);
        if (!m_current.empty() && cost >= lowest)
            continue;
        m_current = endpoint;
        lowest = cost;
    }
    return m_current;
}

}
