#pragma once

/// @file
/// Flow cache of fixed capacity: open addressing with linear probing at a load of at most two thirds, which keeps a
/// flow of a full cache at 36 bytes.

#include "bergamotroute/types.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace bergamotroute {

/// Position of a service in the service directory; never reused for another service.
using ServiceIndex = std::uint16_t;

/// Time in tenths of a second as flow entries keep it.
using FlowTick = std::uint32_t;

/// Bits of FlowEntry::flags.
enum FlowFlag : std::uint8_t {
    /// A packet that is not a first packet was seen.
    FlowEstablished = 0x01,
    /// FIN or RST was seen.
    FlowClosing = 0x02,
    /// Held as owner or backup of the bucket: the entry decides for the group.
    FlowRecorded = 0x04,
    /// Not evicted, because the table alone would give another answer. Set through FlowCache::setPinned().
    FlowPinned = 0x08,
    /// Assigned without a quorum; handed to the owner when the partition heals.
    FlowDivergent = 0x10,
    /// The bucket owner was told or asked lately, so hints are not needed.
    FlowHinted = 0x20,
};

/// What a host remembers of one flow.
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

/// @return the bucket of a flow. Uses the high bits; the slot in the cache uses the low bits.
inline std::uint32_t bucketOf(std::uint64_t flow, std::uint32_t bucketCount)
{
    return static_cast<std::uint32_t>(((flow >> 32) * bucketCount) >> 32);
}

/// Flow cache. Pointers to entries are valid until the next insert() or erase().
class FlowCache {
public:
    /// @param capacity greatest number of entries.
    /// @param bucketCount buckets of each service.
    FlowCache(std::uint32_t capacity, std::uint32_t bucketCount);

    /// @return the entry of the flow in that service, or a null pointer.
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

    /// Adds an entry or replaces the one of the same flow. A full cache evicts an entry that is not pinned.
    /// @return the entry, or a null pointer if the cache is full and no entry near the slot can be evicted.
    FlowEntry* insert(std::uint64_t flow, ServiceIndex service, TargetId target, FlowTick now);

    void erase(std::uint64_t flow);

    void setPinned(FlowEntry& entry, bool pinned);

    std::uint32_t size() const { return m_size; }
    std::uint32_t capacity() const { return m_capacity; }
    std::uint32_t pinned() const { return m_pinned; }

    /// @return number of pinned entries of one bucket.
    std::uint32_t pinnedIn(ServiceIndex service, std::uint32_t bucket) const;

    /// @return bytes allocated for entries.
    std::size_t memoryBytes() const { return m_slots.size() * sizeof(FlowEntry); }

    /// Calls visit(FlowEntry&) for every entry. The visitor must not insert or erase.
    template <typename Visitor> void forEach(Visitor visit)
    {
        for (FlowEntry& entry : m_slots) {
            if (entry.flow != 0)
                visit(entry);
        }
    }

    /// Examines a part of the cache; successive calls go round.
    /// @param slots number of slots to examine.
    /// @param isExpired called with each entry; true erases it. An entry that moves during the pass waits for the next.
    template <typename Predicate> void sweep(std::size_t slots, Predicate isExpired)
    {
        for (std::size_t i = 0; i < slots; ++i) {
            m_sweepPosition = nextSlot(m_sweepPosition);
            FlowEntry& entry = m_slots[m_sweepPosition];
            if (entry.flow != 0 && isExpired(entry))
                eraseSlot(m_sweepPosition);
        }
    }

    /// Loads the entry of a flow into the processor's cache ahead of find().
    void prefetch(std::uint64_t flow) const { __builtin_prefetch(&m_slots[homeOf(flow)]); }

private:
    /// The low half of the hash is spread over the slots; the high half gives the bucket.
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
