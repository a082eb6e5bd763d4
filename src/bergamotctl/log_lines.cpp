#include "bergamotctl/log_lines.h"

#include <algorithm>
#include <memory>
#include <set>

namespace bergamotroute {

namespace {

    std::string fieldOf(const Json::Value& line, const char* key)
    {
        return line[key].isString() ? line[key].asString() : std::string();
    }

    bool isInTime(const Json::Value& line, const LogQuery& query)
    {
        const std::string time = fieldOf(line, "time");
        return (query.from.empty() || time >= query.from) && (query.until.empty() || time <= query.until);
    }

    std::set<std::string> targetsOf(const std::vector<Json::Value>& lines, const LogQuery& query)
    {
        std::set<std::string> targets;
        if (!query.target.empty())
            targets.insert(query.target);
        for (const Json::Value& line : lines) {
            if (!query.flow.empty() && fieldOf(line, "flow") == query.flow)
                targets.insert(fieldOf(line, "target"));
        }
        targets.erase("");
        return targets;
    }

}

void readLogLines(std::istream& input, std::vector<Json::Value>& lines, std::size_t& ignored)
{
    const Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    for (std::string text; std::getline(input, text);) {
        const std::size_t begin = text.find('{');
        Json::Value line;
        std::string fault;
        const bool isLine = begin != std::string::npos
            && reader->parse(text.data() + begin, text.data() + text.size(), &line, &fault) && line.isObject()
            && line.isMember("code") && line.isMember("time");
        if (isLine)
            lines.push_back(std::move(line));
        else
            ++ignored;
    }
}

std::vector<Json::Value> selectLogLines(std::vector<Json::Value> lines, const LogQuery& query)
{
    const bool selectsAll = query.flow.empty() && query.target.empty() && query.document.empty();
    const std::set<std::string> targets = targetsOf(lines, query);
    std::erase_if(lines, [&](const Json::Value& line) {
        const std::string flow = fieldOf(line, "flow");
        // Lines of other flows to the same target are left out unless the target itself is asked for.
        const bool ofTarget = targets.contains(fieldOf(line, "target")) && (flow.empty() || !query.target.empty());
        const bool ofFlow = !query.flow.empty() && flow == query.flow;
        const bool ofDocument = !query.document.empty() && flow.empty() && fieldOf(line, "version") == query.document;
        return !isInTime(line, query) || !(selectsAll || ofTarget || ofFlow || ofDocument);
    });
    std::stable_sort(lines.begin(), lines.end(), [](const Json::Value& left, const Json::Value& right) {
        return fieldOf(left, "time") < fieldOf(right, "time");
    });
    return lines;
}

}
