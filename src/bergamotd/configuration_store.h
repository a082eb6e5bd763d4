#pragma once

/// @file
/// Keeps the last accepted configuration on disk.

#include "configuration.pb.h"

#include <string>
#include <system_error>

namespace bergamotroute {

/// One file in the data folder, replaced as a whole.
class ConfigurationStore {
public:
    /// @param folder data folder; empty keeps nothing.
    explicit ConfigurationStore(std::string folder);

    /// Writes the configuration and syncs file and folder before the new file replaces the old one.
    /// @return ResultCode::StorageFailed if it is not durable.
    std::error_code save(const schema::Configuration& configuration) const;

    /// @param[out] configuration the last saved one, unchanged if there is none.
    /// @return ResultCode::LogDamaged if the file does not match its checksum.
    std::error_code load(schema::Configuration& configuration) const;

private:
    std::string m_folder;
};

}
