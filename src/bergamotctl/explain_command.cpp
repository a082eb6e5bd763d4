// Explains a flow, a target or a document from the logs of the daemons.

#include "bergamotctl/commands.h"
#include "bergamotctl/flags.h"
#include "bergamotctl/log_lines.h"
#include "bergamotctl/table.h"

#include "bergamotroute/result_code.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
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

}

ExitStatus runExplain(Session& session, Arguments arguments)
{
    std::vector<Json::Value> lines;
    std::size_t ignored = 0;
    if (!readFiles(session, arguments, lines, ignored))
        return ExitStatus::Failed;
    const LogQuery query { FLAGS_flow, FLAGS_target, FLAGS_document, FLAGS_from, FLAGS_until };
    const std::vector<Json::Value> selected = selectLogLines(std::move(lines), query);
    if (session.isJson()) {
        Json::Value list(Json::arrayValue);
        for (const Json::Value& line : selected)
            list.append(line);
        session.out() << list.toStyledString();
        return ExitStatus::Done;
    }
    if (ignored > 0)
        session.err() << ignored << " lines are no log lines\n";
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

}
