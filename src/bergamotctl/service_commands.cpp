// service add, edit, move, remove and list.

#include "bergamotctl/commands.h"
#include "bergamotctl/flags.h"
#include "bergamotctl/table.h"
#include "libbergamotio/json_schema.h"

#include <gflags/gflags.h>
#include <google/protobuf/util/message_differencer.h>
#include <iostream>
#include <json/json.h>

namespace bergamotroute {

namespace {

    using google::protobuf::util::MessageDifferencer;

    /// Which flag sets which key of the schema.
    struct ServiceFlag {
        const char* flag;
        const char* key;
        bool isList;
    };

    constexpr ServiceFlag textFlags[] = {
        { "address", "address", false },
        { "protocol", "protocol", false },
        { "allowed_networks", "allowed_networks", true },
        { "data_centres", "data_centres", true },
    };

    constexpr ServiceFlag numberFlags[] = {
        { "max_new_flows", "max_new_flows_per_second", false },
        { "max_open_flows", "max_open_flows", false },
        { "drain_deadline", "drain_deadline_seconds", false },
        { "udp_idle", "udp_idle_seconds", false },
        { "probe_idle", "probe_idle_seconds", false },
    };

    std::string flagValue(const char* name)
    {
        std::string value;
        gflags::GetCommandLineOption(name, &value);
        return value;
    }

    Json::Value toList(const std::string& text)
    {
        Json::Value list(Json::arrayValue);
        for (const std::string& part : splitCommas(text))
            list.append(part);
        return list;
    }

    bool addPorts(Json::Value& service, std::ostream& errors)
    {
        service["ports"] = Json::Value(Json::arrayValue);
        for (const std::string& part : splitCommas(FLAGS_ports)) {
            if (part.find_first_not_of("0123456789") != std::string::npos || part.size() > 5) {
                errors << "--ports: '" << part << "' is not a port\n";
                return false;
            }
            service["ports"].append(Json::UInt(std::stoul(part)));
        }
        return true;
    }

    /// Puts the flags that were given into JSON, which the schema's rules then check.
    bool applyServiceFlags(Json::Value& service, std::ostream& errors)
    {
        for (const ServiceFlag& flag : textFlags) {
            if (isFlagGiven(flag.flag))
                service[flag.key] = flag.isList ? toList(flagValue(flag.flag)) : Json::Value(flagValue(flag.flag));
        }
        for (const ServiceFlag& flag : numberFlags) {
            if (isFlagGiven(flag.flag))
                service[flag.key] = Json::UInt(std::stoul(flagValue(flag.flag)));
        }
        return !isFlagGiven("ports") || addPorts(service, errors);
    }

    std::string writeJson(const Json::Value& value)
    {
        Json::StreamWriterBuilder writer;
        writer["indentation"] = "";
        return Json::writeString(writer, value);
    }

    /// @return a service made from JSON and flags; nothing after printing a fault.
    std::optional<schema::Service> makeService(Json::Value json, std::ostream& errors)
    {
        if (!applyServiceFlags(json, errors))
            return std::nullopt;
        schema::Service service;
        if (const InputError error = parseJsonMessage(writeJson(json), "service", service)) {
            errors << error.message << " (code " << error.code.value() << ")\n";
            return std::nullopt;
        }
        if (service.ports().empty()) {
            errors << "service: ports: a service needs at least one port (--ports)\n";
            return std::nullopt;
        }
        return service;
    }

    const schema::Service* findService(const schema::Configuration& configuration, const std::string& name)
    {
        for (const schema::Service& service : configuration.services()) {
            if (service.name() == name)
                return &service;
        }
        return nullptr;
    }

    ExitStatus reportUnknownService(Session& session, const std::string& name)
    {
        session.err() << "not accepted: " << static_cast<int>(ResultCode::ServiceUnknown)
                      << " ServiceUnknown: no service has the name '" << name << "'\n";
        return ExitStatus::Failed;
    }

    std::string protocolName(const schema::Service& service)
    {
        return service.protocol() == schema::UDP ? "UDP" : "TCP";
    }

