#include "steering/flow_cache.h"

namespace bergamotroute {

namespace {

    /// Number of entries that are compared for an eviction; the least recently seen of them is evicted.
    constexpr std::size_t evictionSampleSize = 16;
    /// Maximum number of slots that are searched for entries that are not pinned.
    constexpr std::size_t evictionSearchLimit = 1024;

}

FlowCache::FlowCache(std::uint32_t capacity, std::uint32_t bucketCount)
    : m_capacity(capacity)
    , m_bucketCount(bucketCount)
{
    m_slots.resize(std::size_t { capacity } + capacity / 2 + 1);
}

std::size_t FlowCache::slotOf(std::uint64_t flow) const
{
    std::size_t slot = homeOf(flow);
    while (m_slots[slot].flow != 0 && m_slots[slot].flow != flow)
        slot = nextSlot(slot);
    return slot;
}

FlowEntry* FlowCache::insert(std::uint64_t flow, ServiceIndex service, TargetId target, FlowTick now)
{
    std::size_t slot = slotOf(flow);
    if (m_slots[slot].flow == 0) {
        if (m_size >= m_capacity) {
            if (!evictNear(slot))
                return nullptr;
            slot = slotOf(flow);
        }
        ++m_size;
    } else {
        setPinned(m_slots[slot], false);
    }
    m_slots[slot] = FlowEntry { flow, target, now, now, service, 0 };
    return &m_slots[slot];
}

void FlowCache::erase(std::uint64_t flow)
{
    const std::size_t slot = slotOf(flow);
    if (m_slots[slot].flow == flow)
        eraseSlot(slot);
}

void FlowCache::eraseSlot(std::size_t slot)
{
    setPinned(m_slots[slot], false);
    --m_size;
    std::size_t hole = slot;
    for (std::size_t next = nextSlot(slot); m_slots[next].flow != 0; next = nextSlot(next)) {
        const bool mayMove = distance(homeOf(m_slots[next].flow), next) >= distance(hole, next);
        if (!mayMove)
            continue;
        m_slots[hole] = m_slots[next];
        hole = next;
    }
    m_slots[hole] = FlowEntry {};
}

bool FlowCache::evictNear(std::size_t slot)
{
    std::size_t oldest = m_slots.size();
    std::size_t sampled = 0;
    std::size_t candidate = slot;
    for (std::size_t i = 0; i < evictionSearchLimit && sampled < evictionSampleSize;
         ++i, candidate = nextSlot(candidate)) {
        const FlowEntry& entry = m_slots[candidate];
        if (entry.flow == 0 || entry.has(FlowPinned))
            continue;
        ++sampled;
        if (oldest == m_slots.size() || entry.lastSeen < m_slots[oldest].lastSeen)
            oldest = candidate;
    }
    if (oldest == m_slots.size())
        return false;
    eraseSlot(oldest);
    return true;
}

std::uint32_t& FlowCache::pinnedCount(const FlowEntry& entry)
{
    const std::size_t index = std::size_t { entry.service } * m_bucketCount + bucketOf(entry.flow, m_bucketCount);
    if (index >= m_pinnedInBucket.size())
        m_pinnedInBucket.resize((std::size_t { entry.service } + 1) * m_bucketCount);
    return m_pinnedInBucket[index];
}

void FlowCache::setPinned(FlowEntry& entry, bool pinned)
{
    if (entry.has(FlowPinned) == pinned)
        return;
    if (pinned) {
        entry.set(FlowPinned);
        ++m_pinned;
        ++pinnedCount(entry);
    } else {
        entry.clear(FlowPinned);
        --m_pinned;
        --pinnedCount(entry);
    }
}

std::uint32_t FlowCache::pinnedIn(ServiceIndex service, std::uint32_t bucket) const
{
    const std::size_t index = std::size_t { service } * m_bucketCount + bucket;
    return index < m_pinnedInBucket.size() ? m_pinnedInBucket[index] : 0;
}

}
