#pragma once

/// @file
/// The part of the log that is kept in memory: the entries after a base entry.

#include "control.pb.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace bergamotroute {

/// Consecutive log entries. The base entry is the one before the first of them; only its index and term are kept.
class LogWindow {
public:
    /// Removes all entries and sets a new base entry.
    void reset(std::uint64_t baseIndex, std::uint64_t baseTerm);

    std::uint64_t baseIndex() const { return m_baseIndex; }
    std::uint64_t baseTerm() const { return m_baseTerm; }
    std::uint64_t lastIndex() const { return m_baseIndex + m_entries.size(); }
    std::uint64_t lastTerm() const { return m_entries.empty() ? m_baseTerm : m_entries.back().term(); }

    /// @return the term of the entry at an index, or nullopt if the index is below the base or above lastIndex().
    std::optional<std::uint64_t> termAt(std::uint64_t index) const;

    /// @return the entry at an index, which must be above baseIndex() and at most lastIndex().
    const schema::LogEntry& at(std::uint64_t index) const { return m_entries[index - m_baseIndex - 1]; }

    /// @param entry its index must be lastIndex() + 1.
    void append(schema::LogEntry entry);

    /// Removes the entry at an index and all later ones.
    void truncateFrom(std::uint64_t index);

    /// Removes the entries up to and including an index and makes the last of them the base entry. Has no effect if the
    /// index is outside the window.
    void compact(std::uint64_t index);

private:
    std::uint64_t m_baseIndex = 0;
    std::uint64_t m_baseTerm = 0;
    std::deque<schema::LogEntry> m_entries;
};

}
