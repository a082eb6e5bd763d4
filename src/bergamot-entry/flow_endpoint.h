#pragma once

/// @file
/// Converts addresses of flows.

#include "bergamotroute/types.h"

#include <cstdint>

namespace bergamotroute {

/// @param address IPv4 address in host byte order, as in FlowId.
Endpoint toEndpoint(std::uint32_t address, std::uint16_t port);

}
