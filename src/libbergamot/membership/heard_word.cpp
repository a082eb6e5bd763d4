#include "membership/heard_word.h"

namespace bergamotroute {

namespace {

    constexpr unsigned sentBits = 17;
    constexpr unsigned stateBits = 3;
    constexpr std::uint32_t sentMask = (1u << sentBits) - 1;
    constexpr std::uint32_t stateMask = (1u << stateBits) - 1;
    constexpr std::uint32_t incarnationMask = 0xfff;

}

std::uint32_t HeardWord::pack() const
{
    return (sent & sentMask) | (static_cast<std::uint32_t>(state) & stateMask) << sentBits
        | (incarnation & incarnationMask) << (sentBits + stateBits);
}

HeardWord HeardWord::unpack(std::uint32_t word)
{
    HeardWord heard;
    heard.sent = word & sentMask;
    const std::uint32_t state = word >> sentBits & stateMask;
    heard.state
        = schema::MemberState_IsValid(static_cast<int>(state)) ? static_cast<schema::MemberState>(state) : schema::DEAD;
    heard.incarnation = word >> (sentBits + stateBits);
    return heard;
}

std::uint32_t shortIncarnation(std::uint64_t incarnation)
{
    return static_cast<std::uint32_t>(incarnation) & incarnationMask;
}

std::uint32_t shortSent(std::uint64_t sentMs) { return static_cast<std::uint32_t>(sentMs / sentUnitMs) & sentMask; }

std::int64_t echoAgeMs(std::uint32_t echoed, std::uint64_t nowMs)
{
    const std::uint32_t units = (shortSent(nowMs) - echoed) & sentMask;
    return (std::int64_t { units } + 1) * sentUnitMs;
}

}
