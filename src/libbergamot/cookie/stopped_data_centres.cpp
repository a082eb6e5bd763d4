#include "cookie/stopped_data_centres.h"

namespace bergamotroute {

bool StoppedDataCentreList::apply(const schema::StoppedDataCentres& list, TimePoint now)
{
    if (list.revision() <= m_revision)
        return false;
    m_revision = list.revision();
    std::set<std::string> names(list.names().begin(), list.names().end());
    for (const std::string& name : m_names) {
        if (!names.contains(name))
            m_returnedAt[name] = now;
    }
    // Includes data centres that were stopped and returned while no list arrived here.
    for (const schema::ReturnedDataCentre& returned : list.returned())
        m_returnedAt[returned.name()] = now - Duration(returned.age_ms());
    for (const std::string& name : names)
        m_returnedAt.erase(name);
    m_names = std::move(names);
    return true;
}

std::optional<TimePoint> StoppedDataCentreList::returnedAt(const std::string& dataCentre) const
{
    const auto found = m_returnedAt.find(dataCentre);
    return found == m_returnedAt.end() ? std::nullopt : std::optional(found->second);
}

}
