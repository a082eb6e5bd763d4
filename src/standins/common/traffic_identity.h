#pragma once

/// @file
/// Request identities that the load stand-in sends and the backend stand-in writes to its journal.

#include <cstdint>
#include <string>
#include <string_view>

namespace bergamotroute {

/// @param seed seed of the run.
/// @param number number of the request in the run.
/// @return the identity of a request, unique in a run.
std::string requestIdentity(std::uint64_t seed, std::uint64_t number);

/// @return the body that a backend server answers for an identity; every byte depends on identity and place.
std::string documentBody(std::string_view identity, std::size_t bytes);

}
