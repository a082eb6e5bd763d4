#pragma once

/// @file
/// Snapshot of the steering group's membership as one entry host sees it.

#include "bergamotroute/types.h"

#include "entry.pb.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bergamotroute {

/// One host of the steering group, in the view of this host.
struct MemberView {
    HostIndex index = noHost;
    std::string host;
    std::string dataCentre;
    std::uint64_t incarnation = 0;
    schema::MemberState state = schema::JOINING;
};

/// Membership of the steering group, in the view of this host.
struct MembershipView {
    /// Incremented whenever the set of ready hosts changes; local to this host.
    std::uint64_t epoch = 0;
    /// All configured hosts, by index.
    std::vector<MemberView> members;
    HostIndex self = noHost;
    /// This host holds the quorum lease: a majority of the group reports that it received a heartbeat of this host
    /// within the lease.
    bool hasQuorum = false;

    /// @return indexes of the hosts that may own buckets, ascending.
    std::vector<HostIndex> readyHosts() const
    {
        std::vector<HostIndex> ready;
        for (const MemberView& member : members) {
            if (member.state == schema::MEMBER_READY)
                ready.push_back(member.index);
        }
        return ready;
    }
};

}
