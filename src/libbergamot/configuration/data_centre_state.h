#pragma once

/// @file
/// Stops data centres and returns them to service.

#include "bergamotroute/configuration_machine.h"

namespace bergamotroute {

/// @return the entry of a data centre, or null if the configuration has none.
const schema::DataCentre* findDataCentre(const schema::Configuration& configuration, const std::string& name);

/// @return true if a data centre is in the configuration and stopped.
bool isDataCentreStopped(const schema::Configuration& configuration, const std::string& name);

/// @return true if a service lists its data centres and all of them are stopped, so that it has no backend server left.
bool hasOnlyStoppedDataCentres(const schema::Configuration& configuration, const schema::Service& service);

/// @return the rejection of a change that would leave a service without a running data centre.
CommandStatus lastDataCentreError(const schema::Service& service);

/// Stops a data centre or returns it to service. A request for the state that the data centre already has is accepted
/// and changes nothing, so that revision, time and caller remain those of the first request.
/// @param force skips the check that no service loses its last running data centre.
/// @param index log index of the change.
CommandStatus setDataCentre(
    schema::Configuration& configuration, const schema::DataCentre& desired, bool force, std::uint64_t index);

}
