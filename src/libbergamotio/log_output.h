#pragma once

/// @file
/// Buffered log lines for a descriptor that must never block the process.

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace bergamotroute {

/// Collects lines and writes them without waiting. When the reader is too slow, new lines are dropped and counted.
class LogOutput {
public:
    /// @param descriptor is made non-blocking; the caller keeps it open.
    /// @param capacity most bytes that wait for the reader.
    LogOutput(int descriptor, std::size_t capacity);

    /// Adds a line.
    /// @return true if the buffer was empty before, so that flush() must be scheduled.
    bool add(std::string_view line);

    /// Writes as much as the descriptor takes.
    void flush();

    bool isEmpty() const { return m_buffer.empty(); }
    std::uint64_t droppedLines() const { return m_dropped; }

    /// @return lines dropped since the last call.
    std::uint64_t takeDropped();

private:
    int m_descriptor;
    std::size_t m_capacity;
    std::string m_buffer;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_reported = 0;
};

}
