#pragma once

/// @file
/// Identifiers that hosts agree on, and addresses with a port.

#include "bergamotroute/packet.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>

namespace bergamotroute {

/// Position of a host's name in the sorted list of configured peers.
using HostIndex = std::uint16_t;
inline constexpr HostIndex noHost = 0xffff;

/// 32-bit XXH of service name and backend address.
using TargetId = std::uint32_t;
inline constexpr TargetId noTarget = 0;

/// 32-bit XXH of the service name.
using ServiceId = std::uint32_t;

/// An address with a port.
struct Endpoint {
    IpAddress address;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint&) const = default;

    /// @return "address:port", IPv6 in brackets.
    std::string toString() const;

    /// Parses "address:port" or "[address]:port".
    /// @param[out] error ResultCode::InvalidValue if the text is not an endpoint.
    static Endpoint parse(std::string_view text, std::error_code& error);
};

/// @return the identifier of a target, never noTarget.
TargetId targetId(std::string_view service, const IpAddress& address);

/// @return the identifier of a service, never zero.
ServiceId serviceId(std::string_view service);

}
