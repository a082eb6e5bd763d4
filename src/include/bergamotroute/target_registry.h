#pragma once

/// @file
/// Registry of backend servers ("targets"), built from their heartbeats, without I/O. Control hosts merge the records
/// that any of them receives; entry hosts keep a copy. Merging is commutative, so the order of messages does not
/// matter.

#include "bergamotroute/clock.h"
#include "bergamotroute/target_leave.h"

#include "directory.pb.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bergamotroute {

/// Effect of a record or leave on its target.
enum class TargetEvent {
    /// Not newer than the known record.
    Ignored,
    /// A later heartbeat with the same content.
    Refreshed,
    /// A new target, or a new incarnation of a known one.
    Found,
    Draining,
    /// Ready again after draining, changed properties in the same incarnation, or a later end of slow start.
    Updated,
    Gone,
    Silent,
    /// A silent target sends heartbeats again.
    Heard,
    /// A leave that names no incarnation waits for evidence (target_leave.h).
    LeavePending,
    /// Any of the events above but Refreshed, of a target that is not used because no document has named its service.
    Unnamed,
};

/// Variation between the delays of two heartbeats, by which the end of slow start that they state may differ. A
/// heartbeat that moves the end by no more than this is not an event, nor a change of content.
inline constexpr Duration slowStartTolerance { 300 };

struct RegisteredTarget {
    schema::TargetRecord record;
    /// For a silent target that was marked as gone, the time of that.
    TimePoint lastHeartbeat;
    /// The epoch of the clock if the record states no slow start.
    TimePoint slowStartUntil;
    /// End of slow start at the last event.
    TimePoint announcedSlowStartUntil;
    bool silent = false;
    /// Sequence numbers of the last change to propagate and of the last event other than Refreshed.
    std::uint64_t lastChange = 0;
    std::uint64_t lastEvent = 0;
    /// Number of the last change that refreshes do not carry: an event, or a change of content. Zero while that change
    /// has no number yet, because another host reported it.
    std::uint64_t lastWholeChange = 0;
    /// Differs for every content of every target of this registry. Content is all that a heartbeat says except its
    /// sequence number and time; silence is not part of it.
    std::uint64_t contentRevision = 0;
    /// End of slow start at the last change of content.
    TimePoint contentSlowStartUntil;
    /// Number of the target in refreshes, from 1; not reused in the life of the registry.
    std::uint32_t refreshKey = 0;
    /// Arrival of the last leave that names no incarnation, unless a later heartbeat has contradicted it.
    std::optional<TimePoint> leaveTime;
};

/// Some of the records of a registry in the order of their events.
struct EventBatch {
    std::vector<schema::TargetRecord> records;
    /// Event up to which the records are complete.
    std::uint64_t lastEvent = 0;
};

/// @return the record of a target with its current ages, without its refresh key.
schema::TargetRecord makeTargetRecord(const RegisteredTarget& target, TimePoint now);

/// @return whether two records state the same incarnation and content, slow start aside.
bool hasSameContent(const schema::TargetRecord& left, const schema::TargetRecord& right);

struct RegistryOptions {
    /// Time without a heartbeat after which a target counts as silent.
    Duration silentAfter { 4000 };
    /// Time for which a target that is gone stays in the registry, so that late heartbeats do not bring it back; also
    /// the time after which a silent target counts as gone. Longer than any flow.
    Duration purgeAfter { 120'000 };
    /// Take silence and departures from the records, not from the age of heartbeats: for copies that do not receive
    /// every heartbeat.
    bool silenceFromRecords = false;
    /// A heartbeat that moves the end of slow start to a later time is an event.
    bool slowStartEvents = false;
    /// Interval at which targets send heartbeats.
    Duration heartbeatInterval { 1000 };
};

/// Counts of leaves that name no incarnation.
struct LeaveCounters {
    std::uint64_t received = 0;
    /// The target, or a later incarnation of it, has sent a heartbeat since.
    std::uint64_t contradicted = 0;
    /// The target counts as gone.
    std::uint64_t confirmed = 0;
};

/// Registry of targets. Incarnations are ordered by start time, heartbeats of one incarnation by sequence number.
///
/// A heartbeat may come from another writer, which names a service of its own. Its target is kept apart from those to
/// use until a document names the service: it causes no events, is not sent to entry hosts and counts nowhere. Once
/// named, a target stays in use also when a later document leaves its service out, since flows to it may be open.
class TargetRegistry {
public:
    using Observer = std::function<void(const RegisteredTarget& target, TargetEvent event)>;

    explicit TargetRegistry(RegistryOptions options)
        : m_options(options)
    {
    }

    // Indexes refer to the targets, so a copy would refer to those of the original.
    TargetRegistry(const TargetRegistry&) = delete;
    TargetRegistry& operator=(const TargetRegistry&) = delete;

