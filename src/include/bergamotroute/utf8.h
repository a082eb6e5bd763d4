#pragma once

/// @file
/// Check of texts that come from outside. A message with a text that is no UTF-8 in a field of type string is sent, but
/// its receiver cannot parse any of it.

#include <string_view>

namespace bergamotroute {

/// @return whether the text is UTF-8 as the parser of the schema's messages requires it (RFC 3629).
bool isUtf8(std::string_view text);

}
