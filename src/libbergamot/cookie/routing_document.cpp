#include "bergamotroute/routing_document.h"

#include <numeric>

namespace bergamotroute {

namespace {

    std::uint64_t placeKey(std::uint32_t address, std::uint16_t port)
    {
        constexpr unsigned portBits = 16;
        return (std::uint64_t { address } << portBits) | port;
    }

}

bool RouteTable::install(RoutingDocument document)
{
    if (document.version <= m_document.version)
        return false;
    m_document = std::move(document);
    m_byPlace.clear();
    for (std::size_t i = 0; i < m_document.routes.size(); ++i)
        m_byPlace[placeKey(m_document.routes[i].address, m_document.routes[i].port)] = i;
    return true;
}

const Route* RouteTable::find(std::uint32_t address, std::uint16_t port) const
{
    const auto found = m_byPlace.find(placeKey(address, port));
    return found == m_byPlace.end() ? nullptr : &m_document.routes[found->second];
}

const std::string& RouteTable::chooseService(const Route& route, std::uint64_t hash)
{
    const std::uint64_t total = std::accumulate(route.services.begin(), route.services.end(), std::uint64_t { 0 },
        [](std::uint64_t sum, const WeightedService& item) { return sum + item.weight; });
    std::uint64_t position = total == 0 ? 0 : hash % total;
    for (const WeightedService& item : route.services) {
        if (position < item.weight)
            return item.service;
        position -= item.weight;
    }
    return route.services.front().service;
}

}
