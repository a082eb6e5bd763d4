/// @file
/// Entry point of bergamot-control.

#include "control_daemon.h"

#include "libbergamotio/json_schema.h"
#include "libbergamotio/log.h"

#include "settings.pb.h"

#include <csignal>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(settings, "", "Settings file in JSON with comments.");
DEFINE_bool(check, false, "Check the settings file and exit.");

namespace bergamotroute {

namespace {

    constexpr int exitSettings = 2;
    constexpr int exitStart = 1;

    int checkSettings(schema::ControlHostSettings& settings)
    {
        if (const InputError error = loadJsonMessage(FLAGS_settings, settings)) {
            std::cerr << error.message << " (code " << error.code.value() << ")\n";
            return exitSettings;
        }
        if (settings.rpc_listen() == settings.operators().listen()) {
            std::cerr << FLAGS_settings << ": rpc_listen and operators.listen are the same address (code "
                      << static_cast<int>(ResultCode::SettingsClash) << ")\n";
            return exitSettings;
        }
        if (settings.heartbeat_ms() * 3 > settings.election_timeout_ms()) {
            std::cerr << FLAGS_settings << ": election_timeout_ms must be at least three times heartbeat_ms (code "
                      << static_cast<int>(ResultCode::SettingsClash) << ")\n";
            return exitSettings;
        }
        return 0;
    }

    int runDaemon(const schema::ControlHostSettings& settings)
    {
        EventLoop loop;
        ControlDaemon daemon(loop, settings);
        if (daemon.start())
            return exitStart;
        loop.onSignal(SIGTERM, [&daemon] { daemon.stop(); });
        loop.onSignal(SIGINT, [&daemon] { daemon.stop(); });
        loop.onSignal(SIGUSR1, [&daemon] { daemon.logState(); });
        loop.run();
        writeLog(LogLevel::Info, ResultCode::Ok, "stopped");
        return 0;
    }

}

}

int main(int argc, char** argv)
{
    using namespace bergamotroute;
    gflags::SetUsageMessage("bergamot-control --settings FILE [--check]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    schema::ControlHostSettings settings;
    if (const int status = checkSettings(settings); status != 0 || FLAGS_check)
        return status;
    const auto& log = settings.log();
    if (openLog("bergamot-control", settings.host(), settings.data_centre(), log.file(), log.level()))
        return exitSettings;
    // A peer that closes its connection must not end the process; a file limit must fail the write, not the process.
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGXFSZ, SIG_IGN);
    return runDaemon(settings);
}
