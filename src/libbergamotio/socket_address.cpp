#include "libbergamotio/socket_address.h"

#include <algorithm>
#include <cstring>
#include <netinet/in.h>

namespace bergamotroute {

namespace {

    constexpr std::size_t mappedV4Offset = 12;

}

SocketAddress toSocketAddress(const Endpoint& endpoint)
{
    SocketAddress result;
    if (endpoint.address.isV4()) {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(endpoint.port);
        std::memcpy(&address.sin_addr, endpoint.address.bytes.data() + mappedV4Offset, sizeof(address.sin_addr));
        std::memcpy(&result.storage, &address, sizeof(address));
        result.length = sizeof(address);
        return result;
    }
    sockaddr_in6 address {};
    address.sin6_family = AF_INET6;
    address.sin6_port = htons(endpoint.port);
    std::memcpy(&address.sin6_addr, endpoint.address.bytes.data(), sizeof(address.sin6_addr));
    std::memcpy(&result.storage, &address, sizeof(address));
    result.length = sizeof(address);
    return result;
}

Endpoint toEndpoint(const sockaddr_storage& storage)
{
    Endpoint endpoint;
    if (storage.ss_family == AF_INET) {
        sockaddr_in address;
        std::memcpy(&address, &storage, sizeof(address));
        std::array<std::uint8_t, 4> octets;
        std::memcpy(octets.data(), &address.sin_addr, octets.size());
        endpoint.address = IpAddress::fromV4(octets);
        endpoint.port = ntohs(address.sin_port);
    } else if (storage.ss_family == AF_INET6) {
        sockaddr_in6 address;
        std::memcpy(&address, &storage, sizeof(address));
        std::memcpy(endpoint.address.bytes.data(), &address.sin6_addr, endpoint.address.bytes.size());
        endpoint.port = ntohs(address.sin6_port);
    }
    return endpoint;
}

Endpoint localEndpoint(int descriptor)
{
    sockaddr_storage storage {};
    socklen_t length = sizeof(storage);
    if (getsockname(descriptor, reinterpret_cast<sockaddr*>(&storage), &length) != 0)
        return {};
    return toEndpoint(storage);
}

}
