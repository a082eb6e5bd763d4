#pragma once

/// @file
/// Bucket table of one service, the owners of its buckets and the table versions on other hosts.

#include "bergamotroute/bucket_table.h"
#include "bergamotroute/clock.h"
#include "steering/flow_cache.h"
#include "steering/ownership.h"

#include "entry.pb.h"

#include <optional>
#include <vector>

namespace bergamotroute {

/// State of one service's table on another host, as far as this host knows it.
struct HostTableState {
    /// Highest version in the heartbeats of the host.
    std::uint64_t advertised = 0;
    /// Highest version that the host has acknowledged to this host with its complete list of flows.
    std::uint64_t acknowledged = 0;
    /// Version of the acknowledgement that is being received, and which of its chunks have been received.
    std::uint64_t pendingVersion = 0;
    std::vector<bool> chunks;
    /// Times of the first and last request in the current series of the host's requests for a full table, and of the
    /// last full table sent in reply.
    TimePoint requestedSince = TimePoint::min();
    TimePoint requestedLast = TimePoint::min();
    TimePoint tableSentAt = TimePoint::min();

    /// Records that a ready host has requested a full table.
    /// @return true if the table should be sent: the host has requested it for so long that neither a table update nor
    /// an earlier reply can still be in transit.
    bool recordTableRequest(TimePoint now);
};

/// Table of one service on one host.
struct ServiceTable {
    BucketTable table;
    /// Owners in the current view, by bucket.
    std::vector<BucketOwners> owners;
    /// Owners and backups in the last view that was complete: all hosts had adopted it and the previous owners had sent
    /// their records.
    std::vector<BucketOwners> stableOwners;
    /// Version in which each bucket last changed from settled to moved.
    std::vector<std::uint64_t> movedSince;
    std::vector<HostTableState> hosts;
    /// Highest version that every host which may still use an older table has acknowledged.
    std::uint64_t activeVersion = 0;
    /// Version in which the limited flag of the table was set; zero if it is not set.
    std::uint64_t limitedSince = 0;
    /// The admission policy was informed that the limited flag is in force on all hosts.
    bool limitedReported = false;
    TimePoint appliedAt;
    TimePoint lastRequest = TimePoint::min();
    /// On the table leader: buckets that their owners reported for the current version, as clear (no flow differs from
    /// the base target) or divergent (some flow differs from it).
    std::vector<bool> reportedClear;
    std::vector<bool> reportedDivergent;

    bool exists() const { return table.version != 0; }
    bool isActive(std::uint32_t bucket) const { return activeVersion >= movedSince[bucket]; }

    /// Replaces the table and records the buckets that changed from settled to moved.
    void replace(BucketTable next, TimePoint now);
};

/// Versions of different leaders never collide, because a version modulo maxHosts is the index of its leader.
/// @return a version of this leader that is greater than the given one.
std::uint64_t nextTableVersion(std::uint64_t version, HostIndex leader);

/// Encodes a table in full or as a delta.
/// @param before table on which the delta is based, or a null pointer to encode the full table.
schema::TableUpdate encodeTable(const BucketTable& table, const BucketTable* before);

/// Decodes an update that is a full table or a delta.
/// @param before table in force, or a table with version zero if there is none.
/// @param bucketCount number of buckets of each service.
/// @return the new table, or nothing if the update is malformed or a delta to another version.
std::optional<BucketTable> decodeTable(
    const schema::TableUpdate& update, const BucketTable& before, std::uint32_t bucketCount);

}
