#include "bergamotroute/target_registry.h"

#include "bergamotroute/target_leave.h"
#include "bergamotroute/target_record_check.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace bergamotroute {

namespace {

    /// Bounds the memory that calls for unknown ids can take; far more than targets leave within purgeAfter.
    constexpr std::size_t maxUnmatchedLeaves = 10'000;

    std::uint32_t millisecondsSince(TimePoint then, TimePoint now)
    {
        return static_cast<std::uint32_t>(std::max<Duration::rep>(0, (now - then).count()));
    }

    bool hasSameProperties(const schema::TargetRecord& left, const schema::TargetRecord& right)
    {
        return left.service() == right.service() && left.endpoint() == right.endpoint()
            && left.data_centre() == right.data_centre() && left.slots() == right.slots()
            && left.phase() == right.phase();
    }

    /// Ends of slow start in the past are equal.
    bool isSlowStartMoved(const RegisteredTarget& target, TimePoint now)
    {
        const Duration moved = std::max(target.slowStartUntil, now) - std::max(target.contentSlowStartUntil, now);
        return moved > slowStartTolerance || moved < -slowStartTolerance;
    }

}

schema::TargetRecord makeTargetRecord(const RegisteredTarget& target, TimePoint now)
{
    schema::TargetRecord record = target.record;
    record.set_age_ms(millisecondsSince(target.lastHeartbeat, now));
    record.set_cold_left_ms(target.slowStartUntil > now ? millisecondsSince(now, target.slowStartUntil) : 0);
    record.set_silent(target.silent);
    record.set_leave_pending(target.leaveTime.has_value());
    record.set_leave_age_ms(target.leaveTime ? millisecondsSince(*target.leaveTime, now) : 0);
    return record;
}

bool hasSameContent(const schema::TargetRecord& left, const schema::TargetRecord& right)
{
    return left.id() == right.id() && left.born_ms() == right.born_ms() && hasSameProperties(left, right)
        && left.software_version() == right.software_version();
}

TargetEvent TargetRegistry::merge(const schema::TargetRecord& record, bool isHeartbeat, TimePoint now)
{
    if (!findRecordFault(record).empty()) {
        ++m_unreadableRecords;
        return TargetEvent::Ignored;
    }
    const auto found = m_targets.find(record.id());
    RegisteredTarget* known = found == m_targets.end() ? nullptr : &found->second;
    if (isForeign(record, known)) {
        ++m_foreignRecords;
        return TargetEvent::Ignored;
    }
    const bool isNew = startsIncarnation(record, known);
    if (!isNew && record.born_ms() < known->record.born_ms()) {
        markRestarted(*known);
        return TargetEvent::Ignored;
    }
    TargetEvent event = TargetEvent::Ignored;
    if (isNew || addsToKnown(record, *known, now))
        event = apply(m_targets[record.id()], record, isNew, isHeartbeat, now);
    RegisteredTarget& target = m_targets.find(record.id())->second;
    if (isNamed(record))
        markNamed(target);
    mergeLeave(target, record, now);
    matchLeave(record.id(), target, now);
    return resolveLeave(target, now) == TargetEvent::Gone ? TargetEvent::Gone : event;
}

bool TargetRegistry::isNamed(const schema::TargetRecord& record) const
{
    return record.service_named() || (m_services && m_services->contains(record.service()));
}

bool TargetRegistry::isUsable(const schema::TargetRecord& record) const { return isNamed(record) || !m_services; }

bool TargetRegistry::isForeign(const schema::TargetRecord& record, const RegisteredTarget* known) const
{
    return known && known->record.service_named() && !isUsable(record) && record.service() != known->record.service();
}

void TargetRegistry::setServices(std::set<std::string, std::less<>> services)
{
    m_services = std::move(services);
    for (auto& [id, target] : m_targets) {
        if (isNamed(target.record))
            markNamed(target);
    }
}

void TargetRegistry::markNamed(RegisteredTarget& target)
{
    if (target.record.service_named())
        return;
    const bool wasUsed = isUsed(target);
    target.record.set_service_named(true);
    const schema::TargetPhase phase = target.record.phase();
    if (wasUsed)
        recordWholeChange(target);
    else if (phase == schema::TARGET_GONE)
        recordEvent(target, TargetEvent::Gone);
    else
        recordEvent(target, phase == schema::TARGET_DRAINING ? TargetEvent::Draining : TargetEvent::Found);
}

bool TargetRegistry::startsIncarnation(const schema::TargetRecord& record, const RegisteredTarget* known) const
{
    if (!known || known->record.born_ms() < record.born_ms())
        return true;
    return !known->record.service_named() && isNamed(record) && record.service() != known->record.service();
}

