#pragma once

/// @file
/// Files of a runbook: the lock that keeps two runs apart and the progress beside it.

#include "bergamotroute/runbook_progress.h"

#include <string>

namespace bergamotroute {

/// Keeps two processes from running the same runbook at once.
class RunbookLock {
public:
    explicit RunbookLock(const std::string& path);
    ~RunbookLock();
    RunbookLock(const RunbookLock&) = delete;
    RunbookLock& operator=(const RunbookLock&) = delete;

    bool isHeld() const { return m_isHeld; }

private:
    int m_descriptor;
    bool m_isHeld;
};

/// Replaces the progress file. It is durable when this returns.
std::error_code storeProgress(const std::string& path, const schema::RunbookProgress& progress);

}
