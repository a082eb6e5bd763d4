#pragma once

/// @file
/// Socket addresses of the system made from endpoints.

#include "bergamotroute/types.h"

#include <sys/socket.h>

namespace bergamotroute {

/// A socket address with its length.
struct SocketAddress {
    sockaddr_storage storage {};
    socklen_t length = 0;

    const sockaddr* get() const { return reinterpret_cast<const sockaddr*>(&storage); }
};

/// @return the IPv4 or IPv6 socket address of an endpoint.
SocketAddress makeSocketAddress(const Endpoint& endpoint);

/// @return the local port of a bound socket, or zero.
std::uint16_t localPort(int descriptor);

}
