#pragma once

/// @file
/// Generators of malformed input: random bytes, and valid input with a few bytes changed.

#include <rapidcheck.h>

#include <cstddef>
#include <span>
#include <string>

namespace bergamotroute::properties {

/// @return the text after up to three changes: a byte overwritten, removed or inserted, or the end truncated.
inline std::string mutated(std::string text)
{
    const int changes = *rc::gen::inRange(0, 4);
    for (int change = 0; change < changes && !text.empty(); ++change) {
        const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
        const char value = *rc::gen::arbitrary<char>();
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            text[position] = value;
            break;
        case 1:
            text.erase(position, 1);
            break;
        case 2:
            text.insert(position, 1, value);
            break;
        default:
            text.resize(position);
        }
    }
    return text;
}

/// @return a random string in one of three cases, otherwise the valid string with changes.
inline std::string anyInput(const std::string& valid)
{
    const bool isRandom = *rc::gen::inRange(0, 3) == 0;
    return isRandom ? *rc::gen::arbitrary<std::string>() : mutated(valid);
}

/// Like anyInput(), but only ASCII, because protobuf strings must be valid UTF-8.
inline std::string anyAscii(const std::string& valid)
{
    constexpr unsigned char asciiMask = 0x7f;
    std::string text = anyInput(valid);
    for (char& character : text)
        character = static_cast<char>(static_cast<unsigned char>(character) & asciiMask);
    return text;
}

inline std::span<const std::byte> asBytes(const std::string& text) { return std::as_bytes(std::span(text)); }

}
