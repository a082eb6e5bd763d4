#pragma once

/// @file
/// Event-driven simulation of callers and backend servers on a simulated clock.

#include "imbalance/backend_model.h"
#include "imbalance/balancing_policy.h"

#include <cstdint>
#include <queue>
#include <random>
#include <vector>

namespace bergamotroute::bench {

/// A change in the middle of the run.
enum class Change {
    /// One server starts to drain.
    Drain,
    /// One server is added.
    Add,
    /// The weight of one server falls to a half.
    Reweight,
    /// One server dies; its feeds reconnect within 5 s.
    Death,
};

/// Parameters of one run.
struct RunOptions {
    std::uint32_t servers = 14;
    /// Slots of each server; zero alternates between 2 and 3.
    std::uint32_t slots = 2;
    std::uint32_t feeds = 28'000;
    double newFlowsPerSecond = 2'000;
    /// Part of all slots that short requests keep busy.
    double utilisation = 0.6;
    Change change = Change::Drain;
    std::uint64_t seed = 1;
};

/// Largest over mean across the servers that should take new flows.
struct Imbalance {
    /// Open flows a slot: mean of samples every 500 ms, and the worst sample.
    double openMean = 0;
    double openWorst = 0;
    /// Busy slot time a slot and weight: over the whole period, and the worst window of 10 s.
    double busyMean = 0;
    double busyWorst = 0;
};

struct RunResult {
    Imbalance steady;
    Imbalance afterChange;
    std::uint64_t brokenFeeds = 0;
    std::uint64_t tableChanges = 0;
    std::uint32_t movedBuckets = 0;
};

/// Runs one policy: 60 s to start, 60 s in steady state, the change, and 10 s after it.
RunResult runSimulation(const RunOptions& options, BalancingPolicy& policy);

}
