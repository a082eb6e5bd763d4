#pragma once

/// @file
/// Announced targets with their leases, claims on addresses, quarantine and replication among the entry hosts.

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

/// All data that the store keeps of one target.
struct TargetRecord {
    TargetInfo info;
    schema::Announcement announcement;
    std::uint64_t version = 0;
    std::string originHost;
    TimePoint leaseEnd;
    /// Time at which the announced state began; for READY, time at which the target started to warm up.
    TimePoint stateSince;
    /// Time at which the target last started to warm up; does not change while it drains.
    TimePoint warmUpSince;
    /// End of the lease by the last announcement that the backend server sent directly to this host.
    TimePoint directLeaseEnd {};
    /// Number of heartbeats that still have to carry the renewal of this target's lease.
    unsigned renewalsToSend = 0;
    /// Number of target updates that still have to carry this target's entry.
    unsigned updatesToSend = 0;
    TimePoint nextUpdate;
    schema::BackendAdminState adminState = schema::BACKEND_READY;
    std::uint32_t weightPercent = 100;
    /// Time at which this host applied the state that the operator has set.
    TimePoint adminSince;
    TimePoint goneSince = noDeadline;

    /// @return true if the lease has not expired and the target has not announced that it is gone.
    bool hasLease(TimePoint now) const { return leaseEnd > now && announcement.state() != schema::GONE; }
};

/// Keeps the announced targets of all services.
class TargetStore {
public:
    /// @param host name of this host, stored as the origin of changes announced to it.
    /// @param quarantine time after the end of a lease for which the address stays claimed by its service.
    TargetStore(std::string host, Duration quarantine);

    /// Handles an announcement that a backend server sent to this host.
    /// @param source address from which the announcement was sent; must be in an allowed network of the service.
    /// @return the result code, and the lease if the announcement is accepted.
    schema::AnnouncementResult announce(
        const schema::Announcement& announcement, const IpAddress& source, TimePoint now);

    /// Stores an entry of another host if it is valid and newer than the stored one.
    /// @return true if the entry was stored.
    bool merge(const schema::TargetEntry& entry, TimePoint now);

    /// Renews the lease of a target whose renewal another host has reported.
    void renew(TargetId target, TimePoint now);

    /// @return targets whose lease renewal the next heartbeat has to carry.
    std::vector<TargetId> takeRenewals();

    /// @return entries that are due to be sent to the other hosts.
    std::vector<schema::TargetEntry> takeDueEntries(TimePoint now);

    /// @return the entry for a record, as sent to other hosts.
    schema::TargetEntry entryOf(const TargetRecord& record, TimePoint now) const;

    /// Schedules another update for each target that announces itself directly to this host.
    void resendDirect(TimePoint now);

    /// Applies the services, the overrides of targets by operators and the stopped data centres of a configuration.
    void configure(const schema::Configuration& configuration, TimePoint now);

    /// Removes targets that have been gone for 60 s and whose address is no longer claimed.
    void expire(TimePoint now);

    /// @return time at which the next lease or quarantine ends or the next update is due.
    TimePoint nextDeadline(TimePoint now) const;

    /// @return digest of the identifiers, versions and incarnations of all targets, for comparison with other hosts.
    std::uint32_t digest() const;

    /// @return the service in the current configuration, or a null pointer if it is not configured.
    const schema::Service* service(ServiceId id) const;

    /// @return true if the data centre of the target is stopped or is not among the data centres of its service.
    bool isDataCentreExcluded(const TargetRecord& record) const;

    /// @return end of the time for which the target's service has a claim on its address.
    TimePoint claimEnd(const TargetRecord& record) const { return record.leaseEnd + m_quarantine; }

    /// @return true if another target has a lease on the address of the target.
    bool isAddressTaken(const TargetRecord& record, TimePoint now) const;

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
