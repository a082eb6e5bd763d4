#include "membership/heartbeat_echo.h"

namespace bergamotroute {

namespace {

    constexpr unsigned sendTimeBits = 17;
    constexpr unsigned stateBits = 3;
    constexpr std::uint32_t sendTimeMask = (1u << sendTimeBits) - 1;
    constexpr std::uint32_t stateMask = (1u << stateBits) - 1;
    constexpr std::uint32_t incarnationMask = 0xfff;

}

std::uint32_t HeartbeatEcho::pack() const
{
    return (sendTime & sendTimeMask) | (static_cast<std::uint32_t>(state) & stateMask) << sendTimeBits
        | (incarnation & incarnationMask) << (sendTimeBits + stateBits);
}

HeartbeatEcho HeartbeatEcho::unpack(std::uint32_t word)
{
    HeartbeatEcho echo;
    echo.sendTime = word & sendTimeMask;
    const std::uint32_t state = word >> sendTimeBits & stateMask;
    echo.state
        = schema::MemberState_IsValid(static_cast<int>(state)) ? static_cast<schema::MemberState>(state) : schema::DEAD;
    echo.incarnation = word >> (sendTimeBits + stateBits);
    return echo;
}

std::uint32_t truncateIncarnation(std::uint64_t incarnation)
{
    return static_cast<std::uint32_t>(incarnation) & incarnationMask;
}

std::uint32_t truncateSendTime(std::uint64_t sentMs)
{
    return static_cast<std::uint32_t>(sentMs / sendTimeUnitMs) & sendTimeMask;
}

std::int64_t echoAgeMs(std::uint32_t echoed, std::uint64_t nowMs)
{
    const std::uint32_t units = (truncateSendTime(nowMs) - echoed) & sendTimeMask;
    return (std::int64_t { units } + 1) * sendTimeUnitMs;
}

}
