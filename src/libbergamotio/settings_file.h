#pragma once

/// @file
/// Flags of the daemons, and a watch on their settings file.

#include "libbergamotio/event_loop.h"

#include <functional>
#include <string>

namespace bergamotroute {

struct DaemonFlags {
    /// Path of the settings file.
    std::string settings;
    /// Only check the settings.
    bool check = false;
};

/// Parses --settings and --check.
DaemonFlags parseDaemonFlags(int& argc, char**& argv, const std::string& program);

/// Calls a handler when the content of a file has changed, or when told to.
class SettingsWatch {
public:
    SettingsWatch(EventLoop& loop, std::string path, std::function<void(const std::string& path)> handler);

    /// Calls the handler now.
    void reload();

private:
    std::uint64_t fingerprint() const;
    void check();

    std::string m_path;
    std::function<void(const std::string&)> m_handler;
    std::uint64_t m_fingerprint;
    Timer m_timer;
};

}
