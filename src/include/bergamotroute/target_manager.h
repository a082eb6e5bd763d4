#pragma once

/// @file
/// Targets of the services as an entry host uses them: their endpoints, whether they accept new flows, and the
/// assignment of hash buckets to them.

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

/// Properties of a target that steering uses.
struct TargetInfo {
    TargetId id = noTarget;
    ServiceId service = 0;
    Endpoint endpoint;
    std::string dataCentre;
    /// New flows may be sent to this target.
    bool acceptsNewFlows = false;
    /// The target is out of use and its flows are over: it was removed by an operator, its service is not
    /// configured, it drained until it had no open connections or reached its drain deadline, or its lease and
    /// quarantine have ended and no fresh load report of it shows an open connection.
    bool gone = false;
};

/// A request to check the health and load of one target. The entry host passes it to its sink, which performs it. An
/// empty URL means that this check is not needed.
struct HealthCheckRequest {
    TargetId target = noTarget;
    std::string healthUrl;
    std::string loadUrl;
};

/// Keeps the targets of all services. Must be called from a single thread, and `now` must never decrease.
class TargetManager {
public:
    virtual ~TargetManager() = default;

    /// Handles an announcement that a backend server sent to this host.
    /// @param source address from which the announcement was sent.
    virtual schema::AnnouncementResult handleAnnouncement(
        const schema::Announcement& announcement, const IpAddress& source, TimePoint now)
        = 0;

    /// Merges targets that another entry host sent.
    virtual void handleUpdate(const schema::TargetUpdate& update, TimePoint now) = 0;

    /// Handles the target fields of another host's heartbeat: lease renewals, health statuses, load reports and the
    /// digest.
    virtual void handleHeartbeat(HostIndex from, const schema::Heartbeat& heartbeat, TimePoint now) = 0;

    /// Adds this host's lease renewals, health statuses, load reports and digest to its next heartbeat.
    virtual void fillHeartbeat(schema::Heartbeat& heartbeat, TimePoint now) = 0;

    /// @return changed targets that are due to be sent to all peers, or nothing.
    virtual std::optional<schema::TargetUpdate> takeUpdate(TimePoint now) = 0;

    /// @return all known targets, for a host that has just joined the group of entry hosts.
    virtual schema::TargetUpdate fullUpdate(TimePoint now) const = 0;

    virtual void handleHealthResult(TargetId target, bool healthy, TimePoint now) = 0;
    virtual void handleLoadReport(TargetId target, const schema::LoadReport& report, TimePoint now) = 0;
    virtual void handleConfiguration(const schema::Configuration& configuration, TimePoint now) = 0;
    virtual void handleView(const MembershipView& view, TimePoint now) = 0;

    /// Counts the first packet of a flow that this host forwarded to a target.
    virtual void countFirstPacket(TargetId target, TimePoint now) = 0;

    /// Handles expired timers.
    /// @return checks to start now.
    virtual std::vector<HealthCheckRequest> advance(TimePoint now) = 0;

    virtual TimePoint nextDeadline() const = 0;

    /// @return the target, or a null pointer if it is unknown. Valid until the next call of a non-const function.
    virtual const TargetInfo* find(TargetId target) const = 0;

    /// Selects a target for a new flow while this host has no quorum.
    /// @param flow hash of the flow.
    /// @return a target in this host's data centre, or noTarget.
    virtual TargetId selectLocal(ServiceId service, std::uint64_t flow) const = 0;

    /// Plans the next bucket table of a service; called on the table leader of the service.
    /// @param current the current table, or a null pointer if there is none.
    /// @param bucketCount number of buckets; used only if there is no current table.
    /// @return a table with a higher version, or nothing if no change is needed.
    virtual std::optional<BucketTable> planTable(
        ServiceId service, const BucketTable* current, std::uint32_t bucketCount, TimePoint now)
        = 0;

    /// Adds all known targets to a state dump.
    virtual void dump(schema::EntryHostState& state, TimePoint now) const = 0;
};

/// Creates the target manager of an entry host.
/// @param options host name, data centre, health check interval, quarantine and ramp are copied; others are not used.
std::unique_ptr<TargetManager> makeTargetManager(const EntryHostOptions& options);

}
