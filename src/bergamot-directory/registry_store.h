#pragma once

/// @file
/// Stores the target registry on disk, so that entry hosts get targets immediately after a power loss of all hosts. The
/// file is a cache: heartbeats correct its content, and a damaged file is ignored.

#include "directory.pb.h"

#include <string>

namespace bergamotroute {

class RegistryStore {
public:
    explicit RegistryStore(std::string folder)
        : m_folder(std::move(folder))
    {
    }

    /// @return what was saved last; empty if there is no file or it cannot be read.
    schema::SavedDirectory load() const;

    /// Replaces the file. Consecutive failures are logged only once, until a write succeeds again.
    void save(const schema::SavedDirectory& directory);

private:
    std::string m_folder;
    bool m_saveFailed = false;
};

}
