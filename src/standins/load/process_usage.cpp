#include "standins/load/process_usage.h"

#include <fstream>
#include <sstream>
#include <unistd.h>

namespace bergamotroute {

std::map<std::string, int> parseProcesses(const std::string& text)
{
    std::map<std::string, int> result;
    std::istringstream items(text);
    for (std::string item; std::getline(items, item, ',');) {
        const std::size_t equals = item.find('=');
        if (equals != std::string::npos)
            result[item.substr(0, equals)] = std::atoi(item.c_str() + equals + 1);
    }
    return result;
}

ProcessUsage readProcessUsage(int pid)
{
    // Fields after the program name, counted from the state (proc(5)).
    constexpr int userTime = 11;
    constexpr int systemTime = 12;
    constexpr int residentPages = 21;
    constexpr double bytesPerMegabyte = 1024.0 * 1024.0;
    ProcessUsage usage;
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string line;
    if (!std::getline(file, line) || line.rfind(')') == std::string::npos)
        return usage;
    std::istringstream fields(line.substr(line.rfind(')') + 2));
    std::string field;
    for (int i = 0; fields >> field && i <= residentPages; ++i) {
        if (i == userTime || i == systemTime)
            usage.processorSeconds += std::stod(field) / static_cast<double>(sysconf(_SC_CLK_TCK));
        if (i == residentPages)
            usage.residentMegabytes = std::stod(field) * static_cast<double>(sysconf(_SC_PAGESIZE)) / bytesPerMegabyte;
    }
    return usage;
}

}
