#pragma once

/// @file
/// Reads JSON from outside. Every reader of settings, commands and calls uses it, so that no text that other hosts
/// cannot parse enters a message.

#include <string>
#include <string_view>

namespace Json {
class CharReaderBuilder;
class Value;
}

namespace bergamotroute {

/// Parses a text whose strings are all UTF-8, also those with escapes.
/// @param builder settings of the parser.
/// @param[out] fault what is wrong, with line and column where they are known.
/// @return whether the text was parsed.
bool parseJsonText(
    std::string_view text, const Json::CharReaderBuilder& builder, Json::Value& value, std::string& fault);

}
