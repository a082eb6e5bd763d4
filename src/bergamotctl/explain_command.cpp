// Commands that read the logs of the daemons: explain a flow, a target or a document, and show the steps of starts.

#include "bergamotctl/commands.h"
#include "bergamotctl/flags.h"
#include "bergamotctl/log_lines.h"
#include "bergamotctl/start_timeline.h"
#include "bergamotctl/table.h"

#include "bergamotroute/result_code.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>

namespace bergamotroute {

namespace {

    /// Keys with columns of their own, or without use for a reader.
    constexpr std::array<std::string_view, 8> shownKeys { "time", "host", "name", "code", "level", "program",
        "data_centre", "message" };

    std::string describeFields(const Json::Value& line)
    {
        std::string text = line["message"].asString();
        for (const std::string& key : line.getMemberNames()) {
            const bool isShown = std::find(shownKeys.begin(), shownKeys.end(), key) != shownKeys.end();
            if (!isShown && !line[key].asString().empty())
                text += ' ' + key + '=' + line[key].asString();
        }
        return text;
    }

    void printMeanings(std::ostream& out, const std::vector<Json::Value>& lines)
    {
        std::map<int, bool> used;
        for (const Json::Value& line : lines)
            used[line["code"].asInt()] = true;
        out << '\n';
        for (const ResultCodeInfo& info : resultCodeTable()) {
            if (info.code != ResultCode::Ok && used.contains(static_cast<int>(info.code)))
                out << info.name << ": " << info.help << '\n';
        }
    }

    bool readFiles(Session& session, Arguments files, std::vector<Json::Value>& lines, std::size_t& ignored)
    {
        for (const std::string& file : files) {
            if (file == "-") {
                readLogLines(std::cin, lines, ignored);
                continue;
            }
            std::ifstream input(file);
            if (!input) {
                session.err() << file << ": cannot be opened\n";
                return false;
            }
            readLogLines(input, lines, ignored);
        }
        return true;
    }

    /// Prints a JSON array.
    ExitStatus printJson(Session& session, const std::vector<Json::Value>& items)
    {
        Json::Value list(Json::arrayValue);
        for (const Json::Value& item : items)
            list.append(item);
        session.out() << list.toStyledString();
        return ExitStatus::Done;
    }

    void reportIgnored(Session& session, std::size_t ignored)
    {
        if (ignored > 0)
            session.err() << ignored << " lines are no log lines\n";
    }

    /// @return milliseconds, or "-" if the step is absent.
    std::string describeStep(const std::optional<Duration>& step) { return step ? std::to_string(step->count()) : "-"; }

    Json::Value jsonOf(const HostStart& start)
    {
        Json::Value object;
        object["host"] = start.host;
        object["program"] = start.program;
        object["time"] = start.time;
        const auto add = [&object](const char* key, const std::optional<Duration>& step) {
            if (step)
                object[key] = static_cast<Json::Int64>(step->count());
        };
        add("cpu_ms", start.processorTime);
        add("control_host_ms", start.controlHost);
        add("document_ms", start.document);
        add("leader_ms", start.leader);
        add("first_flow_ms", start.firstFlow);
        return object;
    }

}

ExitStatus runExplain(Session& session, Arguments arguments)
{
    std::vector<Json::Value> lines;
    std::size_t ignored = 0;
    if (!readFiles(session, arguments, lines, ignored))
        return ExitStatus::Failed;
    const LogQuery query { FLAGS_flow, FLAGS_target, FLAGS_document, FLAGS_from, FLAGS_until };
    const std::vector<Json::Value> selected = selectLogLines(std::move(lines), query);
    if (session.isJson())
        return printJson(session, selected);
    reportIgnored(session, ignored);
    if (selected.empty()) {
        session.err() << "no log line matches\n";
        return ExitStatus::Failed;
    }
    Table table({ "TIME", "HOST", "DECISION", "DETAIL" });
    for (const Json::Value& line : selected)
        table.add({ line["time"].asString(), line["host"].asString(), line["name"].asString(), describeFields(line) });
    table.print(session.out());
    printMeanings(session.out(), selected);
    return ExitStatus::Done;
}

ExitStatus runTimeline(Session& session, Arguments arguments)
{
    std::vector<Json::Value> lines;
    std::size_t ignored = 0;
    if (!readFiles(session, arguments, lines, ignored))
        return ExitStatus::Failed;
    LogQuery query;
    query.from = FLAGS_from;
    query.until = FLAGS_until;
    const std::vector<HostStart> starts = findStarts(selectLogLines(std::move(lines), query));
    if (session.isJson()) {
        std::vector<Json::Value> objects;
        std::transform(starts.begin(), starts.end(), std::back_inserter(objects), jsonOf);
        return printJson(session, objects);
    }
    reportIgnored(session, ignored);
    if (starts.empty()) {
        session.err() << "no start is logged\n";
        return ExitStatus::Failed;
    }
    Table table({ "STARTED", "HOST", "CPU_MS", "CONTROL_HOST_MS", "DOCUMENT_MS", "LEADER_MS", "FIRST_FLOW_MS" });
    for (const HostStart& start : starts) {
        table.add({ start.time, start.host, describeStep(start.processorTime), describeStep(start.controlHost),
            describeStep(start.document), describeStep(start.leader), describeStep(start.firstFlow) });
    }
    table.print(session.out());
    return ExitStatus::Done;
}

}
