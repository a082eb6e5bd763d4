#include "bergamotroute/heartbeat_digest.h"

#include <algorithm>
#include <vector>

namespace bergamotroute {

namespace {

    /// Removed targets of a peer are kept up to this number beyond the size of the registry, so that the table is
    /// searched for them rarely.
    constexpr std::size_t maxRemovedTargets = 1000;
    /// Messages that ask for a whole record after a refresh that could not be applied. The peer may not have the target
    /// any more, so the requests end; the next refresh starts them anew.
    constexpr unsigned maxRequests = 8;

}

bool HeartbeatDigest::canRefresh(const RegisteredTarget& target) const
{
    return m_peerAcceptsRefreshes && target.lastWholeChange != 0 && target.lastWholeChange <= m_acknowledgedChange
        && !m_requestedKeys.contains(target.refreshKey);
}

void HeartbeatDigest::fill(schema::DirectoryExchange& message, TimePoint now)
{
    message.set_sender_epoch(m_epoch);
    message.set_sender_change(m_registry.lastChange());
    message.set_since_change(m_acknowledgedChange);
    message.set_seen_epoch(m_seenEpoch);
    message.set_seen_change(m_seenChange);
    message.set_accepts_refreshes(true);
    std::vector<const RegisteredTarget*> refreshed;
    m_registry.visitChangesSince(m_acknowledgedChange, [&](const RegisteredTarget& target) {
        if (canRefresh(target))
            refreshed.push_back(&target);
        else
            addRecord(message, target, now);
    });
    addRefreshes(message, refreshed, now);
    for (const std::uint32_t key : m_requestedKeys) {
        const RegisteredTarget* target = m_registry.findByRefreshKey(key);
        if (target && target->lastChange <= m_acknowledgedChange)
            addRecord(message, *target, now);
    }
    // If this message is lost, the peer asks again.
    m_requestedKeys.clear();
    for (auto& [key, requestsLeft] : m_wantedKeys) {
        message.add_wanted_keys(key);
        --requestsLeft;
    }
    std::erase_if(m_wantedKeys, [](const auto& item) { return item.second == 0; });
}

void HeartbeatDigest::addRecord(schema::DirectoryExchange& message, const RegisteredTarget& target, TimePoint now)
{
    schema::TargetRecord& record = *message.add_targets();
    record = makeTargetRecord(target, now);
    record.set_refresh_key(target.refreshKey);
    ++m_counters.recordsSent;
}

void HeartbeatDigest::addRefreshes(
    schema::DirectoryExchange& message, std::vector<const RegisteredTarget*>& targets, TimePoint now)
{
    std::sort(targets.begin(), targets.end(), [](const RegisteredTarget* left, const RegisteredTarget* right) {
        return left->refreshKey < right->refreshKey;
    });
    std::uint32_t previousKey = 0;
    for (const RegisteredTarget* target : targets) {
        const Duration age = std::max(Duration(0), now - target->lastHeartbeat);
        message.add_refresh_keys(target->refreshKey - previousKey);
        message.add_refresh_sequences(target->record.sequence());
        message.add_refresh_ages(static_cast<std::uint32_t>(age / refreshAgeUnit));
        previousKey = target->refreshKey;
    }
    m_counters.refreshesSent += targets.size();
}

void HeartbeatDigest::apply(const schema::DirectoryExchange& message, TimePoint now)
{
    // Another epoch means that the peer has restarted, or has not heard from this host since this host restarted: it
    // has none of the changes that this host sent before.
    m_acknowledgedChange = message.seen_epoch() == m_epoch ? message.seen_change() : 0;
    m_peerAcceptsRefreshes = message.accepts_refreshes();
    if (message.seen_epoch() == m_epoch)
        m_requestedKeys.insert(message.wanted_keys().begin(), message.wanted_keys().end());
    if (message.sender_epoch() != m_seenEpoch) {
        m_peerTargets.clear();
        m_wantedKeys.clear();
        m_seenEpoch = message.sender_epoch();
        m_seenChange = 0;
    }
    // A message for the predecessor of this process leaves out what only that one had received.
    const bool isComplete = message.since_change() <= m_seenChange;
    for (const schema::TargetRecord& record : message.targets())
        applyRecord(record, message.sender_change(), now);
    applyRefreshes(message, isComplete, now);
    if (isComplete)
        m_seenChange = std::max(m_seenChange, message.sender_change());
    forgetRemovedTargets();
}

void HeartbeatDigest::applyRecord(const schema::TargetRecord& record, std::uint64_t change, TimePoint now)
{
    m_registry.merge(record, false, now);
    if (record.refresh_key() == 0)
        return;
    PeerTarget& known = m_peerTargets[record.refresh_key()];
    if (change < known.change)
        return;
    const RegisteredTarget* merged = m_registry.find(record.id());
    const bool hasPeersContent = merged && hasSameContent(merged->record, record);
    known = { record.id(), record.born_ms(), hasPeersContent ? merged->contentRevision : 0, change };
    m_wantedKeys.erase(record.refresh_key());
}

void HeartbeatDigest::applyRefreshes(const schema::DirectoryExchange& message, bool isComplete, TimePoint now)
{
    const int count
        = std::min({ message.refresh_keys_size(), message.refresh_sequences_size(), message.refresh_ages_size() });
    std::uint32_t key = 0;
    for (int i = 0; i < count; ++i) {
        key += message.refresh_keys(i);
        const auto found = m_peerTargets.find(key);
        const bool isKnown = found != m_peerTargets.end();
        const bool isOvertaken = isKnown && message.sender_change() < found->second.change;
        const Duration age = refreshAgeUnit * message.refresh_ages(i);
        if (isKnown && !isOvertaken && applyRefresh(found->second, message.refresh_sequences(i), age, now))
            continue;
        ++m_counters.refreshesIgnored;
        // After an incomplete message the peer sends everything anyway.
        if (isComplete && !isOvertaken)
            m_wantedKeys[key] = maxRequests;
    }
}

bool HeartbeatDigest::applyRefresh(const PeerTarget& target, std::uint64_t sequence, Duration age, TimePoint now)
{
    return m_registry.refresh(target.id, target.startTimeMs, target.contentRevision, sequence, age, now).has_value();
}

void HeartbeatDigest::forgetRemovedTargets()
{
    if (m_peerTargets.size() <= m_registry.records().size() + maxRemovedTargets)
        return;
    // A target that was removed and comes back gets another key.
    std::erase_if(m_peerTargets, [this](const auto& item) {
        const RegisteredTarget* target = m_registry.find(item.second.id);
        return !target || item.second.startTimeMs < target->record.born_ms();
    });
}

}
