#include "libbergamotio/log.h"

#include "bergamotroute/clock.h"
#include "libbergamotio/log_limiter.h"
#include "libbergamotio/log_line.h"
#include "libbergamotio/log_output.h"

#include <array>
#include <chrono>
#include <fstream>
#include <iostream>
#include <memory>
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
        /// Program, host and data centre, which stand in every line.
        LogLine origin;
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

    std::string_view codeName(ResultCode code)
    {
        for (const ResultCodeInfo& info : resultCodeTable()) {
            if (info.code == code)
                return info.name;
        }
        return "Unknown";
    }

    void dispatch(LogLevel level, const std::string& line)
    {
        LogTarget& target = logTarget();
        if (target.output) {
            // A record of easylogging++ costs several times as much as the line, and the bounded output needs none of
            // it.
            if (target.output->add(line) && target.scheduleFlush)
                target.scheduleFlush();
            return;
        }
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
    target.origin = {};
    target.origin.add("program", program);
    target.origin.add("host", host);
    target.origin.add("data_centre", dataCentre);
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
    LogLine line;
    line.add("time", timestamp());
    line.add("level", levelName(level));
    line.addPairs(target.origin.pairs());
    line.add("code", static_cast<std::uint64_t>(code));
    line.add("name", codeName(code));
    line.add("message", message);
    for (const auto& [key, value] : fields)
        line.add(key, value);
    if (suppressed > 0)
        line.add("suppressed", suppressed);
    dispatch(level, line.text());
}

}
