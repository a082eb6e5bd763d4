#include "configuration/data_centre_state.h"

#include <algorithm>

namespace bergamotroute {

namespace {

    /// @param all data centres of a configuration, which may be const.
    template <typename DataCentres> auto* findByName(DataCentres& all, const std::string& name)
    {
        const auto found = std::find_if(
            all.begin(), all.end(), [&name](const schema::DataCentre& item) { return item.name() == name; });
        return found == all.end() ? nullptr : &*found;
    }

    /// @param additional a data centre that counts as stopped in any case.
    bool hasOnlyStopped(
        const schema::Configuration& configuration, const schema::Service& service, const std::string& additional)
    {
        const auto& names = service.data_centres();
        return !names.empty() && std::all_of(names.begin(), names.end(), [&](const std::string& name) {
            return name == additional || isDataCentreStopped(configuration, name);
        });
    }

    /// @return the first service for which a data centre is the last one that runs, or null.
    const schema::Service* findServiceWithout(const schema::Configuration& configuration, const std::string& dataCentre)
    {
        const auto& services = configuration.services();
        const auto found = std::find_if(services.begin(), services.end(), [&](const schema::Service& service) {
            const auto& names = service.data_centres();
            const bool isAffected = std::find(names.begin(), names.end(), dataCentre) != names.end();
            return isAffected && hasOnlyStopped(configuration, service, dataCentre);
        });
        return found == services.end() ? nullptr : &*found;
    }

}

const schema::DataCentre* findDataCentre(const schema::Configuration& configuration, const std::string& name)
{
    return findByName(configuration.data_centres(), name);
}

bool isDataCentreStopped(const schema::Configuration& configuration, const std::string& name)
{
    const schema::DataCentre* dataCentre = findDataCentre(configuration, name);
    return dataCentre && dataCentre->stopped();
}

bool hasOnlyStoppedDataCentres(const schema::Configuration& configuration, const schema::Service& service)
{
    return hasOnlyStopped(configuration, service, {});
}

CommandStatus lastDataCentreError(const schema::Service& service)
{
    return { ResultCode::LastBackend,
        "all data centres of service " + service.name() + " would be stopped; force overrides" };
}

CommandStatus setDataCentre(
    schema::Configuration& configuration, const schema::DataCentre& desired, bool force, std::uint64_t index)
{
    if (desired.name().empty())
        return { ResultCode::InvalidValue, "a data centre needs a name" };
    schema::DataCentre* existing = findByName(*configuration.mutable_data_centres(), desired.name());
    const bool wasStopped = existing && existing->stopped();
    if (wasStopped == desired.stopped()) {
        if (!existing)
            configuration.add_data_centres()->set_name(desired.name());
        return {};
    }
    if (desired.stopped() && !force) {
        if (const schema::Service* service = findServiceWithout(configuration, desired.name()))
            return lastDataCentreError(*service);
    }
    schema::DataCentre& target = existing ? *existing : *configuration.add_data_centres();
    target = desired;
    target.set_changed_revision(index);
    configuration.set_data_centres_revision(index);
    return {};
}

}
