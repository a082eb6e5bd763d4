/// @file
/// Entry point of bergamot-control.

#include "libbergamotio/json_schema.h"
#include "libbergamotio/log.h"

#include "settings.pb.h"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(settings, "", "Settings file in JSON with comments.");
DEFINE_bool(check, false, "Check the settings file and exit.");

int main(int argc, char** argv)
{
    using namespace bergamotroute;
    gflags::SetUsageMessage("bergamot-control --settings FILE [--check]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    schema::ControlHostSettings settings;
    if (const InputError error = loadJsonMessage(FLAGS_settings, settings)) {
        std::cerr << error.message << " (code " << error.code.value() << ")\n";
        return 2;
    }
    if (FLAGS_check)
        return 0;
    if (openLog(
            "bergamot-control", settings.host(), settings.data_centre(), settings.log().file(), settings.log().level()))
        return 2;
    writeLog(LogLevel::Info, ResultCode::Ok, "started");
    return 0;
}
