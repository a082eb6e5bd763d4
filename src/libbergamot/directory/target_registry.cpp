#include "bergamotroute/target_registry.h"

#include "bergamotroute/target_record_check.h"

#include <algorithm>
#include <tuple>
#include <utility>
#include <xxhash.h>

namespace bergamotroute {

namespace {

    std::uint32_t millisecondsSince(TimePoint then, TimePoint now)
    {
        return static_cast<std::uint32_t>(std::max<Duration::rep>(0, (now - then).count()));
    }

    bool isOlder(const schema::TargetRecord& left, const schema::TargetRecord& right)
    {
        return std::tuple(left.born_ms(), left.sequence()) < std::tuple(right.born_ms(), right.sequence());
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
    const bool isNew = found == m_targets.end() || found->second.record.born_ms() < record.born_ms();
    if (!isNew && isOlder(record, found->second.record))
        return TargetEvent::Ignored;
    const TimePoint lastHeartbeat = now - Duration(record.age_ms());
    const bool changesSilence = !isNew && m_options.silenceFromRecords && record.silent() != found->second.silent;
    if (!isNew && !changesSilence && record.sequence() == found->second.record.sequence()
        && lastHeartbeat <= found->second.lastHeartbeat)
        return TargetEvent::Ignored;
    return apply(m_targets[record.id()], record, isNew, isHeartbeat, now);
}

TargetEvent TargetRegistry::apply(
    RegisteredTarget& target, const schema::TargetRecord& record, bool isNew, bool isHeartbeat, TimePoint now)
{
    const schema::TargetRecord previous = target.record;
    const bool isGone = record.phase() == schema::TARGET_GONE || isSuperseded(record);
    updateEndpointIndex(record.id(), previous.endpoint(), record.endpoint());
    target.record = record;
    target.record.clear_refresh_key();
    target.record.set_phase(isGone ? schema::TARGET_GONE : record.phase());
    target.lastHeartbeat
        = isNew ? now - Duration(record.age_ms()) : std::max(target.lastHeartbeat, now - Duration(record.age_ms()));
    target.slowStartUntil = record.cold_left_ms() > 0 ? now + Duration(record.cold_left_ms()) : TimePoint {};
    if (isNew || !hasSameContent(previous, target.record) || isSlowStartMoved(target, now))
        recordContent(target);
    if (isHeartbeat)
        recordChange(target);
    if (!isGone)
        supersedeEarlierTargets(record);
    const bool isSilent
        = m_options.silenceFromRecords ? record.silent() : now - target.lastHeartbeat >= m_options.silentAfter;
    const bool wasSilent = std::exchange(target.silent, isSilent);
    TargetEvent event = TargetEvent::Refreshed;
    if (isGone)
        event = isNew || previous.phase() != schema::TARGET_GONE ? TargetEvent::Gone : TargetEvent::Refreshed;
    else if (record.phase() == schema::TARGET_DRAINING && (isNew || previous.phase() != schema::TARGET_DRAINING))
        event = TargetEvent::Draining;
    else if (isNew)
        event = TargetEvent::Found;
    else if (!hasSameProperties(previous, target.record) || isSlowStartExtended(target, now))
        event = TargetEvent::Updated;
    else if (wasSilent != target.silent)
        event = target.silent ? TargetEvent::Silent : TargetEvent::Heard;
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

bool TargetRegistry::isSuperseded(const schema::TargetRecord& record) const
{
    const auto found = m_idsByEndpoint.find(record.endpoint());
    if (found == m_idsByEndpoint.end())
        return false;
    return std::any_of(found->second.begin(), found->second.end(), [this, &record](const std::string& id) {
        const schema::TargetRecord& other = m_targets.find(id)->second.record;
        return id != record.id() && other.phase() != schema::TARGET_GONE && other.born_ms() > record.born_ms();
    });
}

void TargetRegistry::supersedeEarlierTargets(const schema::TargetRecord& record)
{
    const auto found = m_idsByEndpoint.find(record.endpoint());
    if (found == m_idsByEndpoint.end())
        return;
    for (const std::string& id : found->second) {
        RegisteredTarget& other = m_targets.find(id)->second;
        const bool isEarlier = id != record.id() && other.record.phase() != schema::TARGET_GONE
            && other.record.born_ms() < record.born_ms();
        if (!isEarlier)
            continue;
        other.record.set_phase(schema::TARGET_GONE);
        recordContent(other);
        recordEvent(other, TargetEvent::Gone);
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
    const bool isSilent = now - target.lastHeartbeat >= m_options.silentAfter;
    const bool wasSilent = std::exchange(target.silent, isSilent);
    if (target.record.phase() == schema::TARGET_GONE || wasSilent == isSilent)
        return TargetEvent::Refreshed;
    const TargetEvent event = isSilent ? TargetEvent::Silent : TargetEvent::Heard;
    recordEvent(target, event);
    return event;
}

TargetEvent TargetRegistry::remove(std::string_view id, std::uint64_t startTimeMs, TimePoint now)
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end() || (startTimeMs != 0 && startTimeMs < found->second.record.born_ms()))
        return TargetEvent::Ignored;
    schema::TargetRecord gone = found->second.record;
    gone.set_born_ms(std::max(startTimeMs, gone.born_ms()));
    // The highest sequence number keeps later heartbeats of this incarnation from bringing it back.
    gone.set_sequence(UINT64_MAX);
    gone.set_phase(schema::TARGET_GONE);
    gone.set_age_ms(0);
    return merge(gone, true, now);
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
    target.lastWholeChange = 0;
    recordChange(target);
    target.lastEvent = ++m_lastEvent;
    target.announcedSlowStartUntil = target.slowStartUntil;
    if (m_observer)
        m_observer(target, event);
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
        if (!isGone && !m_options.silenceFromRecords)
            updateSilence(target, age, now);
        ++item;
    }
}

void TargetRegistry::updateSilence(RegisteredTarget& target, Duration age, TimePoint now)
{
    if (age >= m_options.purgeAfter) {
        // No flow is that old. The event tells hosts with a copy that they may remove the target.
        target.record.set_phase(schema::TARGET_GONE);
        target.lastHeartbeat = now;
        recordContent(target);
        recordEvent(target, TargetEvent::Gone);
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
