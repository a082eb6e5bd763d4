#pragma once

/// @file
/// Decides which control host an entry host calls: one that answers and hears from a majority, near ones first.

#include "bergamotroute/clock.h"

#include <map>
#include <string>

namespace bergamotroute {

class ControlSelector {
public:
    /// @param host name of this entry host; spreads entry hosts over control hosts.
    ControlSelector(std::string host, std::string dataCentre);

    /// Adds or updates a control host.
    /// @param endpoint its RPC endpoint.
    /// @param dataCentre empty if not known.
    void addCandidate(const std::string& endpoint, const std::string& dataCentre);

    /// Notes a failed call.
    void recordFailure(const std::string& endpoint, TimePoint now);

    /// Notes an answer.
    /// @param isolated the control host does not hear from a majority.
    void recordResponse(const std::string& endpoint, bool isolated, TimePoint now);

    /// @return the endpoint to call; empty if none is known. Stays with the present one while it serves well.
    std::string choose(TimePoint now);

    const std::string& current() const { return m_current; }

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
