#pragma once

/// @file
/// Registry of backend servers ("targets") from their heartbeats, without I/O. Control hosts merge what arrives at any
/// of them; entry hosts keep a copy. Merging is commutative, so the order of messages does not matter.

#include "bergamotroute/clock.h"

#include "directory.pb.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bergamotroute {

/// What a record changed.
enum class TargetEvent {
    /// Older than what is known, or equal to it.
    Ignored,
    /// A later heartbeat with the same content.
    Refreshed,
    /// A new target, or a new incarnation of a known one.
    Found,
    Draining,
    /// Back from draining or with other properties in the same incarnation.
    Updated,
    Gone,
    Silent,
    /// A silent target is heard again.
    Heard,
};

/// One target as the registry knows it.
struct RegisteredTarget {
    schema::TargetRecord record;
    TimePoint lastHeartbeat;
    TimePoint slowStartUntil;
    bool silent = false;
    /// Numbers of the last change to pass on and of the last event other than Refreshed.
    std::uint64_t lastChange = 0;
    std::uint64_t lastEvent = 0;
};

/// Parameters of a registry.
struct RegistryOptions {
    /// Time without a heartbeat after which a target counts as silent.
    Duration silentAfter { 4000 };
    /// Time for which a target that is gone is remembered, so that late heartbeats do not bring it back, and after
    /// which a silent one counts as gone. Longer than any flow.
    Duration purgeAfter { 120'000 };
    /// Take silence from records rather than from ages: for copies that do not get every heartbeat.
    bool silenceFromRecords = false;
};

/// Registry of targets. Incarnations are ordered by the time of their start, heartbeats within one by their number.
class TargetRegistry {
public:
    using Observer = std::function<void(const RegisteredTarget& target, TargetEvent event)>;

    explicit TargetRegistry(RegistryOptions options)
        : m_options(options)
    {
    }

    /// Sets who is told of each event other than Ignored and Refreshed.
    void setObserver(Observer observer) { m_observer = std::move(observer); }

    /// Merges a record. Ages in the record count back from now.
    /// @param isHeartbeat the target itself sent it to this host. Plain heartbeats that other hosts report do not count
    /// as a change here, so that each is passed on once.
    /// @return what the record changed for its target.
    TargetEvent merge(const schema::TargetRecord& record, bool isHeartbeat, TimePoint now);

    /// Marks the known incarnation of a target as gone.
    /// @param startTimeMs incarnation that is gone; zero means the known one.
    /// @return Ignored if the target is not known or a later incarnation runs.
    TargetEvent remove(std::string_view id, std::uint64_t startTimeMs, TimePoint now);

    /// Marks silent targets and forgets those that are gone for long.
    void advance(TimePoint now);

    const RegisteredTarget* find(std::string_view id) const;
    const std::map<std::string, RegisteredTarget, std::less<>>& targets() const { return m_targets; }

    /// @return number of the last change that other control hosts must learn: an event, or a heartbeat received here.
    std::uint64_t lastChange() const { return m_lastChange; }

    /// @return number of the last event other than Refreshed.
    std::uint64_t lastEvent() const { return m_lastEvent; }

    /// @return records that changed after a number of lastChange(), with their present ages.
    std::vector<schema::TargetRecord> changesSince(std::uint64_t change, TimePoint now) const;

    /// @return records with an event after a number of lastEvent(), with their present ages.
    std::vector<schema::TargetRecord> eventsSince(std::uint64_t event, TimePoint now) const;

private:
    TargetEvent apply(
        RegisteredTarget& target, const schema::TargetRecord& record, bool isNew, bool isHeartbeat, TimePoint now);
    void supersedeEarlierTargets(const schema::TargetRecord& record);
    bool isSuperseded(const schema::TargetRecord& record) const;
    void updateEndpointIndex(const std::string& id, const std::string& previousEndpoint, const std::string& endpoint);
    std::vector<schema::TargetRecord> recordsAfter(
        std::uint64_t number, std::uint64_t RegisteredTarget::*last, TimePoint now) const;
    void recordEvent(RegisteredTarget& target, TargetEvent event);
    void updateSilence(RegisteredTarget& target, Duration age, TimePoint now);

    RegistryOptions m_options;
    Observer m_observer;
    std::map<std::string, RegisteredTarget, std::less<>> m_targets;
    /// Ids by endpoint: a merge must not look at all targets, since a host that starts merges each of them.
    std::unordered_map<std::string, std::vector<std::string>> m_idsByEndpoint;
    std::uint64_t m_lastChange = 0;
    std::uint64_t m_lastEvent = 0;
};

}
