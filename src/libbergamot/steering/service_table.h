#pragma once

/// @file
/// Bucket table of one service with what this host knows of its owners and of the versions on other hosts.

#include "bergamotroute/bucket_table.h"
#include "bergamotroute/clock.h"
#include "steering/flow_cache.h"
#include "steering/ownership.h"

#include "entry.pb.h"

#include <optional>
#include <vector>

namespace bergamotroute {

/// What another host has told of one service's table.
struct HostTableState {
    /// Newest version in its heartbeats.
    std::uint64_t advertised = 0;
    /// Newest version that it has acknowledged to this host with its complete list of flows.
    std::uint64_t acknowledged = 0;
    /// Version of the acknowledgement that is being received in parts, and the parts that came in.
    std::uint64_t pendingVersion = 0;
    std::vector<bool> chunks;
    /// First and last of a series of requests of this host for a whole table, and the last answer.
    TimePoint requestedSince = TimePoint::min();
    TimePoint requestedLast = TimePoint::min();
    TimePoint tableSentAt = TimePoint::min();

    /// Notes a request of a ready host for a whole table.
    /// @return true if the host has missed the table long enough that no update can be on its way.
    bool noteTableRequest(TimePoint now);
};

/// Table of one service on one host.
struct ServiceTable {
    BucketTable table;
    /// Owners in the present view.
    std::vector<BucketOwners> owners;
    /// Owners in the last view that every host had acknowledged.
    std::vector<HostIndex> stableOwners;
    /// Version in which each bucket last went from settled to moved.
    std::vector<std::uint64_t> movedSince;
    std::vector<HostTableState> hosts;
    /// Every host that may still act on an older table has acknowledged this version.
    std::uint64_t activeVersion = 0;
    /// Version in which the present limited mark was set; zero if it is not set.
    std::uint64_t limitedSince = 0;
    /// The admission policy knows that the mark is in force.
    bool limitedReported = false;
    TimePoint appliedAt;
    TimePoint lastRequest = TimePoint::min();
    /// Buckets that their owners reported for the present version, on the table leader.
    std::vector<bool> reportedClear;
    std::vector<bool> reportedDivergent;

    bool exists() const { return table.version != 0; }
    bool isActive(std::uint32_t bucket) const { return activeVersion >= movedSince[bucket]; }

    /// Replaces the table and notes which buckets have become moved.
    void replace(BucketTable next, TimePoint now);
};

/// Versions are unique, because each leader uses its own residue.
/// @return the lowest version of the leader above the given one.
std::uint64_t nextTableVersion(std::uint64_t version, HostIndex leader);

/// Encodes the difference of two tables.
/// @param before table on which the update is based, or a null pointer for a full table.
schema::TableUpdate encodeTable(const BucketTable& table, const BucketTable* before);

/// Applies an update.
/// @param before table in force, or one with version zero.
/// @param bucketCount buckets of each service.
/// @return the new table, or nothing if the update is malformed or based on another version.
std::optional<BucketTable> decodeTable(
    const schema::TableUpdate& update, const BucketTable& before, std::uint32_t bucketCount);

}
