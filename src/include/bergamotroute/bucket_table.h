#pragma once

/// @file
/// Assignment of a service's hash buckets to targets.

#include "bergamotroute/types.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bergamotroute {

/// One bucket of a service's hash space.
struct Bucket {
    /// Target of flows that are older than the move.
    TargetId base = noTarget;
    /// Target of new flows.
    TargetId current = noTarget;
    /// The owner decides for this bucket; see docs/design.md, section 5.
    bool moved = false;

    bool operator==(const Bucket&) const = default;
};

/// Bucket table of one service. Greater (version, leader) wins.
struct BucketTable {
    ServiceId service = 0;
    std::uint64_t version = 0;
    std::string leader;
    /// A service limit is active: first packets of all buckets go to their owner.
    bool limited = false;
    std::vector<Bucket> buckets;
};

}
