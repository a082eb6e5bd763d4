#include "libbergamotio/settings_file.h"

#include <fstream>
#include <gflags/gflags.h>
#include <sstream>
#include <xxhash.h>

DEFINE_string(settings, "", "Settings file in JSON with comments.");
DEFINE_bool(check, false, "Check the settings file and exit.");

namespace bergamotroute {

namespace {

    /// The file may change without a signal. Reading it is cheap against the time in which hosts are replaced.
    constexpr Duration checkInterval { 5000 };

}

DaemonFlags parseDaemonFlags(int& argc, char**& argv, const std::string& program)
{
    gflags::SetUsageMessage(program + " --settings FILE [--check]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return { FLAGS_settings, FLAGS_check };
}

SettingsWatch::SettingsWatch(EventLoop& loop, std::string path, std::function<void(const std::string&)> handler)
    : m_path(std::move(path))
    , m_handler(std::move(handler))
    , m_fingerprint(fingerprint())
    , m_timer(loop, [this] { check(); })
{
    m_timer.start(checkInterval);
}

std::uint64_t SettingsWatch::fingerprint() const
{
    const std::ifstream file(m_path, std::ios::binary);
    std::ostringstream content;
    content << file.rdbuf();
    const std::string text = content.str();
    return XXH3_64bits(text.data(), text.size());
}

void SettingsWatch::reload()
{
    m_fingerprint = fingerprint();
    m_handler(m_path);
}

void SettingsWatch::check()
{
    if (fingerprint() != m_fingerprint)
        reload();
    m_timer.start(checkInterval);
}

}
