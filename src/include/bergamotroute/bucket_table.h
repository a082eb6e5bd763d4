#pragma once

/// @file
/// Assignment of a service's hash buckets to targets. See docs/design/flow_steering.md.

#include "bergamotroute/types.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bergamotroute {

/// One bucket of a service's hash space.
struct Bucket {
    /// Target of flows that were opened before the bucket was moved.
    TargetId base = noTarget;
    /// Target of new flows once the move is active; equal to base in a settled bucket.
    TargetId current = noTarget;
    /// Flows of the bucket may belong to different targets, so hosts relay packets of unknown flows to the bucket
    /// owner, which selects the target. If false, the bucket is settled: a host may forward to the base target by
    /// itself.
    bool moved = false;

    bool operator==(const Bucket&) const = default;
};

/// Bucket table of one service. A table with a greater version replaces the one in force; two leaders never use the
/// same version.
struct BucketTable {
    ServiceId service = 0;
    std::uint64_t version = 0;
    /// Name of the host that planned this version.
    std::string leader;
    /// A limit of the service is active, so the first packets of all buckets go to the bucket owner for admission.
    bool limited = false;
    std::vector<Bucket> buckets;
};

}
