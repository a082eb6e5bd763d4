#pragma once

/// @file
/// The part of the log that is in memory: entries above a base entry.

#include "control.pb.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace bergamotroute {

/// Consecutive log entries. The base is the entry before the first of them.
class LogWindow {
public:
    void reset(std::uint64_t baseIndex, std::uint64_t baseTerm);

    std::uint64_t baseIndex() const { return m_baseIndex; }
    std::uint64_t baseTerm() const { return m_baseTerm; }
    std::uint64_t lastIndex() const { return m_baseIndex + m_entries.size(); }
    std::uint64_t lastTerm() const { return m_entries.empty() ? m_baseTerm : m_entries.back().term(); }

    /// @return the term of an entry, or nothing if the entry is below the base or above the end.
    std::optional<std::uint64_t> termAt(std::uint64_t index) const;

    /// @return the entry at an index that must be inside the window.
    const schema::LogEntry& at(std::uint64_t index) const { return m_entries[index - m_baseIndex - 1]; }

    /// Appends an entry whose index must be lastIndex() + 1.
    void append(schema::LogEntry entry);

    /// Removes all entries from an index on.
    void truncateFrom(std::uint64_t index);

    /// Drops entries up to an index inside the window and makes it the base.
    void compact(std::uint64_t index);

private:
    std::uint64_t m_baseIndex = 0;
    std::uint64_t m_baseTerm = 0;
    std::deque<schema::LogEntry> m_entries;
};

}
