#pragma once

/// @file
/// Statements of the scenario language and their parser. docs/SCENARIOS.md describes the language.

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bergamotroute::scenario {

/// A word of a statement with its value, if it is a number with a unit.
struct Value {
    std::string text;
    /// Durations in microseconds, percentages as fractions, other numbers as written.
    double number = 0;
};

/// One line of a scenario file.
struct Statement {
    std::string file;
    std::size_t line = 0;
    std::string command;
    std::vector<Value> arguments;
    std::map<std::string, Value, std::less<>> options;

    /// @return the number of an option, or the fallback if it is absent.
    double option(std::string_view name, double fallback) const;

    /// @return "file:line".
    std::string location() const;
};

/// Result of parsing a scenario file.
struct ParsedScenario {
    std::vector<Statement> statements;
    /// "file:line: what is wrong" of the first fault; empty without one.
    std::string error;
};

/// Parses and checks the text of a scenario file.
/// @param fileName name used in errors.
ParsedScenario parseScenario(std::string_view text, std::string_view fileName);

/// Reads and parses a scenario file.
ParsedScenario loadScenario(const std::string& path);

}
