#include "bergamotroute/evacuation.h"

#include "configuration/data_centre_state.h"

#include <algorithm>

namespace bergamotroute {

namespace {

    std::size_t countWithRevision(std::span<const schema::EntryHostRecord> hosts, std::uint64_t revision)
    {
        return static_cast<std::size_t>(std::count_if(hosts.begin(), hosts.end(),
            [revision](const schema::EntryHostRecord& host) { return host.data_centres_revision() >= revision; }));
    }

}

schema::Command makeEvacuationCommand(const EvacuationRequest& request, const std::string& requestId)
{
    schema::Command command;
    command.set_request_id(requestId);
    // Operators may evacuate the last data centre, for example to stop a faulty release everywhere.
    command.set_force(true);
    schema::DataCentre& dataCentre = *command.add_changes()->mutable_set_data_centre();
    dataCentre.set_name(request.dataCentre);
    dataCentre.set_stopped(request.stops);
    dataCentre.set_changed_time_ms(request.timeMs);
    dataCentre.set_changed_by(request.caller);
    return command;
}

bool hasChangedDataCentre(const schema::Configuration& configuration, const std::string& name, std::uint64_t index)
{
    const schema::DataCentre* dataCentre = findDataCentre(configuration, name);
    return dataCentre && dataCentre->changed_revision() == index;
}

schema::StoppedDataCentres listStoppedDataCentres(const schema::Configuration& configuration)
{
    schema::StoppedDataCentres list;
    list.set_revision(configuration.data_centres_revision());
    for (const schema::DataCentre& dataCentre : configuration.data_centres()) {
        if (dataCentre.stopped())
            list.add_names(dataCentre.name());
    }
    return list;
}

std::optional<schema::StoppedDataCentres> findNewerList(
    const schema::Configuration& configuration, std::uint64_t appliedRevision)
{
    if (configuration.data_centres_revision() <= appliedRevision)
        return std::nullopt;
    return listStoppedDataCentres(configuration);
}

std::string describe(const schema::StoppedDataCentres& list)
{
    std::string names;
    for (const std::string& name : list.names())
        names += (names.empty() ? "" : " ") + name;
    return names;
}

std::string describeReturned(const schema::StoppedDataCentres& list)
{
    std::string text;
    for (const schema::ReturnedDataCentre& returned : list.returned())
        text += (text.empty() ? "" : " ") + returned.name() + ':' + std::to_string(returned.age_ms());
    return text;
}

std::set<std::string> namesOf(const schema::Configuration& configuration)
{
    std::set<std::string> names;
    for (const schema::DataCentre& dataCentre : configuration.data_centres())
        names.insert(dataCentre.name());
    return names;
}

bool areAllStopped(const schema::Configuration& configuration, const std::set<std::string>& serving)
{
    return !serving.empty() && std::all_of(serving.begin(), serving.end(), [&](const std::string& name) {
        return isDataCentreStopped(configuration, name);
    });
}

EvacuationSummary summarizeEvacuations(
    const schema::Configuration& configuration, std::span<const schema::EntryHostRecord> entryHosts)
{
    EvacuationSummary summary;
    summary.revision = configuration.data_centres_revision();
    summary.entryHosts = entryHosts.size();
    summary.acknowledgedHosts = countWithRevision(entryHosts, summary.revision);
    for (const schema::EntryHostRecord& host : entryHosts)
        summary.openFlows += host.flows_at_stopped();
    for (const schema::DataCentre& dataCentre : configuration.data_centres()) {
        if (!dataCentre.stopped())
            continue;
        summary.evacuations.push_back({ dataCentre.name(), dataCentre.changed_time_ms(), dataCentre.changed_by(),
            dataCentre.changed_revision(), countWithRevision(entryHosts, dataCentre.changed_revision()) });
    }
    return summary;
}

bool AcknowledgementWatch::isNewlyAcknowledged(const EvacuationSummary& summary)
{
    const bool isAcknowledged = summary.entryHosts > 0 && summary.acknowledgedHosts == summary.entryHosts;
    if (!isAcknowledged || summary.revision <= m_reportedRevision)
        return false;
    m_reportedRevision = summary.revision;
    return true;
}

}
