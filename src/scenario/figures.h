#pragma once

/// @file
/// Figures (counters and gauges) that scenarios and experiments read from a deployment.

#include "scenario/deployment.h"

#include <optional>
#include <string>
#include <vector>

namespace bergamotroute::scenario {

/// Counter values at one time, the baseline for figures that count since the last "mark" command.
struct CounterSnapshot {
    SimTime time = 0;
    Counters counters {};
    /// Flows accepted so far, by index of the backend server.
    std::vector<std::uint64_t> accepted;
};

CounterSnapshot takeSnapshot(Deployment& deployment);

/// Reads one figure.
/// @param figure name of a counter or gauge in the scenario language.
/// @param subject name of the service, backend server or host to which the figure applies; empty if it applies to none.
/// @param snapshot baseline that is subtracted from counters.
/// @param[out] error why the figure could not be read.
double readFigure(Deployment& deployment, const std::string& figure, const std::string& subject,
    const CounterSnapshot& snapshot, std::string& error);

/// @return the largest number of open flows divided by the mean, over the backend servers of a service that accept new
/// flows.
double openImbalance(Deployment& deployment, std::size_t service);

/// @return the highest control traffic of any entry host since the snapshot, in bytes per second averaged over 10 s.
double controlBytes(Deployment& deployment, const CounterSnapshot& snapshot);

}
