#pragma once

/// @file
/// Checks of bergamotd's settings that go beyond single keys.

#include "settings.pb.h"

#include <string>

namespace bergamotroute {

/// @return what is wrong, or an empty text.
std::string findSettingsClash(const schema::EntryHostSettings& settings);

}
