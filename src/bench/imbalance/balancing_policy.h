#pragma once

/// @file
/// Ways to choose a target for a flow, as the imbalance benchmark compares them.

#include "imbalance/backend_model.h"

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace bergamotroute::bench {

inline constexpr std::size_t noBackend = SIZE_MAX;
inline constexpr std::uint32_t tableBuckets = 1024;

/// Chooses targets by the hash of a flow.
class BalancingPolicy {
public:
    virtual ~BalancingPolicy() = default;

    /// Lets the policy notice changes of the servers. Called every 100 ms.
    virtual void advance(const std::vector<BackendModel>& servers, double nowMs) = 0;

    /// @return index of the server for a new flow, or noBackend.
    virtual std::size_t select(std::uint64_t flow) = 0;

    /// @return true if established flows follow the table instead of their first target.
    virtual bool reroutesEstablished() const = 0;

    /// @return number of table changes so far.
    virtual std::uint64_t tableChanges() const = 0;

    /// @return buckets whose owner has to decide.
    virtual std::uint32_t movedBuckets() const { return 0; }
};

/// How the servers report their load.
enum class ReportFault {
    None,
    /// A third of the servers reports the state of 5 s ago, with the time stamp of that state.
    ThirdLags,
    /// One server always reports that it is idle.
    OneClaimsIdle,
    /// One server reports 70% of its load.
    OneUnderstates,
};

/// hash modulo number of live servers.
std::unique_ptr<BalancingPolicy> makeModuloPolicy();

/// A lookup table filled by per-server permutations, so that shares are even and changes small (Eisenbud et al.,
/// "Maglev: A Fast and Reliable Software Network Load Balancer", NSDI 2016, section 3.4).
std::unique_ptr<BalancingPolicy> makeStableTablePolicy();

/// The project's target managers on nine entry hosts that exchange heartbeats; the first plans the tables.
std::unique_ptr<BalancingPolicy> makePlannerPolicy(ReportFault fault, std::uint64_t seed);

}
