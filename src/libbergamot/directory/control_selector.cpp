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

std::string ControlSelector::usable() const
{
    const auto candidate = m_candidates.find(m_current);
    const bool isUsable
        = candidate != m_candidates.end() && candidate->second.failures == 0 && !candidate->second.isolated;
    return isUsable ? m_current : std::string();
}

std::vector<std::string> ControlSelector::ranked(TimePoint now) const
{
    std::vector<std::pair<double, std::string>> byCost;
    for (const auto& [endpoint, candidate] : m_candidates)
        byCost.emplace_back(costOf(endpoint, candidate, now), endpoint);
    std::sort(byCost.begin(), byCost.end());
    std::vector<std::string> endpoints;
    endpoints.reserve(byCost.size());
    for (auto& [cost, endpoint] : byCost)
        endpoints.push_back(std::move(endpoint));
    return endpoints;
}

}
