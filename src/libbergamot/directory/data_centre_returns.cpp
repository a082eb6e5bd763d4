#include "bergamotroute/data_centre_returns.h"

#include <algorithm>

namespace bergamotroute {

void DataCentreReturns::restore(std::uint64_t settledRevision) { m_settledRevision = settledRevision; }

void DataCentreReturns::update(const schema::Configuration& configuration, TimePoint now)
{
    for (const schema::DataCentre& dataCentre : configuration.data_centres()) {
        if (dataCentre.stopped()) {
            m_returns.erase(dataCentre.name());
            continue;
        }
        // The revision of a data centre that was never stopped is zero.
        const std::uint64_t revision = dataCentre.changed_revision();
        if (revision <= m_settledRevision)
            continue;
        Return& known = m_returns[dataCentre.name()];
        // Order and withdrawal may come into force together, so only the revision tells that there was another one.
        if (known.revision != revision)
            known = { revision, now };
    }
}

void DataCentreReturns::addTo(schema::StoppedDataCentres& list, std::uint64_t appliedRevision, TimePoint now) const
{
    for (const auto& [name, known] : m_returns) {
        const Duration age = now - known.time;
        if (known.revision <= appliedRevision || age >= m_memory)
            continue;
        schema::ReturnedDataCentre& returned = *list.add_returned();
        returned.set_name(name);
        returned.set_age_ms(static_cast<std::uint32_t>(age.count()));
    }
}

bool DataCentreReturns::advance(TimePoint now)
{
    const std::uint64_t before = m_settledRevision;
    std::erase_if(m_returns, [this, now](const auto& item) {
        if (now - item.second.time < m_memory)
            return false;
        // Returns come into force in the order of the log, so earlier ones are older.
        m_settledRevision = std::max(m_settledRevision, item.second.revision);
        return true;
    });
    return m_settledRevision != before;
}

}