bool TargetRegistry::addsToKnown(const schema::TargetRecord& record, const RegisteredTarget& known, TimePoint now) const
{
    if (record.sequence() != known.record.sequence())
        return record.sequence() > known.record.sequence();
    if (record.phase() > known.record.phase())
        return true;
    if (m_options.silenceFromRecords && record.silent() != known.silent)
        return true;
    return now - Duration(record.age_ms()) > known.lastHeartbeat;
}

TargetEvent TargetRegistry::apply(
    RegisteredTarget& target, const schema::TargetRecord& record, bool isNew, bool isHeartbeat, TimePoint now)
{
    const schema::TargetRecord previous = target.record;
    const bool wasUsed = isUsed(target);
    const bool isServiceNamed = isNamed(record) || previous.service_named();
    const bool isInUse = isServiceNamed || !m_services;
    const bool isFound = isNew || (isInUse && !wasUsed);
    const schema::TargetPhase phase = phaseOf(record, isNew ? nullptr : &previous, isInUse, isHeartbeat);
    const bool isGone = phase == schema::TARGET_GONE;
    updateEndpointIndex(record.id(), previous.endpoint(), record.endpoint());
    const bool isRestarted = previous.restarted() || record.restarted() || (isNew && !previous.id().empty());
    target.record = record;
    target.record.clear_refresh_key();
    // Kept as a time in the target; in the record it would age.
    target.record.clear_leave_pending();
    target.record.clear_leave_age_ms();
    target.record.set_phase(phase);
    target.record.set_restarted(isRestarted);
    target.record.set_service_named(isServiceNamed);
    target.lastHeartbeat
        = isNew ? now - Duration(record.age_ms()) : std::max(target.lastHeartbeat, now - Duration(record.age_ms()));
    target.slowStartUntil = record.cold_left_ms() > 0 ? now + Duration(record.cold_left_ms()) : TimePoint {};
    if (isNew || !hasSameContent(previous, target.record) || isSlowStartMoved(target, now))
        recordContent(target);
    if (isHeartbeat)
        recordChange(target);
    if (!isGone)
        supersede(m_idsByEndpoint.find(record.endpoint())->second, now);
    const bool isSilent
        = m_options.silenceFromRecords ? record.silent() : now - target.lastHeartbeat >= m_options.silentAfter;
    const bool wasSilent = std::exchange(target.silent, isSilent);
    TargetEvent event = TargetEvent::Refreshed;
    if (isGone)
        event = isFound || previous.phase() != schema::TARGET_GONE ? TargetEvent::Gone : TargetEvent::Refreshed;
    else if (phase == schema::TARGET_DRAINING && (isFound || previous.phase() != schema::TARGET_DRAINING))
        event = TargetEvent::Draining;
    else if (isFound)
        event = TargetEvent::Found;
    else if (!hasSameProperties(previous, target.record) || isSlowStartExtended(target, now))
        event = TargetEvent::Updated;
    else if (wasSilent != target.silent)
        event = target.silent ? TargetEvent::Silent : TargetEvent::Heard;
    if (!isInUse && event != TargetEvent::Refreshed)
        event = TargetEvent::Unnamed;
    recordEvent(target, event);
    return event;
}

bool TargetRegistry::isSlowStartExtended(const RegisteredTarget& target, TimePoint now) const
{
    return m_options.slowStartEvents && target.slowStartUntil > now
        && target.slowStartUntil - target.announcedSlowStartUntil > slowStartTolerance;
}

void TargetRegistry::updateEndpointIndex(
    const std::string& id, const std::string& previousEndpoint, const std::string& endpoint)
{
    if (previousEndpoint == endpoint)
        return;
    if (const auto found = m_idsByEndpoint.find(previousEndpoint); found != m_idsByEndpoint.end()) {
        std::erase(found->second, id);
        if (found->second.empty())
            m_idsByEndpoint.erase(found);
    }
    if (!endpoint.empty())
        m_idsByEndpoint[endpoint].push_back(id);
}

schema::TargetPhase TargetRegistry::phaseOf(
    const schema::TargetRecord& record, const schema::TargetRecord* previous, bool isInUse, bool isHeartbeat) const
{
    schema::TargetPhase phase = record.phase();
    // Records of one heartbeat differ only if a host has inferred a later phase.
    if (previous && record.sequence() == previous->sequence())
        phase = std::max(phase, previous->phase());
    if (m_options.silenceFromRecords || !isAddressTaken(record, isInUse))
        return phase;
    if (Duration(record.age_ms()) >= m_options.silentAfter)
        return schema::TARGET_GONE;
    // One heartbeat may have been delayed until after the end of its sender; a second one shows that it runs.
    const bool isRunning = previous && previous->phase() != schema::TARGET_GONE;
    return isHeartbeat && !isRunning ? std::max(phase, schema::TARGET_DRAINING) : phase;
}

