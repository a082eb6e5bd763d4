#pragma once

/// @file
/// Targets as the entry host uses them: who they are, whether they take new flows, and how buckets are shared among
/// them.

#include "bergamotroute/bucket_table.h"
#include "bergamotroute/clock.h"
#include "bergamotroute/membership_view.h"
#include "bergamotroute/types.h"

#include "announcement.pb.h"
#include "configuration.pb.h"
#include "entry.pb.h"
#include "state.pb.h"

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace bergamotroute {

struct EntryHostOptions;

/// What steering needs to know of one target.
struct TargetInfo {
    TargetId id = noTarget;
    ServiceId service = 0;
    Endpoint endpoint;
    std::string dataCentre;
    /// New flows may go to this target.
    bool acceptsNewFlows = false;
    /// The target has left for good: removed, drained empty, past its deadline, or its lease and quarantine have ended.
    bool gone = false;
};

/// A request to check one target; the entry host performs it through its sink.
struct HealthCheckRequest {
    TargetId target = noTarget;
    std::string healthUrl;
    std::string loadUrl;
};

/// Keeps the targets of all services. Called from one thread; times must not go back.
class TargetManager {
public:
    virtual ~TargetManager() = default;

    /// Handles an announcement of a backend server.
    virtual schema::AnnouncementResult handleAnnouncement(
        const schema::Announcement& announcement, const IpAddress& source, TimePoint now)
        = 0;

    /// Handles changed targets passed on by another entry host.
    virtual void handleUpdate(const schema::TargetUpdate& update, TimePoint now) = 0;

    /// Handles the target part of another host's heartbeat: renewals, check results, demand.
    virtual void handleHeartbeat(HostIndex from, const schema::Heartbeat& heartbeat, TimePoint now) = 0;

    /// Adds this host's renewals, check results and demand to its next heartbeat.
    virtual void fillHeartbeat(schema::Heartbeat& heartbeat, TimePoint now) = 0;

    /// @return changed targets to pass on to all peers since the last call, or nothing.
    virtual std::optional<schema::TargetUpdate> takeUpdate(TimePoint now) = 0;

    /// @return all known targets, for a host that has just joined.
    virtual schema::TargetUpdate fullUpdate(TimePoint now) const = 0;

    virtual void handleHealthResult(TargetId target, bool healthy, TimePoint now) = 0;
    virtual void handleLoadReport(TargetId target, const schema::LoadReport& report, TimePoint now) = 0;
    virtual void handleConfiguration(const schema::Configuration& configuration, TimePoint now) = 0;
    virtual void handleView(const MembershipView& view, TimePoint now) = 0;

    /// Counts a first packet that this host forwarded to a target.
    virtual void countFirstPacket(TargetId target, TimePoint now) = 0;

    /// Runs timers that are due.
    /// @return health checks to start now.
    virtual std::vector<HealthCheckRequest> advance(TimePoint now) = 0;

    virtual TimePoint nextDeadline() const = 0;

    /// @return the target, or a null pointer. Valid until the next call that is not const.
    virtual const TargetInfo* find(TargetId target) const = 0;

    /// @return a target of this host's data centre for a new flow without quorum, or noTarget.
    virtual TargetId selectLocal(ServiceId service, std::uint64_t flow) const = 0;

    /// Plans the next table of a service; called on its table leader.
    /// @param current the table in force, or a null pointer if there is none.
    /// @param bucketCount number of buckets of a new table.
    /// @return a table with a higher version if something has to change.
    virtual std::optional<BucketTable> planTable(
        ServiceId service, const BucketTable* current, std::uint32_t bucketCount, TimePoint now)
        = 0;

    /// Adds targets to a state dump.
    virtual void dump(schema::EntryHostState& state, TimePoint now) const = 0;
};

/// Makes the target manager of an entry host.
/// @param options host name, data centre, intervals and seed; copied.
std::unique_ptr<TargetManager> makeTargetManager(const EntryHostOptions& options);

}
