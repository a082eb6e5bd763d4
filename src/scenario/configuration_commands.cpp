/// @file
/// Scenario commands that create a new configuration revision.

#include "scenario/commands.h"

#include <functional>
#include <map>
#include <sstream>

namespace bergamotroute::scenario {

namespace {

    using Handler = std::function<std::string(Deployment&, const Statement&)>;

    std::string unknownName(const std::string& name) { return "unknown name \"" + name + "\""; }

    std::string setBackends(Deployment& deployment, const Statement& statement)
    {
        static const std::map<std::string, schema::BackendAdminState> states
            = { { "ready", schema::BACKEND_READY }, { "drain", schema::BACKEND_DRAIN },
                  { "maintenance", schema::BACKEND_MAINTENANCE }, { "remove", schema::BACKEND_REMOVED } };
        const auto state = states.find(statement.arguments[0].text);
        if (state == states.end())
            return "unknown state \"" + statement.arguments[0].text + "\"";
        constexpr std::uint32_t fullWeight = 100;
        for (std::size_t index = 1; index < statement.arguments.size(); ++index) {
            const BackendServer* backend = deployment.findBackend(statement.arguments[index].text);
            if (backend == nullptr)
                return unknownName(statement.arguments[index].text);
            overrideBackend(deployment, *backend, state->second, fullWeight);
        }
        return {};
    }

    std::string setWeight(Deployment& deployment, const Statement& statement)
    {
        const BackendServer* backend = deployment.findBackend(statement.arguments[0].text);
        if (backend == nullptr)
            return unknownName(statement.arguments[0].text);
        constexpr double percent = 100;
        const auto weight = static_cast<std::uint32_t>(statement.arguments[1].number * percent);
        overrideBackend(deployment, *backend, schema::BACKEND_READY, weight);
        return {};
    }

    std::string setDataCentre(Deployment& deployment, const Statement& statement)
    {
        const std::string& name = statement.arguments[0].text;
        const bool isStopped = statement.command == "stop-datacentre";
        if (deployment.network().find(name).empty())
            return unknownName(name);
        deployment.configuration().accept([&](schema::Configuration& configuration) {
            for (schema::DataCentre& dataCentre : *configuration.mutable_data_centres()) {
                if (dataCentre.name() == name)
                    dataCentre.set_stopped(isStopped);
            }
        });
        return {};
    }

    std::string editService(
        Deployment& deployment, const std::string& name, const std::function<void(schema::Service&)>& edit)
    {
        const auto service = deployment.findService(name);
        if (!service)
            return unknownName(name);
        schema::Service& definition = deployment.services()[*service].definition;
        edit(definition);
        deployment.configuration().accept([&definition](schema::Configuration& configuration) {
            for (schema::Service& entry : *configuration.mutable_services()) {
                if (entry.name() == definition.name())
                    entry = definition;
            }
        });
        return {};
    }

    std::string setLimit(Deployment& deployment, const Statement& statement)
    {
        return editService(deployment, statement.arguments[0].text, [&statement](schema::Service& service) {
            service.set_max_new_flows_per_second(static_cast<std::uint32_t>(statement.option("new", 0)));
            service.set_max_open_flows(static_cast<std::uint32_t>(statement.option("open", 0)));
        });
    }

    std::string moveService(Deployment& deployment, const Statement& statement)
    {
        const auto address = statement.options.find("address");
        const auto dataCentres = statement.options.find("datacentres");
        std::string errorText = editService(deployment, statement.arguments[0].text, [&](schema::Service& service) {
            if (address != statement.options.end())
                service.set_address(address->second.text);
            if (dataCentres == statement.options.end())
                return;
            service.clear_data_centres();
            std::istringstream names(dataCentres->second.text);
            std::string name;
            while (std::getline(names, name, ','))
                service.add_data_centres(name);
        });
        if (!errorText.empty() || address == statement.options.end())
            return errorText;
        // Before a service moves, its backend servers are configured with the new service address in addition to the
        // old one; in production the platform team does this.
        const auto service = deployment.findService(statement.arguments[0].text);
        for (const auto& backend : deployment.backends()) {
            if (backend->identity().service == *service)
                backend->identity().serviceAddresses.push_back(deployment.serviceEndpoint(*service).address);
        }
        return {};
    }

    std::string setHost(Deployment& deployment, const Statement& statement)
    {
        static const std::map<std::string, schema::HostAdminState> states
            = { { "ready", schema::HOST_READY }, { "drain", schema::HOST_DRAIN }, { "leave", schema::HOST_LEAVE } };
        const auto state = states.find(statement.arguments[0].text);
        const std::string& name = statement.arguments[1].text;
        if (state == states.end() || deployment.findHost(name) == nullptr)
            return unknownName(state == states.end() ? statement.arguments[0].text : name);
        deployment.configuration().accept([&](schema::Configuration& configuration) {
            schema::EntryHostOverride* override = nullptr;
            for (schema::EntryHostOverride& entry : *configuration.mutable_entry_hosts()) {
                if (entry.host() == name)
                    override = &entry;
            }
            if (override == nullptr)
                override = configuration.add_entry_hosts();
            override->set_host(name);
            override->set_state(state->second);
        });
        return {};
    }

}

void overrideBackend(
    Deployment& deployment, const BackendServer& backend, schema::BackendAdminState state, std::uint32_t weightPercent)
{
    const std::string service = deployment.services()[backend.identity().service].definition.name();
    const std::string address = backend.identity().address.toString();
    deployment.configuration().accept([&](schema::Configuration& configuration) {
        schema::BackendOverride* override = nullptr;
        for (schema::BackendOverride& entry : *configuration.mutable_backends()) {
            if (entry.service() == service && entry.address() == address)
                override = &entry;
        }
        if (override == nullptr)
            override = configuration.add_backends();
        override->set_service(service);
        override->set_address(address);
        override->set_state(state);
        override->set_weight_percent(weightPercent);
    });
}

std::string executeConfigurationCommand(Deployment& deployment, const Statement& statement, bool& isKnown)
{
    static const std::map<std::string, Handler, std::less<>> table = {
        { "backend", setBackends },
        { "weight", setWeight },
        { "stop-datacentre", setDataCentre },
        { "start-datacentre", setDataCentre },
        { "limit", setLimit },
        { "move-service", moveService },
        { "host", setHost },
    };
    const auto handler = table.find(statement.command);
    isKnown = handler != table.end();
    return isKnown ? handler->second(deployment, statement) : std::string();
}

}