bool TargetRegistry::holdsAddressOf(
    const RegisteredTarget& later, const schema::TargetRecord& earlier, bool isEarlierUsed) const
{
    return later.record.id() != earlier.id() && later.record.phase() != schema::TARGET_GONE
        && later.record.born_ms() > earlier.born_ms() && (isUsed(later) || !isEarlierUsed);
}

bool TargetRegistry::isAddressTaken(const schema::TargetRecord& record, bool isInUse) const
{
    const auto found = m_idsByEndpoint.find(record.endpoint());
    if (found == m_idsByEndpoint.end())
        return false;
    return std::any_of(found->second.begin(), found->second.end(), [this, &record, isInUse](const std::string& id) {
        return holdsAddressOf(m_targets.find(id)->second, record, isInUse);
    });
}

void TargetRegistry::supersede(const std::vector<std::string>& ids, TimePoint now)
{
    // Control hosts decide; a copy takes the phases from them.
    if (m_options.silenceFromRecords || ids.size() < 2)
        return;
    for (const std::string& id : ids) {
        RegisteredTarget& target = m_targets.find(id)->second;
        const bool isSilent = now - target.lastHeartbeat >= m_options.silentAfter;
        if (isSilent && isAddressTaken(target.record, isUsed(target)))
            inferPhase(target, schema::TARGET_GONE);
    }
}

std::optional<TargetEvent> TargetRegistry::refresh(std::string_view id, std::uint64_t startTimeMs,
    std::uint64_t contentRevision, std::uint64_t sequence, Duration age, TimePoint now)
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end() || found->second.record.born_ms() != startTimeMs)
        return std::nullopt;
    RegisteredTarget& target = found->second;
    const TimePoint lastHeartbeat = now - age;
    const bool isLate = sequence < target.record.sequence()
        || (sequence == target.record.sequence() && lastHeartbeat <= target.lastHeartbeat);
    if (isLate)
        return TargetEvent::Ignored;
    if (contentRevision != target.contentRevision)
        return std::nullopt;
    target.record.set_sequence(sequence);
    target.lastHeartbeat = std::max(target.lastHeartbeat, lastHeartbeat);
    resolveLeave(target, now);
    const bool isSilent = now - target.lastHeartbeat >= m_options.silentAfter;
    const bool wasSilent = std::exchange(target.silent, isSilent);
    if (target.record.phase() == schema::TARGET_GONE || wasSilent == isSilent)
        return TargetEvent::Refreshed;
    const TargetEvent event = isSilent ? TargetEvent::Silent : TargetEvent::Heard;
    recordEvent(target, event);
    return event;
}

TargetEvent TargetRegistry::leave(std::string_view id, std::uint64_t startTimeMs, TimePoint now)
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end()) {
        if (m_unmatchedLeaves.size() >= maxUnmatchedLeaves)
            return TargetEvent::Ignored;
        UnmatchedLeave& leave = m_unmatchedLeaves[std::string(id)];
        leave = { std::max(leave.startTimeMs, startTimeMs), now };
        return TargetEvent::LeavePending;
    }
    if (startTimeMs != 0)
        return removeIncarnation(found->second.record, startTimeMs, now);
    RegisteredTarget& target = found->second;
    setLeaveTime(target, now);
    // If the target is gone, another control host may know a later incarnation.
    return target.record.phase() == schema::TARGET_GONE ? TargetEvent::Ignored : resolveLeave(target, now);
}

void TargetRegistry::setLeaveTime(RegisteredTarget& target, TimePoint time)
{
    target.leaveTime = time;
    ++m_leaveCounters.received;
    recordWholeChange(target);
}

TargetEvent TargetRegistry::removeIncarnation(
    const schema::TargetRecord& known, std::uint64_t startTimeMs, TimePoint now)
{
    if (startTimeMs < known.born_ms())
        return TargetEvent::Ignored;
    schema::TargetRecord gone = known;
    gone.set_born_ms(startTimeMs);
    // The highest sequence number keeps later heartbeats of this incarnation from bringing it back.
    gone.set_sequence(UINT64_MAX);
    gone.set_phase(schema::TARGET_GONE);
    gone.set_age_ms(0);
    return merge(gone, true, now);
}

