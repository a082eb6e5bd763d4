#pragma once

/// @file
/// Main function of the daemons: settings, log, signals, reload and the event loop.

#include "libbergamotio/event_loop.h"
#include "libbergamotio/json_schema.h"
#include "libbergamotio/log.h"
#include "libbergamotio/settings_file.h"

#include <csignal>
#include <functional>
#include <iostream>
#include <memory>

namespace bergamotroute {

/// Reads flags and settings, runs one daemon until it stops, and reads the settings again on SIGHUP or when their file
/// changes.
/// @tparam Settings a schema message with host, data_centre and log.
/// @param create makes the daemon, which has start(), stop() and reload(Settings).
/// @return exit status: 0 after a stop, 1 if the daemon cannot start, 2 for a fault in flags or settings.
template <class Settings, class Create>
int runDaemonProgram(int argc, char** argv, const std::string& program, Create create)
{
    constexpr int exitStart = 1;
    constexpr int exitSettings = 2;
    const DaemonFlags flags = parseDaemonFlags(argc, argv, program);
    Settings settings;
    if (const InputError error = loadJsonMessage(flags.settings, settings)) {
        std::cerr << error.message << " (code " << error.code.value() << ")\n";
        return exitSettings;
    }
    if (flags.check)
        return 0;
    if (openLog(program, settings.host(), settings.data_centre(), settings.log().file(), settings.log().level()))
        return exitSettings;
    // A file limit must fail the write, not the process.
    std::signal(SIGXFSZ, SIG_IGN);
    EventLoop loop;
    constexpr Duration logDelay { 100 };
    Timer logTimer(loop, [] { flushLog(); });
    setLogFlushScheduler([&logTimer, logDelay] { logTimer.start(logDelay); });
    auto daemon = create(loop, settings);
    if (daemon->start()) {
        flushLog();
        return exitStart;
    }
    SettingsWatch watch(loop, flags.settings, [&daemon](const std::string& path) {
        Settings changed;
        if (const InputError error = loadJsonMessage(path, changed))
            writeLog(LogLevel::Error, static_cast<ResultCode>(error.code.value()), error.message);
        else
            daemon->reload(changed);
    });
    loop.onSignal(SIGTERM, [&daemon] { daemon->stop(); });
    loop.onSignal(SIGINT, [&daemon] { daemon->stop(); });
    loop.onSignal(SIGHUP, [&watch] { watch.reload(); });
    loop.run();
    writeLog(LogLevel::Info, ResultCode::Ok, "stopped");
    setLogFlushScheduler({});
    flushLog();
    return 0;
}

}
