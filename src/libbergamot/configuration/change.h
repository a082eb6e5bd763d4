#pragma once

/// @file
/// One change of a configuration: validation and application.

#include "bergamotroute/configuration_machine.h"

namespace bergamotroute {

/// Applies one change.
/// @param force skips the safety checks.
/// @return the refusal; the configuration is unchanged if the change is refused.
CommandStatus applyChange(schema::Configuration& configuration, const schema::Change& change, bool force);

/// Checks the values of a service: name, address, ports, protocol and networks.
CommandStatus checkService(const schema::Service& service);

}
