// dump, history and watch.

#include "bergamotctl/commands.h"
#include "bergamotctl/flags.h"
#include "bergamotctl/table.h"
#include "bergamotroute/manifest_diff.h"
#include "libbergamotio/json_schema.h"

#include <iostream>
#include <json/json.h>

namespace bergamotroute {

namespace {

    /// A control host answers a watch within 20 s.
    constexpr std::chrono::milliseconds watchTimeout { 25'000 };

    void addEntryRow(Table& table, const schema::LogEntry& entry)
    {
        const schema::Command& command = entry.command();
        const std::string index = std::to_string(entry.index());
        for (const schema::Change& change : command.changes())
            table.add({ index, command.operator_name().empty() ? "-" : command.operator_name(), command.request_id(),
                describeChange(change) });
    }

    void printRevision(Session& session, const schema::Configuration& configuration)
    {
        if (session.isJson())
            session.out() << toJson(configuration, false) << std::endl;
        else
            session.out() << "revision " << configuration.revision() << ": " << configuration.services_size()
                          << " services, " << configuration.backends_size() << " backend overrides" << std::endl;
    }

}

std::string findEndpoint(const Session& session, const std::string& host)
{
    for (const auto* list : { &session.settings().entry_hosts(), &session.settings().control_hosts() }) {
        for (const schema::OperatorEndpoint& entry : *list) {
            if (entry.host() == host || entry.endpoint() == host)
                return entry.endpoint();
        }
    }
    return {};
}

std::optional<HttpAnswer> askHost(
    Session& session, const std::string& host, const std::string& path, ExitStatus& status)
{
    const std::string endpoint = findEndpoint(session, host);
    if (endpoint.empty()) {
        session.err() << "host '" << host << "' is not in the settings; see --entry and --control\n";
        status = ExitStatus::Usage;
        return std::nullopt;
    }
    HttpAnswer answer = session.sendTo(endpoint, path);
    if (answer.status == 200)
        return answer;
    status = answer.status == 0 ? ExitStatus::NotReachable : ExitStatus::Failed;
    if (answer.status == 0)
        session.err() << host << ": " << answer.error.message() << '\n';
    else
        session.err() << host << ": HTTP status " << answer.status << '\n';
    return std::nullopt;
}

ExitStatus runDump(Session& session, Arguments arguments)
{
    ExitStatus status = ExitStatus::Done;
    const std::optional<HttpAnswer> answer = askHost(session, arguments[0], "/v1/state", status);
    if (!answer)
        return status;
    Json::Value root;
    if (!Json::Reader().parse(answer->body, root)) {
        session.err() << arguments[0] << ": the answer is not JSON\n";
        return ExitStatus::Failed;
    }
    session.out() << root.toStyledString();
    return ExitStatus::Done;
}

ExitStatus runHistory(Session& session, Arguments)
{
    std::string fault;
    const auto answer = session.askLeaderFirst("/v1/history?since=" + std::to_string(FLAGS_since), fault);
    if (!answer) {
        session.err() << "the history cannot be read: " << fault << '\n';
        return session.lastFailure();
    }
    Json::Value root;
    if (!Json::Reader().parse(answer->body, root) || !root["entries"].isArray()) {
        session.err() << "the history is malformed\n";
        return ExitStatus::Failed;
    }
    if (session.isJson()) {
        session.out() << root.toStyledString();
        return ExitStatus::Done;
    }
    Table table({ "REVISION", "OPERATOR", "REQUEST", "CHANGE" });
    for (const Json::Value& item : root["entries"]) {
        schema::LogEntry entry;
        if (readJson(item.toStyledString(), entry) && entry.index() > FLAGS_since)
            addEntryRow(table, entry);
    }
    table.print(session.out());
    return ExitStatus::Done;
}

ExitStatus runWatch(Session& session, Arguments)
{
    std::uint64_t since = FLAGS_since;
    for (std::uint32_t printed = 0; FLAGS_count == 0 || printed < FLAGS_count;) {
        session.restartDeadline();
        std::string fault;
        const auto answer = session.askControl("/v1/watch?since=" + std::to_string(since), watchTimeout, fault);
        schema::Configuration configuration;
        if (!answer || !readJson(answer->body, configuration)) {
            session.err() << "the watch ended: " << (answer ? "the answer is malformed" : fault) << '\n';
            return answer ? ExitStatus::Failed : session.lastFailure();
        }
        // Without a change the answer after 20 s repeats the revision that is known.
        if (configuration.revision() <= since)
            continue;
        since = configuration.revision();
        printRevision(session, configuration);
        ++printed;
    }
    return ExitStatus::Done;
}

}
