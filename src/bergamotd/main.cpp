/// @file
/// Entry point of bergamotd.

#include "bergamotd/entry_daemon.h"
#include "bergamotd/settings_check.h"
#include "libbergamotio/json_schema.h"
#include "libbergamotio/log.h"

#include <csignal>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(settings, "", "Settings file in JSON with comments.");
DEFINE_bool(check, false, "Check the settings file and exit.");
DEFINE_string(configuration, "", "Configuration file in JSON; for tests without control hosts.");

namespace {

using namespace bergamotroute;

constexpr int exitFailure = 1;
constexpr int exitUsage = 2;

int fail(int status, const std::string& message)
{
    std::cerr << "bergamotd: " << message << '\n';
    return status;
}

/// The first signal starts a graceful leave, the second ends the process at once.
void installSignals(EventLoop& loop, EntryDaemon& daemon, bool& leaving)
{
    const auto terminate = [&] {
        if (leaving)
            loop.stop();
        else
            daemon.leave();
        leaving = true;
    };
    loop.onSignal(SIGTERM, terminate);
    loop.onSignal(SIGINT, terminate);
    loop.onSignal(SIGUSR1, [&daemon] { daemon.logState(); });
}

int runDaemon(const schema::EntryHostSettings& settings)
{
    schema::Configuration configuration;
    if (!FLAGS_configuration.empty()) {
        if (const InputError error = loadJsonMessage(FLAGS_configuration, configuration))
            return fail(exitUsage, error.message);
    }
    EventLoop loop;
    EntryDaemon daemon(loop, settings);
    std::string detail;
    if (const std::error_code error = daemon.start(detail))
        return fail(exitFailure, detail + ": " + error.message());
    if (configuration.revision() > 0)
        daemon.applyConfiguration(configuration);
    bool leaving = false;
    installSignals(loop, daemon, leaving);
    writeLog(LogLevel::Info, ResultCode::Ok, "started");
    loop.run();
    writeLog(LogLevel::Info, ResultCode::Ok, "stopped");
    return 0;
}

}

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("bergamotd --settings FILE [--check]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    schema::EntryHostSettings settings;
    if (const InputError error = loadJsonMessage(FLAGS_settings, settings))
        return fail(exitUsage, error.message + " (code " + std::to_string(error.code.value()) + ')');
    if (const std::string clash = findSettingsClash(settings); !clash.empty())
        return fail(exitUsage,
            FLAGS_settings + ": " + clash + " (code " + std::to_string(static_cast<int>(ResultCode::SettingsClash))
                + ')');
    if (FLAGS_check)
        return 0;
    if (openLog("bergamotd", settings.host(), settings.data_centre(), settings.log().file(), settings.log().level()))
        return fail(exitUsage, "cannot open the log");
    return runDaemon(settings);
}
