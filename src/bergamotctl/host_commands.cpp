// datacentre stop and start; host list, drain, ready and leave.

#include "bergamotctl/commands.h"
#include "bergamotctl/table.h"
#include "libbergamotio/json_schema.h"

#include <iostream>
#include <json/json.h>

namespace bergamotroute {

namespace {

    ExitStatus setDataCentre(Session& session, const std::string& name, bool isStopped)
    {
        const auto answer = session.readConfiguration(false);
        if (!answer)
            return session.lastFailure();
        bool isStoppedNow = false;
        for (const schema::DataCentre& dataCentre : answer->configuration.data_centres())
            isStoppedNow |= dataCentre.name() == name && dataCentre.stopped();
        std::vector<schema::Change> changes;
        if (isStoppedNow != isStopped) {
            schema::DataCentre& wanted = *changes.emplace_back().mutable_set_data_centre();
            wanted.set_name(name);
            wanted.set_stopped(isStopped);
        }
        return submitChanges(session, answer->configuration, std::move(changes));
    }

    schema::HostAdminState adminState(const schema::Configuration& configuration, const std::string& host)
    {
        for (const schema::EntryHostOverride& entry : configuration.entry_hosts()) {
            if (entry.host() == host)
                return entry.state();
        }
        return schema::HOST_READY;
    }

    ExitStatus setHost(Session& session, const std::string& host, schema::HostAdminState state)
    {
        const auto answer = session.readConfiguration(false);
        if (!answer)
            return session.lastFailure();
        std::vector<schema::Change> changes;
        if (adminState(answer->configuration, host) != state) {
            schema::EntryHostOverride& wanted = *changes.emplace_back().mutable_set_entry_host();
            wanted.set_host(host);
            wanted.set_state(state);
        }
        return submitChanges(session, answer->configuration, std::move(changes));
    }

    std::string adminText(schema::HostAdminState state)
    {
        if (state == schema::HOST_DRAIN)
            return "drain";
        return state == schema::HOST_LEAVE ? "leave" : "ready";
    }

    void addHostRow(Table& table, const schema::Configuration& configuration, const EntryAnswer& answer)
    {
        const std::string admin = adminText(adminState(configuration, answer.host));
        if (!answer.isReachable) {
            table.add({ answer.host, "-", "not reachable", admin, "-", "-", "-" });
            return;
        }
        const schema::EntryHostState& state = answer.state;
        table.add({ answer.host, state.data_centre(), memberText(state.member_state()), admin,
            state.has_quorum() ? "yes" : "no", std::to_string(state.peers_size()),
            std::to_string(state.configuration_revision()) });
    }

    Json::Value hostJson(const schema::Configuration& configuration, const EntryAnswer& answer)
    {
        Json::Value entry;
        entry["host"] = answer.host;
        entry["endpoint"] = answer.endpoint;
        entry["reachable"] = answer.isReachable;
        entry["admin"] = adminText(adminState(configuration, answer.host));
        if (answer.isReachable) {
            entry["data_centre"] = answer.state.data_centre();
            entry["state"] = memberText(answer.state.member_state());
            entry["quorum"] = answer.state.has_quorum();
            entry["revision"] = Json::UInt64(answer.state.configuration_revision());
        }
        return entry;
    }

}

std::string memberText(schema::MemberState state)
{
    static constexpr const char* names[] = { "joining", "ready", "leaving", "left", "dead" };
    return schema::MemberState_IsValid(state) ? names[state] : "unknown";
}

ExitStatus runDataCentreStop(Session& session, Arguments arguments)
{
    return setDataCentre(session, arguments[0], true);
}

ExitStatus runDataCentreStart(Session& session, Arguments arguments)
{
    return setDataCentre(session, arguments[0], false);
}

ExitStatus runHostDrain(Session& session, Arguments arguments)
{
    return setHost(session, arguments[0], schema::HOST_DRAIN);
}

ExitStatus runHostReady(Session& session, Arguments arguments)
{
    return setHost(session, arguments[0], schema::HOST_READY);
}

ExitStatus runHostLeave(Session& session, Arguments arguments)
{
    return setHost(session, arguments[0], schema::HOST_LEAVE);
}

ExitStatus runHostList(Session& session, Arguments)
{
    const auto answer = session.readConfiguration(true);
    if (!answer)
        return session.lastFailure();
    const std::vector<EntryAnswer> hosts = session.readEntryStates();
    if (session.isJson()) {
        Json::Value root;
        root["entry_hosts"] = Json::Value(Json::arrayValue);
        for (const EntryAnswer& host : hosts)
            root["entry_hosts"].append(hostJson(answer->configuration, host));
        session.out() << root.toStyledString();
        return ExitStatus::Done;
    }
    Table table({ "HOST", "DATA CENTRE", "STATE", "ADMIN", "QUORUM", "PEERS", "REVISION" });
    for (const EntryAnswer& host : hosts)
        addHostRow(table, answer->configuration, host);
    table.print(session.out());
    return ExitStatus::Done;
}

}
