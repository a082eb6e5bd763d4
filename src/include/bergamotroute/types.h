#pragma once

/// @file
/// Identifiers that are the same on all hosts, and network endpoints.

#include "bergamotroute/packet.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>

namespace bergamotroute {

/// Index of a host's name in the sorted list of configured peers.
using HostIndex = std::uint16_t;
inline constexpr HostIndex noHost = 0xffff;

/// 32-bit xxHash of the service name and the backend address.
using TargetId = std::uint32_t;
inline constexpr TargetId noTarget = 0;

/// 32-bit xxHash of the service name.
using ServiceId = std::uint32_t;

/// IP address and port.
struct Endpoint {
    IpAddress address;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint&) const = default;

    /// @return "address:port"; an IPv6 address is enclosed in brackets.
    std::string toString() const;

    /// Parses "address:port" or "[address]:port".
    /// @param[out] error set to ResultCode::InvalidValue if the text is not an endpoint.
    static Endpoint parse(std::string_view text, std::error_code& error);
};

/// @return the identifier of a target; never noTarget.
TargetId targetId(std::string_view service, const IpAddress& address);

/// @return the identifier of a service; never zero.
ServiceId serviceId(std::string_view service);

}