void TargetRegistry::markRestarted(RegisteredTarget& target)
{
    if (target.record.restarted())
        return;
    target.record.set_restarted(true);
    recordWholeChange(target);
}

void TargetRegistry::mergeLeave(RegisteredTarget& target, const schema::TargetRecord& record, TimePoint now)
{
    if (record.restarted())
        markRestarted(target);
    if (!record.leave_pending())
        return;
    const TimePoint leaveTime = now - Duration(record.leave_age_ms());
    // Hosts that tell each other of one leave know its time with this tolerance.
    if (target.leaveTime && leaveTime <= *target.leaveTime + leaveTimeTolerance)
        return;
    target.leaveTime = leaveTime;
    recordWholeChange(target);
}

void TargetRegistry::matchLeave(const std::string& id, RegisteredTarget& target, TimePoint now)
{
    const auto found = m_unmatchedLeaves.find(id);
    if (found == m_unmatchedLeaves.end())
        return;
    const UnmatchedLeave leave = found->second;
    m_unmatchedLeaves.erase(found);
    if (leave.startTimeMs != 0) {
        removeIncarnation(target.record, leave.startTimeMs, now);
        return;
    }
    setLeaveTime(target, leave.time);
}

TargetEvent TargetRegistry::resolveLeave(RegisteredTarget& target, TimePoint now)
{
    // Control hosts decide; a copy takes the phases from them.
    if (!target.leaveTime || m_options.silenceFromRecords)
        return TargetEvent::Ignored;
    const LeaveEvidence evidence { *target.leaveTime, target.lastHeartbeat, target.record.phase(),
        target.record.restarted(), m_contact };
    switch (judgeLeave(evidence, { m_options.heartbeatInterval, m_options.silentAfter }, now)) {
    case LeaveVerdict::Contradicted:
        target.leaveTime.reset();
        ++m_leaveCounters.contradicted;
        return TargetEvent::Ignored;
    case LeaveVerdict::Confirmed:
        // The leave stays, because a heartbeat from before it may still come from another control host.
        m_leaveCounters.confirmed += target.record.phase() == schema::TARGET_GONE ? 0 : 1;
        inferPhase(target, schema::TARGET_GONE);
        return TargetEvent::Gone;
    case LeaveVerdict::StopNewFlows:
        inferPhase(target, schema::TARGET_DRAINING);
        break;
    case LeaveVerdict::Undecided:
        break;
    }
    return TargetEvent::LeavePending;
}

void TargetRegistry::inferPhase(RegisteredTarget& target, schema::TargetPhase phase)
{
    if (target.record.phase() >= phase)
        return;
    target.record.set_phase(phase);
    recordContent(target);
    recordEvent(target, phase == schema::TARGET_GONE ? TargetEvent::Gone : TargetEvent::Draining);
}

void TargetRegistry::recordWholeChange(RegisteredTarget& target)
{
    target.lastWholeChange = 0;
    recordChange(target);
}

void TargetRegistry::recordContent(RegisteredTarget& target)
{
    if (target.refreshKey == 0) {
        target.refreshKey = ++m_lastRefreshKey;
        m_targetsByRefreshKey[target.refreshKey] = &target;
    }
    target.contentRevision = ++m_lastContentRevision;
    target.contentSlowStartUntil = target.slowStartUntil;
    target.lastWholeChange = 0;
}

void TargetRegistry::recordChange(RegisteredTarget& target)
{
    m_targetsByChange.erase(target.lastChange);
    target.lastChange = ++m_lastChange;
    m_targetsByChange.emplace_hint(m_targetsByChange.end(), target.lastChange, &target);
    if (target.lastWholeChange == 0)
        target.lastWholeChange = target.lastChange;
}

void TargetRegistry::recordEvent(RegisteredTarget& target, TargetEvent event)
{
    if (event == TargetEvent::Refreshed || event == TargetEvent::Ignored)
        return;
    recordWholeChange(target);
    const bool isInUse = isUsed(target);
    target.announcedSlowStartUntil = target.slowStartUntil;
    if (isInUse)
        target.lastEvent = ++m_lastEvent;
    if (m_observer)
        m_observer(target, isInUse ? event : TargetEvent::Unnamed);
}

