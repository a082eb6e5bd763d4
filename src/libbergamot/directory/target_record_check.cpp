#include "bergamotroute/target_record_check.h"

#include "bergamotroute/types.h"
#include "bergamotroute/utf8.h"

#include <algorithm>
#include <initializer_list>

namespace bergamotroute {

namespace {

    /// Every text goes to all hosts, some of which have small links.
    constexpr std::size_t maxTextBytes = 255;
    /// The same limit as for announcements of backend servers over HTTP.
    constexpr std::uint32_t maxSlots = 100'000;

    bool isUnicast(const IpAddress& address)
    {
        constexpr std::size_t v4Offset = 12;
        constexpr std::uint8_t firstMulticastV4 = 224;
        constexpr std::uint8_t multicastV6 = 0xff;
        if (address.isV4())
            return address.bytes[v4Offset] > 0 && address.bytes[v4Offset] < firstMulticastV4;
        const bool isUnspecified
            = std::all_of(address.bytes.begin(), address.bytes.end(), [](std::uint8_t byte) { return byte == 0; });
        return !isUnspecified && address.bytes[0] != multicastV6;
    }

    bool isTargetEndpoint(const std::string& text)
    {
        std::error_code error;
        const Endpoint endpoint = Endpoint::parse(text, error);
        return !error && endpoint.port != 0 && isUnicast(endpoint.address);
    }

}

std::string findRecordFault(const schema::TargetRecord& record)
{
    if (record.id().empty())
        return "the target has no ID";
    for (const std::string* text :
        { &record.id(), &record.service(), &record.endpoint(), &record.data_centre(), &record.software_version() }) {
        if (text->size() > maxTextBytes)
            return "a text is longer than " + std::to_string(maxTextBytes) + " bytes";
        if (!isUtf8(*text))
            return "a text is not valid UTF-8";
    }
    if (!isTargetEndpoint(record.endpoint()))
        return "the endpoint is not the address and port of a host";
    if (record.slots() > maxSlots)
        return "the target has more than " + std::to_string(maxSlots) + " slots";
    if (!schema::TargetPhase_IsValid(record.phase()))
        return "the phase is unknown";
    return {};
}

}
