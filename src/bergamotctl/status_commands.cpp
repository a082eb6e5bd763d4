// status and request show.

#include "bergamotctl/commands.h"
#include "bergamotctl/table.h"

#include <iostream>
#include <json/json.h>

namespace bergamotroute {

namespace {

    std::string yesNo(bool value) { return value ? "yes" : "no"; }

    void printEntry(Session& session, const std::vector<EntryAnswer>& answers)
    {
        Table table({ "ENTRY HOST", "DATA CENTRE", "STATE", "QUORUM", "REVISION", "FLOWS", "PINNED" });
        for (const EntryAnswer& answer : answers) {
            if (!answer.isReachable) {
                table.add({ answer.host, "-", "not reachable", "-", "-", "-", "-" });
                continue;
            }
            const schema::EntryHostState& state = answer.state;
            table.add({ state.host(), state.data_centre(), memberText(state.member_state()), yesNo(state.has_quorum()),
                std::to_string(state.configuration_revision()), std::to_string(state.cached_flows()),
                std::to_string(state.pinned_flows()) });
        }
        table.print(session.out());
    }

}

void printControlHosts(Session& session, const std::vector<ControlAnswer>& answers)
{
    Table table({ "CONTROL HOST", "ROLE", "TERM", "COMMITTED", "LEASE", "STORAGE" });
    for (const ControlAnswer& answer : answers) {
        if (!answer.isReachable) {
            table.add({ answer.host, "not reachable", "-", "-", "-", "-" });
            continue;
        }
        const schema::ControlHostState& state = answer.state;
        table.add({ state.host(), state.role(), std::to_string(state.term()), std::to_string(state.commit_index()),
            state.lease_valid() ? "valid" : "-", state.storage_failed() ? "failed" : "ok" });
    }
    table.print(session.out());
}

ExitStatus runStatus(Session& session, Arguments)
{
    const std::vector<ControlAnswer> control = session.readControlStates();
    const std::vector<EntryAnswer> entry = session.readEntryStates();
    if (session.isJson()) {
        Json::Value root;
        root["control_hosts"] = toJsonList(control);
        root["entry_hosts"] = toJsonList(entry);
        session.out() << root.toStyledString();
    } else {
        printControlHosts(session, control);
        session.out() << '\n';
        printEntry(session, entry);
    }
    const auto isReachable = [](const auto& answer) { return answer.isReachable; };
    const bool hasAnswer = std::any_of(control.begin(), control.end(), isReachable)
        || std::any_of(entry.begin(), entry.end(), isReachable);
    return hasAnswer ? ExitStatus::Done : ExitStatus::NotReachable;
}

ExitStatus runRequestShow(Session& session, Arguments arguments) { return session.showRequest(arguments[0]); }

}
