#include "libbergamotio/log.h"

#include "bergamotroute/clock.h"
#include "libbergamotio/log_limiter.h"
#include "libbergamotio/log_output.h"

#include <chrono>
#include <fstream>
#include <iostream>
#include <json/json.h>
#include <memory>
#include <sstream>
#include <unistd.h>

// The header of easylogging++ does not pass our warnings; it is included as a system header.
#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace bergamotroute {

namespace {

    /// Name of the log file that stands for standard output.
    constexpr std::string_view standardOutputName = "-";
    /// Most bytes of lines that wait for a slow reader.
    constexpr std::size_t outputCapacityBytes = 256 * 1024;

    struct LogTarget {
        std::string program;
        std::string host;
        std::string dataCentre;
        LogLevel lowest = LogLevel::Info;
        std::unique_ptr<std::ofstream> file;
        std::unique_ptr<LogOutput> output;
        LogLimiter limiter;
        std::function<void()> scheduleFlush;
    };

    LogTarget& logTarget()
    {
        static LogTarget target;
        return target;
    }

    /// Writes each record as it is: the text is a complete JSON line already.
    class JsonDispatch final : public el::LogDispatchCallback {
    protected:
        void handle(const el::LogDispatchData* data) noexcept override
        {
            if (logTarget().output) {
                if (logTarget().output->add(data->logMessage()->message()) && logTarget().scheduleFlush)
                    logTarget().scheduleFlush();
                return;
            }
            std::ostream& out = logTarget().file ? static_cast<std::ostream&>(*logTarget().file) : std::cerr;
            out << data->logMessage()->message() << std::endl;
        }
    };

    void installDispatch()
    {
        el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
        el::Helpers::installLogDispatchCallback<JsonDispatch>("JsonDispatch");
    }

    std::string_view levelName(LogLevel level)
    {
        switch (level) {
        case LogLevel::Debug:
            return "debug";
        case LogLevel::Info:
            return "info";
        case LogLevel::Warning:
            return "warning";
        case LogLevel::Error:
            break;
        }
        return "error";
    }

    std::string timestamp()
    {
        const auto now = std::chrono::system_clock::now();
        const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
        const auto milliseconds
            = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
        std::tm parts {};
        gmtime_r(&seconds, &parts);
        std::array<char, 40> text {};
        const std::size_t length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
        std::string result(text.data(), length);
        const std::string digits = std::to_string(milliseconds);
        return result + '.' + std::string(3 - digits.size(), '0') + digits + 'Z';
    }

    std::string codeName(ResultCode code)
    {
        for (const ResultCodeInfo& info : resultCodeTable()) {
            if (info.code == code)
                return std::string(info.name);
        }
        return "Unknown";
    }

    std::string writeJsonLine(const Json::Value& value)
    {
        // Making a writer costs several times as much as writing a line.
        static const std::unique_ptr<Json::StreamWriter> writer = [] {
            Json::StreamWriterBuilder builder;
            builder["indentation"] = "";
            return std::unique_ptr<Json::StreamWriter>(builder.newStreamWriter());
        }();
        std::ostringstream text;
        writer->write(value, &text);
        return text.str();
    }

    void dispatch(LogLevel level, const std::string& line)
    {
        switch (level) {
        case LogLevel::Debug:
        case LogLevel::Info:
            LOG(INFO) << line;
            break;
        case LogLevel::Warning:
            LOG(WARNING) << line;
            break;
        case LogLevel::Error:
            LOG(ERROR) << line;
            break;
        }
    }

}

std::error_code openLog(std::string_view program, std::string_view host, std::string_view dataCentre,
    const std::string& file, std::string_view level)
{
    LogTarget& target = logTarget();
    bool known = false;
    for (LogLevel candidate : { LogLevel::Debug, LogLevel::Info, LogLevel::Warning, LogLevel::Error }) {
        if (levelName(candidate) != level)
            continue;
        target.lowest = candidate;
        known = true;
    }
    if (!known)
        return ResultCode::InvalidValue;
    target.program = program;
    target.host = host;
    target.dataCentre = dataCentre;
    target.file.reset();
    target.output.reset();
    if (file == standardOutputName) {
        target.output = std::make_unique<LogOutput>(STDOUT_FILENO, outputCapacityBytes);
    } else if (!file.empty()) {
        target.file = std::make_unique<std::ofstream>(file, std::ios::app);
        if (!*target.file)
            return ResultCode::SettingsUnreadable;
    }
    installDispatch();
    return {};
}

void setLogFlushScheduler(std::function<void()> schedule) { logTarget().scheduleFlush = std::move(schedule); }

void flushLog()
{
    LogTarget& target = logTarget();
    if (!target.output)
        return;
    target.output->flush();
    if (const std::uint64_t dropped = target.output->takeDropped(); dropped > 0)
        writeLog(LogLevel::Warning, ResultCode::LogLinesDropped, "log lines dropped: the reader is too slow",
            { { "lines", std::to_string(dropped) } });
}

LogCounters logCounters()
{
    const LogTarget& target = logTarget();
    return { target.output ? target.output->droppedLines() : 0, target.limiter.suppressedLines() };
}

void writeLog(LogLevel level, ResultCode code, std::string_view message, std::initializer_list<LogField> fields)
{
    LogTarget& target = logTarget();
    if (level < target.lowest)
        return;
    std::uint64_t suppressed = 0;
    const auto now = std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
    // Lines on the console and in a file of an operator's choice are not limited.
    if (target.output && level != LogLevel::Error && !target.limiter.admit(code, now, suppressed))
        return;
    Json::Value line(Json::objectValue);
    for (const auto& [key, value] : fields)
        line[std::string(key)] = value;
    line["time"] = timestamp();
    line["level"] = std::string(levelName(level));
    line["program"] = target.program;
    line["host"] = target.host;
    line["data_centre"] = target.dataCentre;
    line["code"] = static_cast<int>(code);
    line["name"] = codeName(code);
    line["message"] = std::string(message);
    if (suppressed > 0)
        line["suppressed"] = Json::UInt64(suppressed);
    dispatch(level, writeJsonLine(line));
}

}