    /// Sets the observer of all events other than Ignored and Refreshed.
    void setObserver(Observer observer) { m_observer = std::move(observer); }

    /// Sets whether a later end of slow start is an event: only a limit on targets in slow start needs it.
    void setSlowStartEvents(bool enabled) { m_options.slowStartEvents = enabled; }

    /// Merges a record. Ages in the record are relative to now. A record that names no target (findRecordFault()) is
    /// ignored. A silent target is gone if one that started later holds its address.
    /// @param isHeartbeat the target itself sent the record to this host. A plain heartbeat that another host reports
    /// is not a change here, so that each heartbeat is propagated once.
    TargetEvent merge(const schema::TargetRecord& record, bool isHeartbeat, TimePoint now);

    /// Merges a heartbeat that another host reports without its content.
    /// @param startTimeMs incarnation of the target.
    /// @param contentRevision the content that the heartbeat has, as this registry numbered it.
    /// @param age time since the heartbeat arrived at some control host.
    /// @return as merge(); nothing if the target is not known, or is known in another incarnation or with another
    /// content: then only a whole record can be merged.
    std::optional<TargetEvent> refresh(std::string_view id, std::uint64_t startTimeMs, std::uint64_t contentRevision,
        std::uint64_t sequence, Duration age, TimePoint now);

    /// Handles a leave. One that names its incarnation counts for that one at once and for good. One that names none
    /// counts as target_leave.h describes, and a later heartbeat of the same incarnation undoes it. If the target is
    /// not known, the leave is kept until a record of it arrives.
    /// @param startTimeMs incarnation that leaves; zero if the call names none.
    /// @return Gone if the target is gone now, LeavePending if evidence is missing, Ignored if the target is gone
    /// already or a later incarnation than the named one runs.
    TargetEvent leave(std::string_view id, std::uint64_t startTimeMs, TimePoint now);

    /// Sets the services that the document in force names, and takes their targets into use. A target that is not in
    /// use takes over neither the id nor the address of one that is. Until this is called, all services count as named.
    void setServices(std::set<std::string, std::less<>> services);

    /// Sets the contact of this host with the other control hosts, by which it judges leaves that name no incarnation.
    void setContact(ControlContact contact) { m_contact = contact; }

    /// Marks targets as silent, then as gone, judges pending leaves, and removes targets that have been gone for the
    /// time of purgeAfter.
    void advance(TimePoint now);

    const RegisteredTarget* find(std::string_view id) const;
    const RegisteredTarget* findByRefreshKey(std::uint32_t key) const;

    /// Visits the targets to use, in the order of their ids. Those of services that no document has named are left out.
    void visitTargets(const std::function<void(const RegisteredTarget& target)>& visitor) const;

    /// @return number of targets to use.
    std::size_t targetCount() const;

    /// @return number of targets of services that no document has named.
    std::size_t unnamedCount() const { return m_targets.size() - targetCount(); }

    /// @return all targets, also those that are not to be used.
    const std::map<std::string, RegisteredTarget, std::less<>>& records() const { return m_targets; }

    /// @return sequence number of the last change that other control hosts need: an event, or a heartbeat received
    /// here.
    std::uint64_t lastChange() const { return m_lastChange; }

    /// @return number of records that were ignored because they name no target.
    std::uint64_t unreadableRecords() const { return m_unreadableRecords; }

    const LeaveCounters& leaveCounters() const { return m_leaveCounters; }

    /// @return number of records that were ignored because they name the id of a target to use, but another service,
    /// which no document names.
    std::uint64_t foreignRecords() const { return m_foreignRecords; }

    /// @return sequence number of the last event other than Refreshed.
    std::uint64_t lastEvent() const { return m_lastEvent; }

    /// @param change an earlier value of lastChange().
    /// @return records changed after it, with their current ages.
    std::vector<schema::TargetRecord> changesSince(std::uint64_t change, TimePoint now) const;

    /// Visits the targets changed after a number, in the order of their changes, without copying them.
    /// @param change an earlier value of lastChange().
    void visitChangesSince(
        std::uint64_t change, const std::function<void(const RegisteredTarget& target)>& visitor) const;

    /// @param event an earlier value of lastEvent().
    /// @return records with an event after it, with their current ages.
    std::vector<schema::TargetRecord> eventsSince(std::uint64_t event, TimePoint now) const;

    /// @param event an earlier value of lastEvent().
    /// @param maxRecords maximum number of records, at least 1; those with the earliest events are taken.
    /// @return records with an event after it, with their current ages.
    EventBatch nextEvents(std::uint64_t event, std::size_t maxRecords, TimePoint now) const;

