#include "configuration/change.h"

#include "bergamotroute/packet.h"

#include <algorithm>

namespace bergamotroute {

namespace {

    constexpr std::size_t maxNameLength = 63;
    constexpr std::uint32_t maxPort = 65'535;

    bool isNetwork(std::string_view text)
    {
        std::error_code error;
        IpNetwork::parse(text, error);
        return !error;
    }

    bool isPort(std::uint32_t port) { return port >= 1 && port <= maxPort; }

    CommandStatus invalidValueError(std::string message) { return { ResultCode::InvalidValue, std::move(message) }; }

}

CommandStatus checkService(const schema::Service& service)
{
    if (service.name().empty() || service.name().size() > maxNameLength)
        return invalidValueError("service name must have 1 to 63 characters");
    std::error_code error;
    IpAddress::parse(service.address(), error);
    if (error)
        return invalidValueError(
            "service " + service.name() + ": address \"" + service.address() + "\" is not an IP address");
    if (service.ports().empty() || !std::all_of(service.ports().begin(), service.ports().end(), isPort))
        return invalidValueError("service " + service.name() + ": needs ports from 1 to 65535");
    if (service.protocol() != schema::TCP && service.protocol() != schema::UDP)
        return invalidValueError("service " + service.name() + ": protocol must be TCP or UDP");
    for (const std::string& network : service.allowed_networks()) {
        if (!isNetwork(network))
            return invalidValueError("service " + service.name() + ": \"" + network + "\" is not a network");
    }
    return {};
}

}
