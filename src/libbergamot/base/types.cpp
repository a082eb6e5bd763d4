#include "bergamotroute/types.h"

#include "bergamotroute/result_code.h"

#include <charconv>
#include <xxhash.h>

namespace bergamotroute {

std::string Endpoint::toString() const
{
    const std::string host = address.isV4() ? address.toString() : '[' + address.toString() + ']';
    return host + ':' + std::to_string(port);
}

Endpoint Endpoint::parse(std::string_view text, std::error_code& error)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        error = ResultCode::InvalidValue;
        return {};
    }
    std::string_view host = text.substr(0, colon);
    if (host.size() >= 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    Endpoint endpoint;
    endpoint.address = IpAddress::parse(host, error);
    const std::string_view digits = text.substr(colon + 1);
    const auto [end, status] = std::from_chars(digits.data(), digits.data() + digits.size(), endpoint.port);
    if (error || status != std::errc() || end != digits.data() + digits.size()) {
        error = ResultCode::InvalidValue;
        return {};
    }
    return endpoint;
}

TargetId targetId(std::string_view service, const IpAddress& address)
{
    const XXH32_hash_t seed = XXH32(service.data(), service.size(), 0);
    const TargetId id = XXH32(address.bytes.data(), address.bytes.size(), seed);
    return id == noTarget ? 1 : id;
}

ServiceId serviceId(std::string_view service)
{
    const ServiceId id = XXH32(service.data(), service.size(), 0);
    return id == 0 ? 1 : id;
}

}
