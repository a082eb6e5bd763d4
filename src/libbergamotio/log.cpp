#include "libbergamotio/log.h"

#include <chrono>
#include <fstream>
#include <iostream>
#include <json/json.h>
#include <memory>

// The header of easylogging++ does not pass our warnings; it is included as a system header.
#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace bergamotroute {

namespace {

    struct LogTarget {
        std::string program;
        std::string host;
        std::string dataCentre;
        LogLevel lowest = LogLevel::Info;
        std::unique_ptr<std::ofstream> file;
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

    std::string codeName(ResultCode code)
    {
        for (const ResultCodeInfo& info : resultCodeTable()) {
            if (info.code == code)
                return std::string(info.name);
        }
        return "Unknown";
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
    if (!file.empty()) {
        target.file = std::make_unique<std::ofstream>(file, std::ios::app);
        if (!*target.file)
            return ResultCode::SettingsUnreadable;
    }
    installDispatch();
    return {};
}

void writeLog(LogLevel level, ResultCode code, std::string_view message, std::initializer_list<LogField> fields)
{
    const LogTarget& target = logTarget();
    if (level < target.lowest)
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
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    dispatch(level, Json::writeString(writer, line));
}

}
