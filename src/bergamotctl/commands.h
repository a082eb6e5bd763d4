#pragma once

/// @file
/// The commands of bergamotctl.

#include "bergamotctl/session.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bergamotroute {

/// Arguments after the command's words.
using Arguments = std::span<const std::string>;
using CommandFunction = ExitStatus (*)(Session&, Arguments);

/// One command.
struct CommandInfo {
    /// "service", or a command of one word.
    std::string_view noun;
    /// "add"; empty for a command of one word.
    std::string_view verb;
    /// Names of the arguments; optional ones stand in brackets.
    std::string_view arguments;
    std::string_view summary;
    /// Flags besides those of all commands, separated by blanks.
    std::string_view flags;
    std::string_view example;
    CommandFunction run;
};

/// @return all commands in the order of the help page.
std::span<const CommandInfo> commandTable();

/// Runs a command line without the program name.
/// @param words words of the line without flags.
/// @param isHelp print the help of the command instead.
ExitStatus runWords(Session& session, std::span<const std::string> words, bool isHelp);

/// Prints the help page, or the help of one command.
void printHelp(std::ostream& out);
void printHelp(std::ostream& out, const CommandInfo& command);

/// Checks and sends changes that were made from a configuration; with --dry-run prints them.
/// An empty list means that the wanted state is in force already.
ExitStatus submitChanges(
    Session& session, const schema::Configuration& configuration, std::vector<schema::Change> changes);

ExitStatus runServiceAdd(Session& session, Arguments arguments);
ExitStatus runServiceEdit(Session& session, Arguments arguments);
ExitStatus runServiceMove(Session& session, Arguments arguments);
ExitStatus runServiceRemove(Session& session, Arguments arguments);
ExitStatus runServiceList(Session& session, Arguments arguments);
ExitStatus runBackendList(Session& session, Arguments arguments);
ExitStatus runBackendDrain(Session& session, Arguments arguments);
ExitStatus runBackendReady(Session& session, Arguments arguments);
ExitStatus runBackendWeight(Session& session, Arguments arguments);
ExitStatus runBackendMaintenance(Session& session, Arguments arguments);
ExitStatus runBackendRemove(Session& session, Arguments arguments);
ExitStatus runStatus(Session& session, Arguments arguments);
ExitStatus runRequestShow(Session& session, Arguments arguments);

}
