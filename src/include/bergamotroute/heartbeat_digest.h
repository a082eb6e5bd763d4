#pragma once

/// @file
/// Exchange of registry changes between two control hosts, without I/O. A heartbeat that changes nothing but its
/// sequence number and time travels as a refresh of a few bytes, any other change as a whole record
/// (docs/design/targets.md).

#include "bergamotroute/clock.h"
#include "bergamotroute/target_registry.h"

#include "directory.pb.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace bergamotroute {

/// Unit of ages in refreshes. Ages are rounded down, so silence is found at most one unit late, and never early.
inline constexpr Duration refreshAgeUnit { 64 };

/// Totals of one host over all of its peers.
struct HeartbeatDigestCounters {
    std::uint64_t recordsSent = 0;
    std::uint64_t refreshesSent = 0;
    /// Refreshes that were not applied: their content is not known here, or a whole record has overtaken them.
    std::uint64_t refreshesIgnored = 0;
};

/// One host's side of the exchange with one peer. Messages may be lost, repeated and reordered.
class HeartbeatDigest {
public:
    /// @param epoch number of this host's start; differs for each start.
    /// @param counters shared by the digests of one host; must outlive this object, as must the registry.
    HeartbeatDigest(TargetRegistry& registry, std::uint64_t epoch, HeartbeatDigestCounters& counters)
        : m_registry(registry)
        , m_counters(counters)
        , m_epoch(epoch)
    {
    }

    /// Writes what the peer has not acknowledged into a message, with what this host has received from the peer.
    /// @param message receives all fields except the lists of hosts.
    void fill(schema::DirectoryExchange& message, TimePoint now);

    /// Merges the changes in a message from the peer into the registry and takes over its acknowledgement.
    void apply(const schema::DirectoryExchange& message, TimePoint now);

    /// @return latest change of this host that the peer has acknowledged.
    std::uint64_t acknowledgedChange() const { return m_acknowledgedChange; }

    /// @return number up to which all changes of the peer have been received.
    std::uint64_t seenChange() const { return m_seenChange; }

    /// @return whether the peer has sent a message.
    bool hasHeardPeer() const { return m_seenEpoch != 0; }

private:
    /// A target of the peer as its last whole record stated it.
    struct PeerTarget {
        std::string id;
        std::uint64_t startTimeMs = 0;
        /// Content in this host's registry, or zero if it differed from the peer's after the merge.
        std::uint64_t contentRevision = 0;
        /// Change number of the message with the record; refreshes in earlier messages may have another content.
        std::uint64_t change = 0;
    };

    bool canRefresh(const RegisteredTarget& target) const;
    void addRecord(schema::DirectoryExchange& message, const RegisteredTarget& target, TimePoint now);
    void addRefreshes(schema::DirectoryExchange& message, std::vector<const RegisteredTarget*>& targets, TimePoint now);
    void applyRecord(const schema::TargetRecord& record, std::uint64_t change, TimePoint now);
    void applyRefreshes(const schema::DirectoryExchange& message, bool isComplete, TimePoint now);
    bool applyRefresh(const PeerTarget& target, std::uint64_t sequence, Duration age, TimePoint now);
    void forgetRemovedTargets();

    TargetRegistry& m_registry;
    HeartbeatDigestCounters& m_counters;
    std::uint64_t m_epoch;
    std::uint64_t m_acknowledgedChange = 0;
    std::uint64_t m_seenEpoch = 0;
    std::uint64_t m_seenChange = 0;
    bool m_peerAcceptsRefreshes = false;
    /// Keys of this host that the peer needs whole.
    std::set<std::uint32_t> m_requestedKeys;
    /// Keys of the peer that this host needs whole, with the number of messages that may still ask for them.
    std::map<std::uint32_t, unsigned> m_wantedKeys;
    std::unordered_map<std::uint32_t, PeerTarget> m_peerTargets;
};

}
