#pragma once

/// @file
/// Effects of the scenario commands on a deployment.

#include "scenario/deployment.h"
#include "scenario/statement.h"

#include <string>

namespace bergamotroute::scenario {

/// Executes a command of traffic, faults or changes.
/// @param[out] isKnown false if the command belongs to the runner itself.
/// @return what is wrong with the statement, or an empty text.
std::string executeCommand(Deployment& deployment, const Statement& statement, bool& isKnown);

/// Executes a command that accepts a new configuration revision, like executeCommand().
std::string executeConfigurationCommand(Deployment& deployment, const Statement& statement, bool& isKnown);

/// Schedules the opening of flows at an even rate.
void openFlows(Deployment& deployment, std::size_t service, FlowKind kind, std::size_t count, double rate,
    SimTime interval, SimTime lifetime);

/// Sets an operator's override of one backend server in the next revision.
void overrideBackend(
    Deployment& deployment, const BackendServer& backend, schema::BackendAdminState state, std::uint32_t weightPercent);

}
