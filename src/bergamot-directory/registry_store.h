#pragma once

/// @file
/// Keeps the registry of targets on disk, so that entry hosts get targets at once after all hosts lost power. The file
/// is a cache: heartbeats correct it, and a damaged one is ignored.

#include "directory.pb.h"

#include <string>
#include <vector>

namespace bergamotroute {

class RegistryStore {
public:
    explicit RegistryStore(std::string folder)
        : m_folder(std::move(folder))
    {
    }

    /// @return what was saved last; empty if there is nothing that can be read.
    std::vector<schema::TargetRecord> load() const;

    /// Replaces the file. A failure is logged once until a write succeeds again.
    void save(const std::vector<schema::TargetRecord>& records);

private:
    std::string m_folder;
    bool m_saveFailed = false;
};

}
