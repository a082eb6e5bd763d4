/// @file
/// Measures the imbalance across backend servers: largest over mean of open flows and of busy slots, in steady state
/// and within 10 s after a change. Prints one JSON object a line. Time is simulated; the seeds are fixed.

#include "imbalance/balancing_policy.h"
#include "imbalance/simulation.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iostream>
#include <json/json.h>
#include <string>
#include <vector>

using namespace bergamotroute::bench;

namespace {

constexpr std::uint64_t seedCount = 5;

struct PolicyCase {
    const char* name;
    std::function<std::unique_ptr<BalancingPolicy>(std::uint64_t seed)> make;
};

struct ChangeCase {
    const char* name;
    Change change;
};

std::vector<PolicyCase> policyCases()
{
    const auto planner
        = [](ReportFault fault) { return [fault](std::uint64_t seed) { return makePlannerPolicy(fault, seed); }; };
    return {
        { "modulo", [](std::uint64_t) { return makeModuloPolicy(); } },
        { "stable-table", [](std::uint64_t) { return makeStableTablePolicy(); } },
        { "planner", planner(ReportFault::None) },
        { "planner-third-lags-5s", planner(ReportFault::ThirdLags) },
        { "planner-one-claims-idle", planner(ReportFault::OneClaimsIdle) },
        { "planner-one-understates", planner(ReportFault::OneUnderstates) },
    };
}

const std::vector<ChangeCase> changeCases {
    { "drain", Change::Drain },
    { "add", Change::Add },
    { "reweight", Change::Reweight },
    { "death", Change::Death },
};

/// Mean and worst of a figure over the seeds.
struct Figure {
    double sum = 0;
    double worst = 0;

    void add(double typical, double largest)
    {
        sum += typical;
        worst = std::max(worst, largest);
    }
};

void print(Json::Value& line, const std::string& name, const Figure& figure)
{
    const auto rounded = [](double value) { return static_cast<double>(std::lround(value * 1000)) / 1000; };
    line[name + "Mean"] = rounded(figure.sum / static_cast<double>(seedCount));
    line[name + "Worst"] = rounded(figure.worst);
}

void runCase(const PolicyCase& policyCase, const ChangeCase& changeCase, std::uint32_t slots)
{
    Figure steadyOpen;
    Figure steadyBusy;
    Figure afterOpen;
    Figure afterBusy;
    RunResult last;
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        RunOptions options;
        options.slots = slots;
        options.change = changeCase.change;
        options.seed = seed;
        const auto policy = policyCase.make(seed);
        last = runSimulation(options, *policy);
        steadyOpen.add(last.steady.openMean, last.steady.openWorst);
        steadyBusy.add(last.steady.busyMean, last.steady.busyWorst);
        afterOpen.add(last.afterChange.openMean, last.afterChange.openWorst);
        afterBusy.add(last.afterChange.busyMean, last.afterChange.busyWorst);
    }
    Json::Value line;
    line["benchmark"] = "imbalance";
    line["policy"] = policyCase.name;
    line["change"] = changeCase.name;
    line["slots"] = slots == 0 ? Json::Value("2 and 3") : Json::Value(slots);
    line["seeds"] = static_cast<Json::UInt64>(seedCount);
    print(line, "steadyOpen", steadyOpen);
    print(line, "steadyBusy", steadyBusy);
    print(line, "afterOpen", afterOpen);
    print(line, "afterBusy", afterBusy);
    line["brokenFeeds"] = static_cast<Json::UInt64>(last.brokenFeeds);
    line["tableChanges"] = static_cast<Json::UInt64>(last.tableChanges);
    line["movedBuckets"] = last.movedBuckets;
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    writer["precision"] = 4;
    std::cout << Json::writeString(writer, line) << std::endl;
}

}

/// Without arguments all cases run; an argument selects the policies whose name contains it.
int main(int argc, char** argv)
{
    const std::string filter = argc > 1 ? argv[1] : "";
    for (const std::uint32_t slots : { 2U, 3U, 0U }) {
        for (const PolicyCase& policyCase : policyCases()) {
            if (std::string(policyCase.name).find(filter) == std::string::npos)
                continue;
            for (const ChangeCase& changeCase : changeCases)
                runCase(policyCase, changeCase, slots);
        }
    }
    return 0;
}
