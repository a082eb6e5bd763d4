#pragma once

/// @file
/// The header of datagrams between entry hosts: relayed packets and control messages share one socket.

#include "bergamotroute/entry_host.h"

#include <array>
#include <cstring>
#include <optional>

namespace bergamotroute {

/// First bytes of a datagram between entry hosts: version, kind, two reserved bytes, and the target in host byte order
/// of little-endian machines. Kind zero carries a PeerMessage, the others a whole inner packet.
struct PeerHeader {
    static constexpr std::size_t size = 8;
    static constexpr std::uint8_t currentVersion = 1;
    static constexpr std::uint8_t messageKind = 0;
    static constexpr std::uint8_t largestKind = static_cast<std::uint8_t>(RelayKind::NotReady);

    std::uint8_t kind = messageKind;
    TargetId target = noTarget;

    std::array<std::byte, size> encode() const
    {
        std::array<std::byte, size> bytes {};
        bytes[0] = std::byte { currentVersion };
        bytes[1] = std::byte { kind };
        std::memcpy(bytes.data() + size - sizeof(target), &target, sizeof(target));
        return bytes;
    }

    /// @return nothing if the datagram is too short or of another version.
    static std::optional<PeerHeader> decode(std::span<const std::byte> datagram)
    {
        if (datagram.size() < size || datagram[0] != std::byte { currentVersion })
            return std::nullopt;
        PeerHeader header;
        header.kind = std::to_integer<std::uint8_t>(datagram[1]);
        std::memcpy(&header.target, datagram.data() + size - sizeof(target), sizeof(target));
        return header.kind <= largestKind ? std::optional(header) : std::nullopt;
    }
};

}
