#include "cookie/steering_decisions.h"

namespace bergamotroute {

SteeringDecision forwardTo(const PooledTarget& target, ResultCode code)
{
    SteeringDecision decision;
    decision.action = SteeringAction::Forward;
    decision.code = code;
    decision.endpoint = target.endpoint;
    decision.targetNumber = target.number;
    decision.cookie = target.cookie;
    decision.target = target.id;
    decision.service = target.service;
    return decision;
}

SteeringDecision refuse(const FlowPacket& packet, ResultCode code)
{
    SteeringDecision decision;
    decision.action = SteeringAction::Reset;
    decision.code = code;
    decision.resetSequence = packet.acknowledgement;
    return decision;
}

}