void TargetRegistry::advance(TimePoint now)
{
    for (auto item = m_targets.begin(); item != m_targets.end();) {
        RegisteredTarget& target = item->second;
        const Duration age = now - target.lastHeartbeat;
        const bool isGone = target.record.phase() == schema::TARGET_GONE;
        if (isGone && age >= m_options.purgeAfter) {
            updateEndpointIndex(item->first, target.record.endpoint(), {});
            m_targetsByChange.erase(target.lastChange);
            m_targetsByRefreshKey.erase(target.refreshKey);
            item = m_targets.erase(item);
            continue;
        }
        // A copy does not receive every heartbeat, so heartbeat ages there do not show silence.
        if (!isGone && !m_options.silenceFromRecords) {
            resolveLeave(target, now);
            updateSilence(target, age, now);
        }
        ++item;
    }
    for (const auto& [endpoint, ids] : m_idsByEndpoint)
        supersede(ids, now);
    std::erase_if(m_unmatchedLeaves, [&](const auto& item) { return now - item.second.time >= m_options.purgeAfter; });
}

void TargetRegistry::updateSilence(RegisteredTarget& target, Duration age, TimePoint now)
{
    if (target.record.phase() == schema::TARGET_GONE)
        return;
    if (age >= m_options.purgeAfter) {
        // No flow is that old. The event tells hosts with a copy that they may remove the target.
        target.lastHeartbeat = now;
        inferPhase(target, schema::TARGET_GONE);
    } else if (age >= m_options.silentAfter && !target.silent) {
        target.silent = true;
        recordEvent(target, TargetEvent::Silent);
    }
}

const RegisteredTarget* TargetRegistry::find(std::string_view id) const
{
    const auto found = m_targets.find(id);
    return found == m_targets.end() ? nullptr : &found->second;
}

const RegisteredTarget* TargetRegistry::findByRefreshKey(std::uint32_t key) const
{
    const auto found = m_targetsByRefreshKey.find(key);
    return found == m_targetsByRefreshKey.end() ? nullptr : found->second;
}

void TargetRegistry::visitTargets(const std::function<void(const RegisteredTarget& target)>& visitor) const
{
    for (const auto& [id, target] : m_targets) {
        if (isUsed(target))
            visitor(target);
    }
}

std::size_t TargetRegistry::targetCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_targets.begin(), m_targets.end(), [this](const auto& item) { return isUsed(item.second); }));
}

void TargetRegistry::visitChangesSince(
    std::uint64_t change, const std::function<void(const RegisteredTarget& target)>& visitor) const
{
    for (auto item = m_targetsByChange.upper_bound(change); item != m_targetsByChange.end(); ++item)
        visitor(*item->second);
}

std::vector<schema::TargetRecord> TargetRegistry::changesSince(std::uint64_t change, TimePoint now) const
{
    std::vector<schema::TargetRecord> records;
    visitChangesSince(
        change, [&](const RegisteredTarget& target) { records.push_back(makeTargetRecord(target, now)); });
    return records;
}

std::vector<schema::TargetRecord> TargetRegistry::eventsSince(std::uint64_t event, TimePoint now) const
{
    return nextEvents(event, m_targets.size(), now).records;
}

EventBatch TargetRegistry::nextEvents(std::uint64_t event, std::size_t maxRecords, TimePoint now) const
{
    std::vector<const RegisteredTarget*> targets;
    for (const auto& [id, target] : m_targets) {
        if (target.lastEvent > event)
            targets.push_back(&target);
    }
    EventBatch batch;
    batch.lastEvent = m_lastEvent;
    if (targets.size() > maxRecords) {
        const auto isEarlier = [](const RegisteredTarget* left, const RegisteredTarget* right) {
            return left->lastEvent < right->lastEvent;
        };
        std::partial_sort(
            targets.begin(), targets.begin() + static_cast<std::ptrdiff_t>(maxRecords), targets.end(), isEarlier);
        targets.resize(maxRecords);
        batch.lastEvent = targets.back()->lastEvent;
    }
    for (const RegisteredTarget* target : targets)
        batch.records.push_back(makeTargetRecord(*target, now));
    return batch;
}

std::uint64_t TargetRegistry::digest(TimePoint now) const
{
    std::uint64_t sum = 0;
    std::string text;
    for (const auto& [id, target] : m_targets) {
        const schema::TargetRecord& record = target.record;
        if (!isUsed(target))
            continue;
        if (target.slowStartUntil > now)
            return 0;
        text.clear();
        for (const std::string& part : { id, record.service(), record.endpoint(), record.data_centre() })
            text.append(part).push_back('\0');
        for (const std::uint64_t number : { std::uint64_t { record.slots() }, std::uint64_t { record.born_ms() },
                 static_cast<std::uint64_t>(record.phase()), std::uint64_t { target.silent } })
            text.append(std::to_string(number)).push_back('\0');
        // A sum does not depend on the order of the targets.
        sum += XXH3_64bits(text.data(), text.size());
    }
    return sum;
}

}
