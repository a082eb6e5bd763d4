#pragma once

/// @file
/// Figures that scenarios and experiments read from a deployment.

#include "scenario/deployment.h"

#include <optional>
#include <string>
#include <vector>

namespace bergamotroute::scenario {

/// State of the counters at a moment.
struct CounterSnapshot {
    SimTime time = 0;
    Counters counters {};
    /// Flows accepted by each backend server.
    std::vector<std::uint64_t> accepted;
};

CounterSnapshot takeSnapshot(Deployment& deployment);

/// Reads one figure.
/// @param figure name as in docs/SCENARIOS.md.
/// @param subject service, target or host that the figure needs; may be empty.
/// @param mark counters are counted from here.
/// @param[out] error why the figure could not be read.
double readFigure(Deployment& deployment, const std::string& figure, const std::string& subject,
    const CounterSnapshot& snapshot, std::string& error);

/// @return largest over mean of open flows of the backend servers of a service that take new flows.
double openImbalance(Deployment& deployment, std::size_t service);

/// @return control bytes a second of the busiest entry host, averaged over 10 s, since the mark.
double controlBytes(Deployment& deployment, const CounterSnapshot& snapshot);

}
