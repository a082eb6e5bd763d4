#include "libbergamotio/log_frames.h"

#include <cstdint>
#include <cstring>
#include <optional>
#include <xxhash.h>

namespace bergamotroute {

namespace {

    constexpr std::uint32_t frameMagic = 0x314C4742; // "BGL1"

    struct FrameHeader {
        std::uint32_t magic = frameMagic;
        std::uint32_t length = 0;
        std::uint64_t checksum = 0;
    };
    static_assert(sizeof(FrameHeader) == 16);

    /// The length is the seed, so that a changed length does not match either.
    std::uint64_t checksumOf(std::string_view payload)
    {
        return XXH3_64bits_withSeed(payload.data(), payload.size(), payload.size() + frameMagic);
    }

    std::optional<std::string_view> frameAt(std::string_view content, std::size_t offset)
    {
        FrameHeader header;
        if (content.size() - offset < sizeof(header))
            return std::nullopt;
        std::memcpy(&header, content.data() + offset, sizeof(header));
        const std::size_t available = content.size() - offset - sizeof(header);
        if (header.magic != frameMagic || header.length > available)
            return std::nullopt;
        const std::string_view payload = content.substr(offset + sizeof(header), header.length);
        return checksumOf(payload) == header.checksum ? std::optional(payload) : std::nullopt;
    }

    bool hasFrameAfter(std::string_view content, std::size_t offset)
    {
        std::string magic(sizeof(frameMagic), '\0');
        std::memcpy(magic.data(), &frameMagic, sizeof(frameMagic));
        for (std::size_t found = content.find(magic, offset); found != std::string_view::npos;
             found = content.find(magic, found + 1)) {
            if (frameAt(content, found))
                return true;
        }
        return false;
    }

}

std::string makeFrame(std::string_view payload)
{
    FrameHeader header;
    header.length = static_cast<std::uint32_t>(payload.size());
    header.checksum = checksumOf(payload);
    std::string frame(sizeof(header), '\0');
    std::memcpy(frame.data(), &header, sizeof(header));
    return frame.append(payload);
}

FrameScan scanFrames(std::string_view content)
{
    FrameScan scan;
    while (scan.intactBytes < content.size()) {
        const std::optional<std::string_view> payload = frameAt(content, scan.intactBytes);
        if (!payload) {
            scan.damaged = hasFrameAfter(content, scan.intactBytes + 1);
            scan.torn = !scan.damaged;
            return scan;
        }
        scan.payloads.push_back(*payload);
        scan.intactBytes += sizeof(FrameHeader) + payload->size();
    }
    return scan;
}

}
