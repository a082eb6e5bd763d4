#include "standins/common/traffic_identity.h"

#include <random>

namespace bergamotroute {

std::string requestIdentity(std::uint64_t seed, std::uint64_t number)
{
    return std::to_string(seed) + '-' + std::to_string(number);
}

std::string documentBody(std::string_view identity, std::size_t bytes)
{
    constexpr unsigned letters = 26;
    std::seed_seq seed(identity.begin(), identity.end());
    std::minstd_rand random(seed);
    std::string body(bytes, '\0');
    for (char& letter : body)
        letter = static_cast<char>('a' + random() % letters);
    return body;
}

}
