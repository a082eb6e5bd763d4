#pragma once

/// @file
/// Evidence on targets in load reports: encoding, decoding, and the hosts that it comes from.

#include "bergamotroute/clock.h"
#include "bergamotroute/flow_packet.h"
#include "capacity/capacity_estimate.h"

#include "directory.pb.h"

#include <functional>
#include <string>
#include <unordered_map>

namespace bergamotroute {

/// Appends the evidence on one target to a report, rounded to a sixteenth of a power of two.
void addEvidence(schema::TargetLoadReport& report, Cookie cookie, const CapacityEvidence& evidence);

/// Removes all evidence from a report.
void clearEvidence(schema::TargetLoadReport& report);

/// Calls a function for each target on which a report has evidence. Values outside their range are bounded.
void forEachEvidence(
    const schema::TargetLoadReport& report, const std::function<void(Cookie, const CapacityEvidence&)>& function);

/// Entry hosts of which reports have come lately.
class EvidenceHosts {
public:
    /// @param host name of this entry host.
    EvidenceHosts(const std::string& host, std::string dataCentre);

    /// Notes a report.
    /// @return the number of the reporting host within this process.
    EvidenceHost note(const schema::TargetLoadReport& report, TimePoint now);

    /// Forgets hosts that have stopped reporting.
    void expire(TimePoint now);

    /// @return true if rendezvous hashing puts this host among the first two of its data centre for a target, so that
    /// it is to send the target its minimum traffic.
    bool isTesterOf(std::uint64_t targetNumber) const;

private:
    struct Host {
        EvidenceHost number = 0;
        bool isLocal = false;
        std::uint64_t seed = 0;
        TimePoint lastReport;
    };

    std::string m_dataCentre;
    std::uint64_t m_ownSeed;
    EvidenceHost m_lastNumber = 0;
    std::unordered_map<std::string, Host> m_hosts;
};

}
