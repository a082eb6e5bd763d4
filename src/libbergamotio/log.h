#pragma once

/// @file
/// Structured log: one JSON object a line with a numbered result code.

#include "bergamotroute/result_code.h"

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace bergamotroute {

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

/// An additional key and value of a log line.
using LogField = std::pair<std::string_view, std::string>;

/// Sets up the log of this process.
/// @param program name of the program.
/// @param host name of this host.
/// @param dataCentre data centre of this host.
/// @param file path, empty for standard error, or "-" for standard output: buffered, limited for each code, and without
/// ever waiting for the reader. Programs then call flushLog() as setLogFlushScheduler() asks.
/// @param level lowest level to write: debug, info, warning or error.
/// @return ResultCode::InvalidValue for an unknown level, SettingsUnreadable if the file cannot be opened.
std::error_code openLog(std::string_view program, std::string_view host, std::string_view dataCentre,
    const std::string& file, std::string_view level);

/// Sets what is called when lines wait for flushLog().
void setLogFlushScheduler(std::function<void()> schedule);

/// Writes the lines that wait.
void flushLog();

/// Lines that were not written.
struct LogCounters {
    /// Because the reader was too slow.
    std::uint64_t dropped = 0;
    /// Because of the limit of their code.
    std::uint64_t suppressed = 0;
};

LogCounters logCounters();

/// Writes one log line. Control characters in values are escaped, so input cannot forge a line.
void writeLog(LogLevel level, ResultCode code, std::string_view message, std::initializer_list<LogField> fields = {});

}
