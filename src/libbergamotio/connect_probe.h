#pragma once

/// @file
/// Tests whether something listens at an address, with a TCP connection that is closed at once.

#include "bergamotroute/cookie_steering.h"
#include "libbergamotio/event_loop.h"

#include <functional>

namespace bergamotroute {

/// Judges a test without an answer.
/// @param timeout time that the target had.
/// @param elapsed time after which this process came back to the test.
/// @return Inconclusive if the process was paused or overloaded, since the answer may then have been lost or overlooked
/// here.
ProbeOutcome judgeSilence(Duration timeout, Duration elapsed);

/// Opens and closes a connection.
/// @param handler called exactly once, later on the loop.
void probeListener(
    EventLoop& loop, const Endpoint& endpoint, Duration timeout, std::function<void(ProbeOutcome)> handler);

/// Probes a target and, if the request names one, its reference at the same time.
/// @param handler called exactly once, later on the loop; with Inconclusive if neither answers.
void probeTarget(EventLoop& loop, const ProbeRequest& request, std::function<void(ProbeOutcome)> handler);

}
