#pragma once

/// @file
/// Checks of bergamotd's settings that go beyond single keys.

#include "settings.pb.h"

#include <string>

namespace bergamotroute {

/// @return the error message, or an empty text if there is none.
std::string findSettingsClash(const schema::EntryHostSettings& settings);

}
