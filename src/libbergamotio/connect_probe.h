#pragma once

/// @file
/// Tests whether something listens at an address, with a TCP connection that is closed at once.

#include "bergamotroute/cookie_steering.h"
#include "libbergamotio/event_loop.h"

#include <functional>

namespace bergamotroute {

/// Opens and closes a connection.
/// @param handler called exactly once, later on the loop.
void probeListener(
    EventLoop& loop, const Endpoint& endpoint, Duration timeout, std::function<void(ProbeOutcome)> handler);

}
