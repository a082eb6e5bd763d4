#pragma once

/// @file
/// Builds one line of the log as a JSON object, key by key.

#include <cstdint>
#include <string>
#include <string_view>

namespace bergamotroute {

/// One JSON object. Making a document of the JSON library for each line costs ten times as much, which delays a small
/// host that logs each target at its start.
class LogLine {
public:
    /// @param key plain text that needs no escaping.
    /// @param value any text; what JSON does not allow is escaped.
    void add(std::string_view key, std::string_view value);

    /// @param key plain text that needs no escaping.
    void add(std::string_view key, std::uint64_t value);

    /// Adds keys and values that were taken from another line with pairs().
    void addPairs(std::string_view pairs);

    /// @return the keys and values without the braces.
    std::string_view pairs() const { return m_pairs; }

    /// @return the complete object.
    std::string text() const { return '{' + m_pairs + '}'; }

private:
    void addKey(std::string_view key);

    std::string m_pairs;
};

}
