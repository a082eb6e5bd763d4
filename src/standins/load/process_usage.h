#pragma once

/// @file
/// Processor time and memory of processes that the caller names.

#include <map>
#include <string>

namespace bergamotroute {

/// What one process has used.
struct ProcessUsage {
    double processorSeconds = 0;
    double residentMegabytes = 0;
};

/// Parses "name=pid,name=pid".
std::map<std::string, int> parseProcesses(const std::string& text);

/// Reads /proc/PID/stat.
/// @return zeros if the process has ended.
ProcessUsage readProcessUsage(int pid);

}
