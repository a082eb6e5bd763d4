#pragma once

/// @file
/// Execution of scenario commands on a deployment.

#include "scenario/deployment.h"
#include "scenario/statement.h"

#include <string>

namespace bergamotroute::scenario {

/// Executes a command that generates traffic, injects a fault or changes the deployment.
/// @param[out] isKnown false if there is no such command here, because the runner executes it itself.
/// @return an error message, or an empty string.
std::string executeCommand(Deployment& deployment, const Statement& statement, bool& isKnown);

/// Executes a command that creates a new configuration revision. Parameters and result are those of executeCommand().
std::string executeConfigurationCommand(Deployment& deployment, const Statement& statement, bool& isKnown);

/// Schedules the opening of flows at a constant rate.
/// @param rate flows opened per second.
void openFlows(Deployment& deployment, std::size_t service, FlowKind kind, std::size_t count, double rate,
    SimTime interval, SimTime lifetime);

/// Creates a configuration revision with the operator override of one backend server.
void overrideBackend(
    Deployment& deployment, const BackendServer& backend, schema::BackendAdminState state, std::uint32_t weightPercent);

}
