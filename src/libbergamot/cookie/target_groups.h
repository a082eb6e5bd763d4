#pragma once

/// @file
/// Divides the entry hosts of a data centre into groups, and its targets among the groups. A host prefers the targets
/// of its group and exchanges load reports with the few hosts of the group at short intervals, so that it knows the
/// load of these targets well. docs/design/target_groups.md gives the reasons.

#include "bergamotroute/cookie_steering.h"
#include "cookie/target_pool.h"

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace bergamotroute {

class TargetGroups {
public:
    /// @param host name of this entry host.
    /// @param hostsPerGroup approximate number of entry hosts in a group; zero for no groups.
    /// @param pool must outlive the object; its targets of this data centre are marked.
    TargetGroups(std::string host, std::string dataCentre, std::size_t hostsPerGroup, TargetPool& pool)
        : m_host(std::move(host))
        , m_dataCentre(std::move(dataCentre))
        , m_hostsPerGroup(hostsPerGroup)
        , m_pool(pool)
    {
    }

    /// Applies the entry hosts that a control host lists. The groups are only a preference, so lists that differ
    /// between hosts for some time do no harm.
    void setEntryHosts(const std::vector<EntryHostLocation>& hosts);

    /// The targets of the pool have changed; refresh() divides them again.
    void noteTargetChange() { m_isStale = true; }

    /// Marks the targets of this host's group if hosts or targets have changed since the last call.
    void refresh();

    /// @return true if there are at least two groups.
    bool isActive() const { return m_groupCount > 1; }

    TargetGroupStatus status() const;

    /// @return true if another entry host is in the group of this one.
    bool isMember(const std::string& host) const { return m_members.contains(host); }

private:
    /// Marks the targets of one service.
    /// @param targets the ready targets of this data centre.
    void divide(std::vector<PooledTarget*>& targets) const;

    std::string m_host;
    std::string m_dataCentre;
    std::size_t m_hostsPerGroup;
    TargetPool& m_pool;
    std::set<std::string> m_members;
    std::size_t m_group = 0;
    std::size_t m_groupCount = 1;
    bool m_isStale = true;
};

}
