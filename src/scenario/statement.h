#pragma once

/// @file
/// Statements of the scenario language and their parser. docs/SCENARIOS.md describes the language.

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bergamotroute::scenario {

/// An argument or option value of a statement, as text and, unless it is a name, as a number.
struct Value {
    std::string text;
    /// Durations in microseconds, percentages as fractions of 1, rates per second, other numbers as written.
    double number = 0;
};

/// One line of a scenario file.
struct Statement {
    std::string file;
    std::size_t line = 0;
    std::string command;
    std::vector<Value> arguments;
    std::map<std::string, Value, std::less<>> options;

    /// @return the numeric value of an option, or the fallback if the option is absent.
    double option(std::string_view name, double fallback) const;

    /// @return "file:line".
    std::string location() const;
};

struct ParsedScenario {
    std::vector<Statement> statements;
    /// "file:line: message" of the first error; empty if there is none.
    std::string error;
};

/// Parses and validates the text of a scenario file.
/// @param fileName name used in error messages.
ParsedScenario parseScenario(std::string_view text, std::string_view fileName);

ParsedScenario loadScenario(const std::string& path);

}