    /// @return a digest of all targets without the times and numbers of their heartbeats; equal in two registries from
    /// which hosts would make the same decisions. Zero, which equals nothing, if there is no target or one is in slow
    /// start, because the end of slow start is not exact.
    std::uint64_t digest(TimePoint now) const;

private:
    /// Leave of a target that was not known when it arrived.
    struct UnmatchedLeave {
        /// Zero if the call named no incarnation.
        std::uint64_t startTimeMs = 0;
        TimePoint time;
    };

    TargetEvent apply(
        RegisteredTarget& target, const schema::TargetRecord& record, bool isNew, bool isHeartbeat, TimePoint now);
    /// @return whether a record of the known incarnation says anything new.
    bool addsToKnown(const schema::TargetRecord& record, const RegisteredTarget& known, TimePoint now) const;
    /// @return whether a document names, or has named, the service of a record.
    bool isNamed(const schema::TargetRecord& record) const;
    /// @return whether a record may take over the id of a target in use.
    bool isUsable(const schema::TargetRecord& record) const;
    /// The one test whether a target is in use.
    bool isUsed(const RegisteredTarget& target) const { return target.record.service_named() || !m_services; }
    /// @return whether a record names the id of a target in use, and another service, which no document has named.
    bool isForeign(const schema::TargetRecord& record, const RegisteredTarget* known) const;
    /// Takes a target into use whose service is named by now.
    void markNamed(RegisteredTarget& target);
    /// @return whether a record starts an incarnation that this registry does not hold.
    bool startsIncarnation(const schema::TargetRecord& record, const RegisteredTarget* known) const;
    /// @return whether a target holds the address of one that started before it.
    bool holdsAddressOf(const RegisteredTarget& later, const schema::TargetRecord& earlier, bool isEarlierUsed) const;
    /// @param isInUse the record is that of a target to use.
    /// @return whether a target that started later holds the address of a record.
    bool isAddressTaken(const schema::TargetRecord& record, bool isInUse) const;
    /// @param previous the known record of the same incarnation, or null.
    /// @return the phase of a target after a record of it.
    schema::TargetPhase phaseOf(
        const schema::TargetRecord& record, const schema::TargetRecord* previous, bool isInUse, bool isHeartbeat) const;
    /// Marks those as gone whose address a target has taken that started later, and that are silent.
    void supersede(const std::vector<std::string>& ids, TimePoint now);
    void updateEndpointIndex(const std::string& id, const std::string& previousEndpoint, const std::string& endpoint);
    bool isSlowStartExtended(const RegisteredTarget& target, TimePoint now) const;
    void recordContent(RegisteredTarget& target);
    void recordChange(RegisteredTarget& target);
    void recordEvent(RegisteredTarget& target, TargetEvent event);
    void updateSilence(RegisteredTarget& target, Duration age, TimePoint now);
    /// Handles a leave that names its incarnation.
    TargetEvent removeIncarnation(const schema::TargetRecord& known, std::uint64_t startTimeMs, TimePoint now);
    void setLeaveTime(RegisteredTarget& target, TimePoint time);
    /// Records that an earlier incarnation of the id is known.
    void markRestarted(RegisteredTarget& target);
    /// Takes over from a record that was merged whether a leave is pending and whether the target has restarted.
    void mergeLeave(RegisteredTarget& target, const schema::TargetRecord& record, TimePoint now);
    /// Applies a leave that arrived before the target was known.
    void matchLeave(const std::string& id, RegisteredTarget& target, TimePoint now);
    /// Judges the pending leave of a target, if there is one.
    TargetEvent resolveLeave(RegisteredTarget& target, TimePoint now);
    /// Sets a phase that follows from evidence, not from a heartbeat.
    void inferPhase(RegisteredTarget& target, schema::TargetPhase phase);
    /// Has the next messages carry the whole record, without an event for entry hosts.
    void recordWholeChange(RegisteredTarget& target);

    RegistryOptions m_options;
    Observer m_observer;
    std::map<std::string, RegisteredTarget, std::less<>> m_targets;
    /// Index of ids by endpoint: a starting host merges a record of each target, so a merge must not scan all targets.
    std::unordered_map<std::string, std::vector<std::string>> m_idsByEndpoint;
    /// Index by lastChange: a round for each peer must not visit all targets.
    std::map<std::uint64_t, const RegisteredTarget*> m_targetsByChange;
    std::unordered_map<std::uint32_t, const RegisteredTarget*> m_targetsByRefreshKey;
    std::optional<std::set<std::string, std::less<>>> m_services;
    std::map<std::string, UnmatchedLeave, std::less<>> m_unmatchedLeaves;
    LeaveCounters m_leaveCounters;
    ControlContact m_contact = ControlContact::None;
    std::uint64_t m_unreadableRecords = 0;
    std::uint64_t m_foreignRecords = 0;
    std::uint64_t m_lastChange = 0;
    std::uint64_t m_lastEvent = 0;
    std::uint64_t m_lastContentRevision = 0;
    std::uint32_t m_lastRefreshKey = 0;
};

}
