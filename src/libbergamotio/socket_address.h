#pragma once

/// @file
/// Conversion between endpoints and the socket addresses of the C library.

#include "bergamotroute/types.h"

#include <sys/socket.h>

namespace bergamotroute {

/// A socket address with its length.
struct SocketAddress {
    sockaddr_storage storage {};
    socklen_t length = 0;

    const sockaddr* get() const { return reinterpret_cast<const sockaddr*>(&storage); }
};

/// @return an IPv4 or IPv6 socket address, by the family of the endpoint.
SocketAddress toSocketAddress(const Endpoint& endpoint);

/// @return the endpoint of a socket address; a zero endpoint for another family.
Endpoint toEndpoint(const sockaddr_storage& storage);

/// @return the local endpoint of a socket.
Endpoint localEndpoint(int descriptor);

}