    std::string limitText(std::uint32_t limit) { return limit == 0 ? "-" : std::to_string(limit); }

}

ExitStatus runServiceAdd(Session& session, Arguments arguments)
{
    Json::Value json(Json::objectValue);
    json["name"] = arguments[0];
    const std::optional<schema::Service> service = makeService(json, session.err());
    if (!service)
        return ExitStatus::Usage;
    const auto answer = session.readConfiguration(false);
    if (!answer)
        return session.lastFailure();
    std::vector<schema::Change> changes;
    const schema::Service* present = findService(answer->configuration, service->name());
    // A service that is as wanted makes the command a repeatable runbook step; another one is refused by the control
    // host.
    if (present == nullptr || !MessageDifferencer::Equals(*present, *service))
        *changes.emplace_back().mutable_add_service() = *service;
    return submitChanges(session, answer->configuration, std::move(changes));
}

ExitStatus runServiceEdit(Session& session, Arguments arguments)
{
    const auto answer = session.readConfiguration(false);
    if (!answer)
        return session.lastFailure();
    const schema::Service* present = findService(answer->configuration, arguments[0]);
    if (present == nullptr)
        return reportUnknownService(session, arguments[0]);
    Json::Value json;
    Json::Reader().parse(toJson(*present, false), json);
    const std::optional<schema::Service> wanted = makeService(json, session.err());
    if (!wanted)
        return ExitStatus::Usage;
    std::vector<schema::Change> changes;
    if (!MessageDifferencer::Equals(*present, *wanted))
        *changes.emplace_back().mutable_edit_service() = *wanted;
    return submitChanges(session, answer->configuration, std::move(changes));
}

ExitStatus runServiceMove(Session& session, Arguments arguments)
{
    if (!isFlagGiven("address") && !isFlagGiven("data_centres")) {
        session.err() << "service move needs --address or --data-centres\n";
        return ExitStatus::Usage;
    }
    const auto answer = session.readConfiguration(false);
    if (!answer)
        return session.lastFailure();
    const schema::Service* present = findService(answer->configuration, arguments[0]);
    if (present == nullptr)
        return reportUnknownService(session, arguments[0]);
    schema::MoveService move;
    move.set_name(arguments[0]);
    if (FLAGS_address != present->address())
        move.set_new_address(FLAGS_address);
    const std::vector<std::string> dataCentres = splitCommas(FLAGS_data_centres);
    if (!std::equal(
            dataCentres.begin(), dataCentres.end(), present->data_centres().begin(), present->data_centres().end()))
        move.mutable_new_data_centres()->Assign(dataCentres.begin(), dataCentres.end());
    std::vector<schema::Change> changes;
    if (!move.new_address().empty() || !move.new_data_centres().empty())
        *changes.emplace_back().mutable_move_service() = move;
    return submitChanges(session, answer->configuration, std::move(changes));
}

ExitStatus runServiceRemove(Session& session, Arguments arguments)
{
    const auto answer = session.readConfiguration(false);
    if (!answer)
        return session.lastFailure();
    std::vector<schema::Change> changes;
    if (findService(answer->configuration, arguments[0]) != nullptr)
        changes.emplace_back().mutable_remove_service()->set_name(arguments[0]);
    return submitChanges(session, answer->configuration, std::move(changes));
}

ExitStatus runServiceList(Session& session, Arguments)
{
    const auto answer = session.readConfiguration(true);
    if (!answer)
        return session.lastFailure();
    schema::Configuration shown;
    shown.set_revision(answer->configuration.revision());
    *shown.mutable_services() = answer->configuration.services();
    if (session.isJson()) {
        session.out() << toJson(shown, true);
        return ExitStatus::Done;
    }
    Table table({ "NAME", "ADDRESS", "PORTS", "PROTOCOL", "NEW/S", "OPEN", "DRAIN", "DATA CENTRES", "NETWORKS" });
    for (const schema::Service& service : shown.services()) {
        table.add({ service.name(), service.address(), joined(service.ports()), protocolName(service),
            limitText(service.max_new_flows_per_second()), limitText(service.max_open_flows()),
            std::to_string(service.drain_deadline_seconds()) + "s",
            service.data_centres().empty() ? "all" : joined(service.data_centres()),
            joined(service.allowed_networks()) });
    }
    table.print(session.out());
    return ExitStatus::Done;
}

}
