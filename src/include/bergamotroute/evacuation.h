#pragma once

/// @file
/// Evacuations of data centres: an order stops new flows to the targets of a data centre, a withdrawal ends that. Both
/// are commands of the replicated configuration. These functions decide without I/O; docs/design/evacuation.md.

#include "bergamotroute/clock.h"

#include "configuration.pb.h"
#include "directory.pb.h"

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace bergamotroute {

/// An order or its withdrawal.
struct EvacuationRequest {
    std::string dataCentre;
    /// True for an order, false for its withdrawal.
    bool stops = true;
    /// Address of the caller.
    std::string caller;
    /// Time of the call in ms since the Unix epoch.
    std::uint64_t timeMs = 0;
};

/// @param requestId unique for each call, so that a later order is not taken for a repetition of an earlier one.
/// @return the command that carries a request out even if no data centre is left in service.
schema::Command makeEvacuationCommand(const EvacuationRequest& request, const std::string& requestId);

/// @return true if the command at a log index has changed the state of a data centre; false if it repeated it.
bool hasChangedDataCentre(
    const schema::Configuration& configuration, const std::string& dataCentre, std::uint64_t index);

/// @return the stopped data centres and the revision of that list, as entry hosts receive them.
schema::StoppedDataCentres listStoppedDataCentres(const schema::Configuration& configuration);

/// @param appliedRevision revision of the list that an entry host has applied.
/// @return the list for that host, or nothing if it has applied the newest one.
std::optional<schema::StoppedDataCentres> findNewerList(
    const schema::Configuration& configuration, std::uint64_t appliedRevision);

/// @return the names of a list, separated by blanks, for the log.
std::string describe(const schema::StoppedDataCentres& list);

/// @return the returned data centres of a list as name:age in ms, separated by blanks, for the log.
std::string describeReturned(const schema::StoppedDataCentres& list);

/// @return the names of all data centres in the configuration, stopped or not.
std::set<std::string> namesOf(const schema::Configuration& configuration);

/// @param serving data centres that have targets.
/// @return true if there is such a data centre and all of them are stopped.
bool areAllStopped(const schema::Configuration& configuration, const std::set<std::string>& serving);

/// One evacuated data centre.
struct EvacuationStatus {
    std::string dataCentre;
    /// Time of the order in ms since the Unix epoch, address of its caller, and its log index.
    std::uint64_t sinceMs = 0;
    std::string orderedBy;
    std::uint64_t revision = 0;
    /// Entry hosts that have applied the order.
    std::size_t acknowledgedHosts = 0;
};

/// All evacuations in force.
struct EvacuationSummary {
    /// Log index of the last change; zero if there never was one.
    std::uint64_t revision = 0;
    /// Entry hosts that respond, and those of them that have applied the last change.
    std::size_t entryHosts = 0;
    std::size_t acknowledgedHosts = 0;
    /// Open flows to targets of evacuated data centres, on all these hosts.
    std::uint64_t openFlows = 0;
    std::vector<EvacuationStatus> evacuations;
};

EvacuationSummary summarizeEvacuations(
    const schema::Configuration& configuration, std::span<const schema::EntryHostRecord> entryHosts);

/// Notices when all entry hosts that respond have applied a change.
class AcknowledgementWatch {
public:
    /// @return true once for each revision, when all hosts of the summary have applied it.
    bool isNewlyAcknowledged(const EvacuationSummary& summary);

private:
    std::uint64_t m_reportedRevision = 0;
};

}
