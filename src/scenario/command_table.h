#pragma once

/// @file
/// The commands of the scenario language and the types of their arguments.

#include <cstddef>
#include <string_view>
#include <vector>

namespace bergamotroute::scenario {

/// Type of an argument or option value.
enum class ValueKind {
    Name,
    Duration,
    Rate,
    Percent,
    Number,
};

/// @return the kind with its indefinite article, for error messages.
std::string_view describe(ValueKind kind);

/// A key=value option of a command.
struct OptionSpec {
    std::string_view name;
    ValueKind kind;
};

/// What the parser accepts for one command.
struct CommandSpec {
    std::string_view name;
    std::vector<ValueKind> arguments;
    std::size_t requiredArguments = 0;
    /// The last argument may be given several times.
    bool repeatsLast = false;
    std::vector<OptionSpec> options;
    std::string_view usage;
};

const std::vector<CommandSpec>& commandTable();

/// @return the command, or a null pointer if there is none of that name.
const CommandSpec* findCommand(std::string_view name);

}
