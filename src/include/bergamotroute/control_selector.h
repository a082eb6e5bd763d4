#pragma once

/// @file
/// Selects the control host that an entry host calls: one that responds and is in contact with a majority, preferably
/// in the same data centre.

#include "bergamotroute/clock.h"

#include <map>
#include <string>
#include <vector>

namespace bergamotroute {

class ControlSelector {
public:
    /// @param host name of this entry host; its hash spreads entry hosts over control hosts.
    ControlSelector(std::string host, std::string dataCentre);

    /// Adds or updates a control host.
    /// @param endpoint its RPC endpoint.
    /// @param dataCentre empty if unknown; a known data centre is then kept.
    void addCandidate(const std::string& endpoint, const std::string& dataCentre);

    void recordFailure(const std::string& endpoint, TimePoint now);

    /// @param isolated the control host is not in contact with a majority.
    void recordResponse(const std::string& endpoint, bool isolated, TimePoint now);

    /// Makes an endpoint the current one.
    void select(const std::string& endpoint) { m_current = endpoint; }

    /// @return the current endpoint; empty if none is selected, its last call failed or it is isolated.
    std::string usable() const;

    /// @return all known endpoints, the best one first.
    std::vector<std::string> ranked(TimePoint now) const;

private:
    struct Candidate {
        std::string dataCentre;
        unsigned failures = 0;
        bool isolated = false;
        TimePoint lastPenalty;
    };

    double costOf(const std::string& endpoint, const Candidate& candidate, TimePoint now) const;

    std::string m_host;
    std::string m_dataCentre;
    std::string m_current;
    std::map<std::string, Candidate> m_candidates;
};

}
