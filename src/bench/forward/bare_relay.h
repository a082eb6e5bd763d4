#pragma once

/// @file
/// The baseline of the forwarding benchmark: receives batches and sends them on, without any decision.

#include "bergamotroute/types.h"

namespace bergamotroute {

/// Relays datagrams until the process ends.
/// @param descriptor bound, blocking UDP socket.
/// @param target where all datagrams go.
[[noreturn]] void runBareRelay(int descriptor, const Endpoint& target);

}
