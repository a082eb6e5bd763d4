#pragma once

/// @file
/// Request identities that the load stand-in sends and the backend stand-in writes to its journal.

#include <cstdint>
#include <string>

namespace bergamotroute {

/// @param seed seed of the run.
/// @param number number of the request in the run.
/// @return the identity of a request, unique in a run.
std::string requestIdentity(std::uint64_t seed, std::uint64_t number);

}
