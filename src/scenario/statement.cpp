#include "scenario/statement.h"

#include "scenario/command_table.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <optional>
#include <sstream>

namespace bergamotroute::scenario {

namespace {

    constexpr std::size_t maxLineLength = 1000;
    constexpr double maxNumber = 1e12;

    bool isOptionName(std::string_view text)
    {
        return !text.empty()
            && std::all_of(text.begin(), text.end(), [](char c) { return (c >= 'a' && c <= 'z') || c == '-'; });
    }

    std::optional<double> unitFactor(ValueKind kind, std::string_view unit)
    {
        if (kind == ValueKind::Duration && unit == "us")
            return 1;
        if (kind == ValueKind::Duration && unit == "ms")
            return 1e3;
        if (kind == ValueKind::Duration && unit == "s")
            return 1e6;
        if (kind == ValueKind::Duration && unit == "min")
            return 60e6;
        if (kind == ValueKind::Rate && unit == "/s")
            return 1;
        if (kind == ValueKind::Percent && unit == "%")
            return 0.01;
        if (kind == ValueKind::Number && unit.empty())
            return 1;
        return std::nullopt;
    }

    std::optional<double> parseNumber(ValueKind kind, std::string_view text)
    {
        double number = 0;
        const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (code != std::errc() || !std::isfinite(number) || number < 0 || number > maxNumber)
            return std::nullopt;
        const auto factor = unitFactor(kind, text.substr(static_cast<std::size_t>(end - text.data())));
        return factor ? std::optional(number * *factor) : std::nullopt;
    }

    std::string setValue(Value& value, ValueKind kind, std::string_view text)
    {
        value.text = text;
        if (text.empty())
            return "empty value";
        if (kind == ValueKind::Name)
            return {};
        const std::optional<double> number = parseNumber(kind, text);
        if (!number)
            return "\"" + value.text + "\" is not " + std::string(describe(kind));
        value.number = *number;
        return {};
    }

    std::string setOption(Statement& statement, const CommandSpec& spec, std::string_view name, std::string_view text)
    {
        const auto option = std::find_if(
            spec.options.begin(), spec.options.end(), [name](const OptionSpec& o) { return o.name == name; });
        if (option == spec.options.end())
            return statement.command + ": unknown option \"" + std::string(name) + "\"";
        const auto [entry, isNew] = statement.options.try_emplace(std::string(name));
        if (!isNew)
            return statement.command + ": option \"" + std::string(name) + "\" is given twice";
        const std::string errorText = setValue(entry->second, option->kind, text);
        return errorText.empty() ? errorText : statement.command + ": " + std::string(name) + ": " + errorText;
    }

    std::string addArgument(Statement& statement, const CommandSpec& spec, std::string_view word)
    {
        const std::size_t position = statement.arguments.size();
        if (position >= spec.arguments.size() && !spec.repeatsLast)
            return statement.command + ": unexpected \"" + std::string(word) + "\"";
        const ValueKind kind = spec.arguments[std::min(position, spec.arguments.size() - 1)];
        const std::string errorText = setValue(statement.arguments.emplace_back(), kind, word);
        return errorText.empty() ? errorText : statement.command + ": " + errorText;
    }

    std::string fillStatement(Statement& statement, const CommandSpec& spec, std::istringstream& words)
    {
        std::string word;
        while (words >> word) {
            const std::size_t equals = word.find('=');
            const bool isOption = equals != std::string::npos && isOptionName(std::string_view(word).substr(0, equals));
            const std::string_view view = word;
            std::string errorText = isOption
                ? setOption(statement, spec, view.substr(0, equals), view.substr(equals + 1))
                : addArgument(statement, spec, view);
            if (!errorText.empty())
                return errorText;
        }
        if (statement.arguments.size() < spec.requiredArguments)
            return statement.command + ": needs " + std::to_string(spec.requiredArguments)
                + " arguments: " + std::string(spec.usage);
        return {};
    }

    std::string parseLine(std::string line, Statement& statement)
    {
        if (line.size() > maxLineLength)
            return "line is longer than " + std::to_string(maxLineLength) + " bytes";
        line.erase(std::min(line.find('#'), line.size()));
        std::istringstream words(line);
        if (!(words >> statement.command))
            return {};
        const CommandSpec* spec = findCommand(statement.command);
        if (spec == nullptr)
            return "unknown command \"" + statement.command + "\"";
        return fillStatement(statement, *spec, words);
    }

}

double Statement::option(std::string_view name, double fallback) const
{
    const auto entry = options.find(name);
    return entry == options.end() ? fallback : entry->second.number;
}

std::string Statement::location() const { return file + ':' + std::to_string(line); }

ParsedScenario parseScenario(std::string_view text, std::string_view fileName)
{
    ParsedScenario result;
    std::istringstream lines { std::string(text) };
    std::string line;
    for (std::size_t number = 1; std::getline(lines, line); ++number) {
        Statement statement;
        statement.file = fileName;
        statement.line = number;
        const std::string errorText = parseLine(line, statement);
        if (!errorText.empty()) {
            result.error = statement.location() + ": " + errorText;
            return result;
        }
        if (!statement.command.empty())
            result.statements.push_back(std::move(statement));
    }
    return result;
}

ParsedScenario loadScenario(const std::string& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf())) {
        ParsedScenario result;
        result.error = path + ":0: cannot be read, or is empty";
        return result;
    }
    return parseScenario(text.str(), path);
}

}
