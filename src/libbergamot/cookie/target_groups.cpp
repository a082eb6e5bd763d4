#include "cookie/target_groups.h"

#include <algorithm>
#include <map>
#include <xxhash.h>

namespace bergamotroute {

namespace {

    /// With fewer targets in a group there is nothing to choose from.
    constexpr std::size_t minTargetsPerGroup = 2;

    std::uint64_t orderOf(const PooledTarget& target) { return XXH3_64bits(&target.number, sizeof(target.number)); }

}

void TargetGroups::setEntryHosts(const std::vector<EntryHostLocation>& hosts)
{
    std::vector<std::string> local;
    for (const EntryHostLocation& host : hosts) {
        if (host.dataCentre == m_dataCentre)
            local.push_back(host.host);
    }
    std::sort(local.begin(), local.end());
    const auto self = std::lower_bound(local.begin(), local.end(), m_host);
    const bool isListed = self != local.end() && *self == m_host;
    m_members.clear();
    m_group = 0;
    m_groupCount = 1;
    m_isStale = true;
    if (m_hostsPerGroup == 0 || !isListed)
        return;
    m_groupCount = std::max<std::size_t>(1, local.size() / m_hostsPerGroup);
    const auto groupOf = [&](std::size_t index) { return index * m_groupCount / local.size(); };
    m_group = groupOf(static_cast<std::size_t>(self - local.begin()));
    for (std::size_t i = 0; i < local.size(); ++i) {
        if (groupOf(i) == m_group && local[i] != m_host)
            m_members.insert(local[i]);
    }
}

void TargetGroups::divide(std::vector<PooledTarget*>& targets) const
{
    // Neighbours in an order by hash form a group, so that a target that comes or goes moves few others.
    std::sort(targets.begin(), targets.end(), [](const PooledTarget* left, const PooledTarget* right) {
        return std::pair(orderOf(*left), left->number) < std::pair(orderOf(*right), right->number);
    });
    // A service with few targets is divided among groups of groups.
    const std::size_t parts = std::clamp<std::size_t>(targets.size() / minTargetsPerGroup, 1, m_groupCount);
    const std::size_t own = m_group * parts / m_groupCount;
    for (std::size_t i = 0; i < targets.size(); ++i)
        targets[i]->isInGroup = i * parts / targets.size() == own;
}

TargetGroupStatus TargetGroups::status() const
{
    if (!isActive())
        return {};
    const auto targets = std::count_if(
        m_pool.all().begin(), m_pool.all().end(), [](const auto& item) { return item.second->isInGroup; });
    return { m_members.size() + 1, static_cast<std::size_t>(targets) };
}

void TargetGroups::refresh()
{
    if (!std::exchange(m_isStale, false) || m_hostsPerGroup == 0)
        return;
    m_pool.resolveCookieConflicts();
    std::map<std::string_view, std::vector<PooledTarget*>> services;
    for (const auto& [id, target] : m_pool.all()) {
        target->isInGroup = false;
        if (target->dataCentre == m_dataCentre && target->takesNewFlows())
            services[target->service].push_back(target.get());
    }
    for (auto& [service, targets] : services)
        divide(targets);
}

}
