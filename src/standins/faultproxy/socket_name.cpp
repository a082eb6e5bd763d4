#include "standins/faultproxy/proxy.h"

#include <cstring>
#include <netinet/in.h>

namespace bergamotroute {

SocketName::SocketName(const Endpoint& endpoint)
{
    if (endpoint.address.isV4()) {
        sockaddr_in name {};
        name.sin_family = AF_INET;
        name.sin_port = htons(endpoint.port);
        std::memcpy(&name.sin_addr, endpoint.address.bytes.data() + 12, 4);
        std::memcpy(bytes, &name, sizeof name);
        length = sizeof name;
        return;
    }
    sockaddr_in6 name {};
    name.sin6_family = AF_INET6;
    name.sin6_port = htons(endpoint.port);
    std::memcpy(&name.sin6_addr, endpoint.address.bytes.data(), 16);
    std::memcpy(bytes, &name, sizeof name);
    length = sizeof name;
}

}
