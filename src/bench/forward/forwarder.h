#pragma once

/// @file
/// The two processes that the forwarding benchmark compares.

#include "bergamotroute/types.h"
#include "libbergamotio/child_process.h"

#include <memory>
#include <string>
#include <system_error>

namespace bergamotroute {

/// Starts the bare relay.
/// @param[out] listen where it receives.
/// @param[out] error AddressUnavailable or ProcessStartFailed.
std::unique_ptr<ChildProcess> startBareRelay(const Endpoint& target, Endpoint& listen, std::error_code& error);

/// Addresses and ports of the bergamotd under test.
struct DaemonPlaces {
    std::string folder;
    Endpoint fabric;
    Endpoint announce;
    Endpoint service;
    Endpoint target;
};

/// Chooses free addresses on loopback by this process's number.
DaemonPlaces choosePlaces(const std::string& folder);

/// Writes settings and configuration and starts bergamotd alone in its steering group.
/// @param[out] error ProcessStartFailed.
std::unique_ptr<ChildProcess> startDaemon(
    const std::string& program, const DaemonPlaces& places, std::error_code& error);

}
