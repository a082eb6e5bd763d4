#include "libbergamotio/socket_address.h"

#include <algorithm>
#include <cstring>
#include <netinet/in.h>

namespace bergamotroute {

namespace {

    constexpr std::size_t mappedPrefixBytes = 12;

}

SocketAddress makeSocketAddress(const Endpoint& endpoint)
{
    SocketAddress result;
    const auto& bytes = endpoint.address.bytes;
    if (endpoint.address.isV4()) {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(endpoint.port);
        std::memcpy(&address.sin_addr, bytes.data() + mappedPrefixBytes, sizeof(address.sin_addr));
        std::memcpy(&result.storage, &address, sizeof(address));
        result.length = sizeof(address);
        return result;
    }
    sockaddr_in6 address {};
    address.sin6_family = AF_INET6;
    address.sin6_port = htons(endpoint.port);
    std::memcpy(&address.sin6_addr, bytes.data(), sizeof(address.sin6_addr));
    std::memcpy(&result.storage, &address, sizeof(address));
    result.length = sizeof(address);
    return result;
}

std::uint16_t localPort(int descriptor)
{
    sockaddr_storage storage {};
    socklen_t length = sizeof(storage);
    if (getsockname(descriptor, reinterpret_cast<sockaddr*>(&storage), &length) != 0)
        return 0;
    if (storage.ss_family == AF_INET)
        return ntohs(reinterpret_cast<const sockaddr_in*>(&storage)->sin_port);
    return ntohs(reinterpret_cast<const sockaddr_in6*>(&storage)->sin6_port);
}

}
