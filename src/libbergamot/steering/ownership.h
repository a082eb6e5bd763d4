#pragma once

/// @file
/// Owner and backup of each bucket by rendezvous hashing (Thaler and Ravishankar, highest random weight).

#include "bergamotroute/types.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace bergamotroute {

/// Set of hosts; bit i is host i.
using HostMask = std::uint64_t;
inline constexpr std::size_t maxHosts = 64;

inline HostMask hostBit(HostIndex host) { return host < maxHosts ? HostMask { 1 } << host : 0; }

/// First and second host of a bucket; noHost where the set is too small.
struct BucketOwners {
    HostIndex owner = noHost;
    HostIndex backup = noHost;

    bool operator==(const BucketOwners&) const = default;
};

/// Rendezvous hashing over the hosts of the group, by name, so that all hosts agree.
class Ownership {
public:
    /// @param hosts names in index order.
    explicit Ownership(std::span<const std::string> hosts);

    /// @return owner and backup of one bucket among the hosts in the set.
    BucketOwners rank(HostMask hosts, ServiceId service, std::uint32_t bucket) const;

    /// @return the host that plans the tables of the service, or noHost.
    HostIndex tableLeader(HostMask hosts, ServiceId service) const;

private:
    std::vector<std::uint64_t> m_hostHashes;
};

}
