#include "bergamotctl/start_timeline.h"

#include "bergamotroute/result_code.h"

#include <cstdio>
#include <map>

namespace bergamotroute {

namespace {

    constexpr const char* startedMessage = "started";

    void recordStep(std::optional<Duration>& step, const std::string& begin, const std::string& end)
    {
        if (step)
            return;
        const std::optional<Duration> from = parseLogTime(begin);
        const std::optional<Duration> until = parseLogTime(end);
        if (from && until)
            step = *until - *from;
    }

    std::optional<Duration> processorTimeOf(const Json::Value& line)
    {
        const std::string text = line["cpu_ms"].asString();
        int milliseconds = 0;
        if (std::sscanf(text.c_str(), "%d", &milliseconds) != 1)
            return std::nullopt;
        return Duration(milliseconds);
    }

    void addStep(HostStart& start, const Json::Value& line)
    {
        const std::string time = line["time"].asString();
        switch (static_cast<ResultCode>(line["code"].asInt())) {
        case ResultCode::ControlHostRegained:
            recordStep(start.controlHost, start.time, time);
            break;
        case ResultCode::DocumentInForce:
            recordStep(start.document, start.time, time);
            break;
        case ResultCode::LeaderElected:
            recordStep(start.leader, start.time, time);
            break;
        case ResultCode::FlowPlaced:
            recordStep(start.firstFlow, start.time, time);
            break;
        default:
            break;
        }
    }

}

std::optional<Duration> parseLogTime(const std::string& time)
{
    int year = 0;
    unsigned month = 0;
    unsigned day = 0;
    int hours = 0;
    int minutes = 0;
    int seconds = 0;
    int milliseconds = 0;
    constexpr int fieldCount = 7;
    if (std::sscanf(
            time.c_str(), "%d-%u-%uT%d:%d:%d.%dZ", &year, &month, &day, &hours, &minutes, &seconds, &milliseconds)
        != fieldCount)
        return std::nullopt;
    const std::chrono::year_month_day date { std::chrono::year(year), std::chrono::month(month),
        std::chrono::day(day) };
    if (!date.ok())
        return std::nullopt;
    return std::chrono::sys_days(date).time_since_epoch() + std::chrono::hours(hours) + std::chrono::minutes(minutes)
        + std::chrono::seconds(seconds) + Duration(milliseconds);
}

std::vector<HostStart> findStarts(const std::vector<Json::Value>& lines)
{
    std::vector<HostStart> starts;
    std::map<std::string, std::size_t> current;
    for (const Json::Value& line : lines) {
        const std::string host = line["host"].asString();
        const std::string program = line["program"].asString();
        const std::string process = host + ' ' + program;
        if (line["message"].asString() == startedMessage) {
            current[process] = starts.size();
            HostStart& start = starts.emplace_back();
            start.host = host;
            start.program = program;
            start.time = line["time"].asString();
            start.processorTime = processorTimeOf(line);
        } else if (const auto found = current.find(process); found != current.end()) {
            addStep(starts[found->second], line);
        }
    }
    return starts;
}

}
