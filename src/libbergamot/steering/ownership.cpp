#include "steering/ownership.h"

#include <array>
#include <xxhash.h>

namespace bergamotroute {

namespace {

    /// Bucket number that is hashed to select the table leader of a service; no real bucket has it.
    constexpr std::uint32_t wholeService = 0xffff'ffff;

}

Ownership::Ownership(std::span<const std::string> hosts)
{
    for (const std::string& host : hosts)
        m_hostHashes.push_back(XXH3_64bits(host.data(), host.size()));
}

BucketOwners Ownership::rank(HostMask hosts, ServiceId service, std::uint32_t bucket) const
{
    const std::array<std::uint32_t, 2> key { service, bucket };
    BucketOwners best;
    std::uint64_t ownerScore = 0;
    std::uint64_t backupScore = 0;
    for (HostIndex host = 0; host < static_cast<HostIndex>(m_hostHashes.size()); ++host) {
        if ((hosts & hostBit(host)) == 0)
            continue;
        const std::uint64_t score = XXH3_64bits_withSeed(key.data(), sizeof(key), m_hostHashes[host]);
        if (best.owner == noHost || score > ownerScore) {
            best.backup = best.owner;
            backupScore = ownerScore;
            best.owner = host;
            ownerScore = score;
        } else if (best.backup == noHost || score > backupScore) {
            best.backup = host;
            backupScore = score;
        }
    }
    return best;
}

HostIndex Ownership::tableLeader(HostMask hosts, ServiceId service) const
{
    return rank(hosts, service, wholeService).owner;
}

}
