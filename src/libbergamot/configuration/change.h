#pragma once

/// @file
/// Validates and applies single configuration changes.

#include "bergamotroute/configuration_machine.h"

namespace bergamotroute {

/// Validates and applies one change.
/// @param force skips the check that no service loses its last running data centre.
/// @param index log index of the change; zero when it is only checked.
/// @return the status of the change; the configuration is unchanged if the change is rejected.
CommandStatus applyChange(
    schema::Configuration& configuration, const schema::Change& change, bool force, std::uint64_t index);

/// Validates the name, address, ports, protocol and allowed networks of a service.
CommandStatus checkService(const schema::Service& service);

}
