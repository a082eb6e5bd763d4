#pragma once

/// @file
/// Builds steering decisions.

#include "bergamotroute/cookie_steering.h"
#include "cookie/target_pool.h"

namespace bergamotroute {

/// @return the decision to forward a packet to a target; views in it are valid as long as the target.
SteeringDecision forwardTo(const PooledTarget& target, ResultCode code);

/// @return the decision to reset the flow of a packet.
SteeringDecision refuse(const FlowPacket& packet, ResultCode code);

}
