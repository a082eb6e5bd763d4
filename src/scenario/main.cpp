/// @file
/// Entry point of bergamot-scenario.

#include "scenario/runner.h"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_int64(trace, -1, "Number of the flow whose packet history is printed to standard error; -1 prints none.");

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("bergamot-scenario [--trace FLOW] FILE...\n"
                            "Runs scenario files; exit status 0 if all pass, 1 if one fails, 2 without a file.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (argc < 2) {
        std::cerr << gflags::ProgramUsage() << '\n';
        return 2;
    }
    bergamotroute::scenario::RunOptions options;
    if (FLAGS_trace >= 0) {
        options.tracedFlow = static_cast<bergamotroute::scenario::FlowId>(FLAGS_trace);
        options.traceOutput = &std::cerr;
    }
    bool passed = true;
    for (int index = 1; index < argc; ++index)
        passed = bergamotroute::scenario::runScenarioFile(argv[index], options, std::cout) && passed;
    return passed ? 0 : 1;
}
