#pragma once

/// @file
/// Order of TCP sequence numbers.

#include <cstdint>

namespace bergamotroute {

/// @return true if the left sequence number is after the right one in modulo-2^32 order (RFC 9293, section 3.4).
constexpr bool isAfter(std::uint32_t left, std::uint32_t right) { return static_cast<std::int32_t>(left - right) > 0; }

}
