#pragma once

/// @file
/// Owner and backup of each bucket by rendezvous hashing (Thaler and Ravishankar, highest random weight).

#include "bergamotroute/types.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace bergamotroute {

/// Set of hosts; bit i stands for host i.
using HostMask = std::uint64_t;
inline constexpr std::size_t maxHosts = 64;

inline HostMask hostBit(HostIndex host) { return host < maxHosts ? HostMask { 1 } << host : 0; }

/// Hosts with the highest and second-highest weight for a bucket; noHost if the set of hosts is too small.
struct BucketOwners {
    HostIndex owner = noHost;
    HostIndex backup = noHost;

    bool operator==(const BucketOwners&) const = default;
};

/// Rendezvous hashing over the names of all hosts in the steering group, so that all hosts compute the same owners.
class Ownership {
public:
    /// @param hosts host names in the order of their indexes.
    explicit Ownership(std::span<const std::string> hosts);

    /// @param hosts candidates.
    /// @return the owner and backup of one bucket among the candidates.
    BucketOwners rank(HostMask hosts, ServiceId service, std::uint32_t bucket) const;

    /// @param hosts candidates.
    /// @return the host that plans the tables of the service, or noHost if there is no candidate.
    HostIndex tableLeader(HostMask hosts, ServiceId service) const;

private:
    std::vector<std::uint64_t> m_hostHashes;
};

}
