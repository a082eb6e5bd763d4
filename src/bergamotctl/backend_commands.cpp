// backend list, drain, ready, weight, maintenance and remove.

#include "bergamotctl/commands.h"
#include "bergamotctl/table.h"
#include "libbergamotio/json_schema.h"

#include <charconv>
#include <google/protobuf/util/message_differencer.h>
#include <iostream>
#include <map>

namespace bergamotroute {

namespace {

    using google::protobuf::util::MessageDifferencer;

    constexpr std::uint32_t fullWeightPercent = 100;
    constexpr std::uint32_t largestWeightPercent = 1000;

    schema::BackendOverride findOverride(
        const schema::Configuration& configuration, const std::string& service, const std::string& address)
    {
        for (const schema::BackendOverride& backend : configuration.backends()) {
            if (backend.service() == service && backend.address() == address)
                return backend;
        }
        schema::BackendOverride none;
        none.set_service(service);
        none.set_address(address);
        none.set_weight_percent(fullWeightPercent);
        return none;
    }

    /// Reads the override of a backend server, changes it and sends it.
    template <typename Edit> ExitStatus editBackend(Session& session, Arguments arguments, Edit edit)
    {
        std::error_code error;
        const IpAddress address = IpAddress::parse(arguments[1], error);
        if (error) {
            session.err() << "'" << arguments[1] << "' is not an IP address\n";
            return ExitStatus::Usage;
        }
        const auto answer = session.readConfiguration(false);
        if (!answer)
            return session.lastFailure();
        const schema::BackendOverride present = findOverride(answer->configuration, arguments[0], address.toString());
        schema::BackendOverride wanted = present;
        edit(wanted);
        std::vector<schema::Change> changes;
        if (!MessageDifferencer::Equals(present, wanted))
            *changes.emplace_back().mutable_set_backend() = wanted;
        return submitChanges(session, answer->configuration, std::move(changes));
    }

    ExitStatus setState(Session& session, Arguments arguments, schema::BackendAdminState state)
    {
        return editBackend(session, arguments, [state](schema::BackendOverride& backend) { backend.set_state(state); });
    }

    std::string shareText(double share)
    {
        char text[16];
        std::snprintf(text, sizeof text, "%.1f%%", share * 100);
        return text;
    }

    std::string adminText(schema::BackendAdminState state)
    {
        switch (state) {
        case schema::BACKEND_DRAIN:
            return "drain";
        case schema::BACKEND_MAINTENANCE:
            return "maintenance";
        case schema::BACKEND_REMOVED:
            return "removed";
        default:
            return "ready";
        }
    }

    using TargetKey = std::pair<std::string, std::string>;

    /// Targets as entry hosts see them: counts of flows are summed, the rest comes from the first host that answers.
    std::map<TargetKey, schema::TargetState> collectTargets(Session& session)
    {
        std::map<TargetKey, schema::TargetState> targets;
        for (const EntryAnswer& entry : session.readEntryStates()) {
            if (!entry.isReachable)
                session.err() << "not reachable: " << entry.host << '\n';
            for (const schema::TargetState& target : entry.state.targets()) {
                const auto [place, isNew] = targets.try_emplace({ target.service(), target.address() }, target);
                if (!isNew)
                    place->second.set_forwarded_first_packets(
                        place->second.forwarded_first_packets() + target.forwarded_first_packets());
            }
        }
        return targets;
    }

    void printBackends(Session& session, const schema::Configuration& configuration,
        const std::map<TargetKey, schema::TargetState>& targets)
    {
        if (session.isJson()) {
            schema::EntryHostState shown;
            for (const auto& [key, target] : targets)
                *shown.add_targets() = target;
            session.out() << toJson(shown, true);
            return;
        }
        Table table({ "SERVICE", "ADDRESS", "DATA CENTRE", "STATE", "ADMIN", "WEIGHT", "SHARE", "SLOTS", "BUSY",
            "CONNECTIONS", "NEW FLOWS" });
        for (const auto& [key, target] : targets) {
            const schema::BackendOverride backend = findOverride(configuration, key.first, key.second);
            table.add({ key.first, key.second, target.data_centre(), target.state(), adminText(backend.state()),
                std::to_string(backend.weight_percent()) + '%', shareText(target.share()),
                std::to_string(target.slots()), std::to_string(target.busy_slots()),
                std::to_string(target.open_connections()), std::to_string(target.forwarded_first_packets()) });
        }
        table.print(session.out());
    }

}

ExitStatus runBackendList(Session& session, Arguments arguments)
{
    const auto answer = session.readConfiguration(true);
    if (!answer)
        return session.lastFailure();
    auto targets = collectTargets(session);
    for (const schema::BackendOverride& backend : answer->configuration.backends()) {
        schema::TargetState unseen;
        unseen.set_service(backend.service());
        unseen.set_address(backend.address());
        unseen.set_state("not announced");
        targets.try_emplace({ backend.service(), backend.address() }, unseen);
    }
    if (!arguments.empty())
        std::erase_if(targets, [&](const auto& entry) { return entry.first.first != arguments[0]; });
    printBackends(session, answer->configuration, targets);
    return ExitStatus::Done;
}

ExitStatus runBackendDrain(Session& session, Arguments arguments)
{
    return setState(session, arguments, schema::BACKEND_DRAIN);
}

ExitStatus runBackendReady(Session& session, Arguments arguments)
{
    return setState(session, arguments, schema::BACKEND_READY);
}

ExitStatus runBackendMaintenance(Session& session, Arguments arguments)
{
    return setState(session, arguments, schema::BACKEND_MAINTENANCE);
}

ExitStatus runBackendRemove(Session& session, Arguments arguments)
{
    return setState(session, arguments, schema::BACKEND_REMOVED);
}

ExitStatus runBackendWeight(Session& session, Arguments arguments)
{
    std::uint32_t percent = 0;
    const std::string& text = arguments[2];
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), percent);
    if (status != std::errc() || end != text.data() + text.size() || percent > largestWeightPercent) {
        session.err() << "'" << text << "' is not a weight from 0 to " << largestWeightPercent << " percent\n";
        return ExitStatus::Usage;
    }
    return editBackend(
        session, arguments, [percent](schema::BackendOverride& backend) { backend.set_weight_percent(percent); });
}

}
