#pragma once

/// @file
/// What one entry host knows of the steering group at a moment.

#include "bergamotroute/types.h"

#include "entry.pb.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bergamotroute {

/// One host of the steering group as this host sees it.
struct MemberView {
    HostIndex index = noHost;
    std::string host;
    std::string dataCentre;
    std::uint64_t incarnation = 0;
    schema::MemberState state = schema::JOINING;
};

/// The steering group as this host sees it.
struct MembershipView {
    /// Grows with each change of the set of ready hosts.
    std::uint64_t epoch = 0;
    /// All configured hosts, by index.
    std::vector<MemberView> members;
    HostIndex self = noHost;
    /// A majority of the group reports that it has heard this host within the quorum lease.
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
