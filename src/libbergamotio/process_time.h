#pragma once

/// @file
/// Processor time of this process.

#include "bergamotroute/clock.h"

namespace bergamotroute {

/// @return processor time that this process has used since its start.
Duration processorTime();

}
