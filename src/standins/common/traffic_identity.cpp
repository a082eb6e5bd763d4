#include "standins/common/traffic_identity.h"

namespace bergamotroute {

std::string requestIdentity(std::uint64_t seed, std::uint64_t number)
{
    return std::to_string(seed) + '-' + std::to_string(number);
}

}
