#include "bergamot-entry/flow_endpoint.h"

#include <array>

namespace bergamotroute {

Endpoint toEndpoint(std::uint32_t address, std::uint16_t port)
{
    const std::array<std::uint8_t, 4> octets { static_cast<std::uint8_t>(address >> 24),
        static_cast<std::uint8_t>(address >> 16), static_cast<std::uint8_t>(address >> 8),
        static_cast<std::uint8_t>(address) };
    return { IpAddress::fromV4(octets), port };
}

}
