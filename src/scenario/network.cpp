#include "scenario/network.h"

#include <algorithm>

namespace bergamotroute::scenario {

Network::Network(Random& random)
    : m_random(random)
{
    m_callers = addPlace("callers", "");
    m_control = addPlace("control", "");
}

PlaceId Network::addPlace(const std::string& name, const std::string& dataCentre)
{
    m_places.push_back({ name, dataCentre, {} });
    for (Place& place : m_places)
        place.cutTo.resize(m_places.size(), false);
    return m_places.size() - 1;
}

std::vector<PlaceId> Network::find(const std::string& name) const
{
    std::vector<PlaceId> found;
    for (PlaceId place = 0; place < m_places.size(); ++place) {
        if (m_places[place].name == name || m_places[place].dataCentre == name)
            found.push_back(place);
    }
    return found;
}

void Network::cut(PlaceId from, PlaceId to) { m_places[from].cutTo[to] = true; }

void Network::partition(const std::vector<PlaceId>& inside)
{
    const auto isInside
        = [&inside](PlaceId place) { return std::find(inside.begin(), inside.end(), place) != inside.end(); };
    for (PlaceId place = 0; place < m_places.size(); ++place) {
        if (place == m_callers || isInside(place))
            continue;
        for (const PlaceId member : inside) {
            cut(member, place);
            cut(place, member);
        }
    }
}

void Network::heal()
{
    for (Place& place : m_places)
        std::fill(place.cutTo.begin(), place.cutTo.end(), false);
}

SimTime Network::delay(PlaceId from, PlaceId to)
{
    SimTime base = m_delays.between;
    if (from == m_callers || to == m_callers)
        base = m_delays.callers;
    else if (m_places[from].dataCentre == m_places[to].dataCentre)
        base = m_delays.within;
    return base + m_random.upTo(m_delays.jitter) + m_random.upTo(m_added);
}

Transit Network::transit(PlaceId from, PlaceId to)
{
    Transit result;
    if (isCut(from, to) || m_random.chance(m_loss))
        return result;
    result.copies = m_random.chance(m_duplication) ? 2 : 1;
    for (std::size_t copy = 0; copy < result.copies; ++copy)
        result.delays[copy] = delay(from, to);
    return result;
}

}
