#pragma once

/// @file
/// Flow cache of fixed capacity: a hash table with open addressing and linear probing. Its load factor is at most two
/// thirds, so a full cache takes 36 bytes for each flow.

#include "bergamotroute/types.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace bergamotroute {

/// Index of a service in the service directory; never reused for another service.
using ServiceIndex = std::uint16_t;

/// Time in tenths of a second, as stored in flow entries.
using FlowTick = std::uint32_t;

/// Bits of FlowEntry::flags.
enum FlowFlag : std::uint8_t {
    /// A packet after the first packet of the flow was seen.
    FlowEstablished = 0x01,
    /// A TCP packet with FIN or RST was seen.
    FlowClosing = 0x02,
    /// The entry is a flow record, held as owner or backup of the bucket: its target is authoritative for all hosts.
    FlowRecorded = 0x04,
    /// Never evicted, because the bucket table alone would give another target. Set through FlowCache::setPinned().
    FlowPinned = 0x08,
    /// Assigned to a target without quorum; handed over to the bucket owner when this host has quorum again.
    FlowDivergent = 0x10,
    /// The bucket owner was informed or asked recently, so it need not send hints.
    FlowHinted = 0x20,
};

/// Cached state of one flow.
struct FlowEntry {
    /// Flow hash; zero marks a free slot.
    std::uint64_t flow = 0;
    TargetId target = noTarget;
    FlowTick created = 0;
    FlowTick lastSeen = 0;
    ServiceIndex service = 0;
    std::uint8_t flags = 0;

    bool has(FlowFlag flag) const { return (flags & flag) != 0; }
    void set(std::uint8_t bits) { flags |= bits; }
    void clear(std::uint8_t bits) { flags &= static_cast<std::uint8_t>(~bits); }
};
static_assert(sizeof(FlowEntry) <= 32);

/// @return the bucket of a flow, from the high half of the flow hash. The slot in the cache depends on the low half.
inline std::uint32_t bucketOf(std::uint64_t flow, std::uint32_t bucketCount)
{
    return static_cast<std::uint32_t>(((flow >> 32) * bucketCount) >> 32);
}

/// Flow cache. Pointers to entries are valid until the next call of insert(), erase() or sweep().
class FlowCache {
public:
    /// @param capacity maximum number of entries.
    /// @param bucketCount number of buckets of each service.
    FlowCache(std::uint32_t capacity, std::uint32_t bucketCount);

    /// @return the entry of the flow, or a null pointer if there is none or it belongs to another service.
    FlowEntry* find(std::uint64_t flow, ServiceIndex service)
    {
        for (std::size_t slot = homeOf(flow);; slot = nextSlot(slot)) {
            FlowEntry& entry = m_slots[slot];
            if (entry.flow == flow)
                return entry.service == service ? &entry : nullptr;
            if (entry.flow == 0)
                return nullptr;
        }
    }

    /// Adds an entry or replaces the entry of the same flow. If the cache is full, evicts an entry that is not pinned.
    /// @return the entry, or a null pointer if the cache is full and all entries near the flow's slot are pinned.
    FlowEntry* insert(std::uint64_t flow, ServiceIndex service, TargetId target, FlowTick now);

    void erase(std::uint64_t flow);

    void setPinned(FlowEntry& entry, bool pinned);

    std::uint32_t size() const { return m_size; }
    std::uint32_t capacity() const { return m_capacity; }
    std::uint32_t pinned() const { return m_pinned; }

    /// @return number of pinned entries in one bucket of a service.
    std::uint32_t pinnedIn(ServiceIndex service, std::uint32_t bucket) const;

    /// @return bytes allocated for entries.
    std::size_t memoryBytes() const { return m_slots.size() * sizeof(FlowEntry); }

    /// Calls visit(FlowEntry&) for every entry. The visitor must not insert or erase entries.
    template <typename Visitor> void forEach(Visitor visit)
    {
        for (FlowEntry& entry : m_slots) {
            if (entry.flow != 0)
                visit(entry);
        }
    }

    /// Erases expired entries in a part of the cache. Each call continues where the last one stopped and wraps around.
    /// @param slots number of slots to examine.
    /// @param isExpired called with each entry; the entry is erased if it returns true. An entry that an erasure moves
    /// into a slot already examined is not examined before the next pass.
    template <typename Predicate> void sweep(std::size_t slots, Predicate isExpired)
    {
        for (std::size_t i = 0; i < slots; ++i) {
            m_sweepPosition = nextSlot(m_sweepPosition);
            FlowEntry& entry = m_slots[m_sweepPosition];
            if (entry.flow != 0 && isExpired(entry))
                eraseSlot(m_sweepPosition);
        }
    }

    /// Prefetches the entry of a flow into the processor cache for a later find().
    void prefetch(std::uint64_t flow) const { __builtin_prefetch(&m_slots[homeOf(flow)]); }

private:
    /// Maps the low half of the flow hash to a slot, because the high half selects the bucket.
    std::size_t homeOf(std::uint64_t flow) const { return ((flow & 0xffff'ffff) * m_slots.size()) >> 32; }
    std::size_t nextSlot(std::size_t slot) const { return slot + 1 == m_slots.size() ? 0 : slot + 1; }
    std::size_t distance(std::size_t from, std::size_t to) const
    {
        return to >= from ? to - from : to + m_slots.size() - from;
    }
    std::size_t slotOf(std::uint64_t flow) const;
    void eraseSlot(std::size_t slot);
    bool evictNear(std::size_t slot);
    std::uint32_t& pinnedCount(const FlowEntry& entry);

    std::vector<FlowEntry> m_slots;
    std::vector<std::uint32_t> m_pinnedInBucket;
    std::size_t m_sweepPosition = 0;
    std::uint32_t m_capacity;
    std::uint32_t m_bucketCount;
    std::uint32_t m_size = 0;
    std::uint32_t m_pinned = 0;
};

}
