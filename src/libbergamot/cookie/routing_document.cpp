#include "bergamotroute/routing_document.h"

#include <algorithm>
#include <numeric>

namespace bergamotroute {

namespace {

    std::uint64_t endpointKey(std::uint32_t address, std::uint16_t port)
    {
        constexpr unsigned portBits = 16;
        return (std::uint64_t { address } << portBits) | port;
    }

}

bool RoutingDocument::hasUploads() const
{
    return std::any_of(
        routes.begin(), routes.end(), [](const Route& route) { return route.kind == RequestKind::Upload; });
}

bool RouteTable::install(RoutingDocument document)
{
    if (document.version <= m_document.version)
        return false;
    m_document = std::move(document);
    m_routeIndexes.clear();
    for (std::size_t i = 0; i < m_document.routes.size(); ++i)
        m_routeIndexes[endpointKey(m_document.routes[i].address, m_document.routes[i].port)] = i;
    return true;
}

const Route* RouteTable::find(std::uint32_t address, std::uint16_t port) const
{
    const auto found = m_routeIndexes.find(endpointKey(address, port));
    return found == m_routeIndexes.end() ? nullptr : &m_document.routes[found->second];
}

const std::string& RouteTable::chooseService(const Route& route, std::uint64_t hash)
{
    const std::uint64_t total = std::accumulate(route.services.begin(), route.services.end(), std::uint64_t { 0 },
        [](std::uint64_t sum, const WeightedService& weighted) { return sum + weighted.weight; });
    std::uint64_t position = total == 0 ? 0 : hash % total;
    for (const WeightedService& weighted : route.services) {
        if (position < weighted.weight)
            return weighted.service;
        position -= weighted.weight;
    }
    return route.services.front().service;
}

}
