#pragma once

/// @file
/// Simple ways to choose a target, beside which the flow experiment shows the figures of EntryHost.

#include "scenario/host_program.h"

namespace bergamotroute::bench {

enum class BaselineKind {
    /// Hash modulo the number of usable targets.
    Modulo,
    /// A hash table whose buckets move only when their target leaves or a new one wins them.
    StableTable,
    /// The stable table behind a cache of the flows that the host itself has forwarded.
    StableTableWithCache,
};

/// @return a factory of entry hosts that work without ownership, leases and moved buckets.
scenario::HostFactory baselineFactory(BaselineKind kind);

/// @return the name in reports.
const char* baselineName(BaselineKind kind);

}
