/// @file
/// Entry point of bergamot-properties.

#include "properties.h"

#include <cstdlib>
#include <gflags/gflags.h>
#include <google/protobuf/stubs/logging.h>
#include <iostream>
#include <map>
#include <string>

DEFINE_uint64(seed, 20'260, "Seed of the random generators.");
DEFINE_uint64(runs, 200, "Number of cases per property; use 100000 for a long run.");
DEFINE_string(group, "", "Runs only this group of properties.");

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::string parameters
        = "seed=" + std::to_string(FLAGS_seed) + " max_success=" + std::to_string(FLAGS_runs) + " max_size=200";
    setenv("RC_PARAMS", parameters.c_str(), 1);
    // The tests parse malformed messages on purpose; the protobuf log line for each would hide the results.
    google::protobuf::SetLogHandler(nullptr);
    using namespace bergamotroute::properties;
    const std::map<std::string, bool (*)()> groups = { { "packets", checkPackets }, { "input-files", checkInputFiles },
        { "json-round-trip", checkJsonRoundTrip }, { "scenario-files", checkScenarioFiles },
        { "stored-frames", checkStoredFrames }, { "entry-host", checkEntryHostInput },
        { "announcements", checkAnnouncements }, { "commands", checkCommands } };
    if (!FLAGS_group.empty() && !groups.contains(FLAGS_group)) {
        std::cerr << "no group named \"" << FLAGS_group << "\"\n";
        return 2;
    }
    bool passed = true;
    for (const auto& [name, check] : groups) {
        if (FLAGS_group.empty() || FLAGS_group == name)
            passed = check() && passed;
    }
    return passed ? 0 : 1;
}
