#pragma once

/// @file
/// Announced targets with their leases, address claims, quarantine and replication among entry hosts.

#include "bergamotroute/clock.h"
#include "bergamotroute/result_code.h"
#include "bergamotroute/target_manager.h"

#include "announcement.pb.h"
#include "configuration.pb.h"
#include "entry.pb.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_set>
#include <vector>

namespace bergamotroute {

/// One target with everything that the directory knows of it.
struct TargetRecord {
    TargetInfo info;
    schema::Announcement announcement;
    std::uint64_t version = 0;
    std::string originHost;
    TimePoint leaseEnd;
    /// When the announced state began; for READY when the target started to warm up.
    TimePoint stateSince;
    /// When the target last started to warm up; kept while it drains.
    TimePoint warmUpSince;
    /// Last announcement that the backend server sent to this host itself.
    TimePoint directLeaseEnd {};
    /// Heartbeats that still carry this target's renewal.
    unsigned renewalsToSend = 0;
    /// Target updates that still carry this target's entry.
    unsigned updatesToSend = 0;
    TimePoint nextUpdate;
    schema::BackendAdminState adminState = schema::BACKEND_READY;
    std::uint32_t weightPercent = 100;
    /// When an operator's drain came into force on this host.
    TimePoint adminSince;
    TimePoint goneSince = noDeadline;

    /// @return true while the lease lasts.
    bool hasLease(TimePoint now) const { return leaseEnd > now && announcement.state() != schema::GONE; }
};

/// Keeps the announced targets of all services.
class TargetStore {
public:
    /// @param host name of this host, the origin of the changes that it passes on.
    /// @param quarantine time for which a released address stays with its service.
    TargetStore(std::string host, Duration quarantine);

    /// Handles an announcement that a backend server sent to this host.
    schema::AnnouncementResult announce(
        const schema::Announcement& announcement, const IpAddress& source, TimePoint now);

    /// Takes an entry of another host if it is newer than the own one.
    /// @return true if the entry was taken.
    bool merge(const schema::TargetEntry& entry, TimePoint now);

    /// Renews the lease of a target that another host has renewed.
    void renew(TargetId target, TimePoint now);

    /// @return identifiers of renewed targets for the next heartbeat.
    std::vector<TargetId> takeRenewals();

    /// @return entries that are due to be passed on.
    std::vector<schema::TargetEntry> takeDueEntries(TimePoint now);

    /// @return the entry of a record as sent to other hosts.
    schema::TargetEntry entryOf(const TargetRecord& record, TimePoint now) const;

    /// Passes on again the targets that announce themselves to this host.
    void resendDirect(TimePoint now);

    /// Puts services and operator overrides into force.
    void configure(const schema::Configuration& configuration, TimePoint now);

    /// Forgets targets that left long ago.
    void expire(TimePoint now);

    /// @return when a lease, a quarantine or a repeated update is due next.
    TimePoint nextDeadline(TimePoint now) const;

    /// @return digest of all identifiers and versions.
    std::uint32_t digest() const;

    /// @return the service of the configuration in force, or a null pointer.
    const schema::Service* service(ServiceId id) const;

    /// @return true if the data centre is stopped, or does not serve the service of the target.
    bool isDataCentreExcluded(const TargetRecord& record) const;

    /// @return end of the time for which the address belongs to the record's service.
    TimePoint claimEnd(const TargetRecord& record) const { return record.leaseEnd + m_quarantine; }

    std::map<TargetId, TargetRecord>& records() { return m_records; }
    const std::map<TargetId, TargetRecord>& records() const { return m_records; }

private:
    ResultCode checkAnnouncement(
        const schema::Announcement& announcement, const IpAddress& source, TimePoint now) const;
    ResultCode checkClaim(TargetId id, const IpAddress& address, TimePoint now) const;
    void apply(TargetRecord& record, const schema::Announcement& announcement, TimePoint now);
    void applyOverride(TargetRecord& record, TimePoint now) const;
    void scheduleUpdates(TargetRecord& record, TimePoint now);

    std::string m_host;
    Duration m_quarantine;
    std::map<TargetId, TargetRecord> m_records;
    std::map<ServiceId, schema::Service> m_services;
    std::map<TargetId, schema::BackendOverride> m_overrides;
    std::unordered_set<std::string> m_stoppedDataCentres;
};

}
