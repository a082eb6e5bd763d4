#pragma once

/// @file
/// The commands of bergamotctl.

#include "bergamotctl/session.h"
#include "libbergamotio/json_schema.h"

#include <json/json.h>
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
    /// Names of the arguments; optional ones stand in brackets, and the last one may be repeated if it ends with dots.
    std::string_view arguments;
    std::string_view summary;
    /// Flags besides those of all commands, separated by blanks.
    std::string_view flags;
    std::string_view example;
    CommandFunction run;
    /// The command changes the configuration.
    bool isChange = true;
};

/// @return all commands in the order of the help page.
std::span<const CommandInfo> commandTable();

/// Runs a command line without the program name.
/// @param words words of the line without flags.
/// @param isHelp print the help of the command instead.
ExitStatus runWords(Session& session, std::span<const std::string> words, bool isHelp);

/// @return the command of a command line; null if there is none or it has too few or too many arguments.
const CommandInfo* findCommand(std::span<const std::string> words);

/// @return "service add".
std::string commandName(const CommandInfo& command);

/// @return all flags of a command with their dashes.
std::vector<std::string> flagNames(const CommandInfo& command);

/// Prints the help page, or the help of one command.
void printHelp(std::ostream& out);
void printHelp(std::ostream& out, const CommandInfo& command);

/// Checks and sends changes that were made from a configuration; with --dry-run prints them.
/// An empty list means that the wanted state is in force already.
/// @param requestId request identifier; empty takes that of --request-id or a new one.
ExitStatus submitChanges(Session& session, const schema::Configuration& configuration,
    std::vector<schema::Change> changes, const std::string& requestId = {});

/// @return the state of an entry host in lower case.
std::string memberText(schema::MemberState state);

/// @return the endpoint of a host in the settings or the flags by its name or endpoint; empty if there is none.
std::string findEndpoint(const Session& session, const std::string& host);

/// Sends a GET to a host in the settings or the flags. Prints a fault.
/// @param[out] status set to the status of the command if there is no answer with 200.
std::optional<HttpAnswer> askHost(
    Session& session, const std::string& host, const std::string& path, ExitStatus& status);

/// Prints the table of control hosts.
void printControlHosts(Session& session, const std::vector<ControlAnswer>& answers);

/// @return the states of hosts with the keys "host" and "reachable".
template <typename Answer> Json::Value toJsonList(const std::vector<Answer>& answers)
{
    Json::Value list(Json::arrayValue);
    for (const Answer& answer : answers) {
        Json::Value entry;
        if (answer.isReachable)
            Json::Reader().parse(toJson(answer.state, false), entry);
        entry["host"] = answer.host;
        entry["reachable"] = answer.isReachable;
        list.append(entry);
    }
    return list;
}

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
ExitStatus runTargetCapacity(Session& session, Arguments arguments);
ExitStatus runWhere(Session& session, Arguments arguments);
ExitStatus runStatus(Session& session, Arguments arguments);
ExitStatus runDataCentreStop(Session& session, Arguments arguments);
ExitStatus runDataCentreStart(Session& session, Arguments arguments);
ExitStatus runEvacuationStart(Session& session, Arguments arguments);
ExitStatus runEvacuationEnd(Session& session, Arguments arguments);
ExitStatus runEvacuationList(Session& session, Arguments arguments);
ExitStatus runHostList(Session& session, Arguments arguments);
ExitStatus runHostDrain(Session& session, Arguments arguments);
ExitStatus runHostReady(Session& session, Arguments arguments);
ExitStatus runHostLeave(Session& session, Arguments arguments);
ExitStatus runControlStatus(Session& session, Arguments arguments);
ExitStatus runControlAdd(Session& session, Arguments arguments);
ExitStatus runControlPromote(Session& session, Arguments arguments);
ExitStatus runControlRemove(Session& session, Arguments arguments);
ExitStatus runControlReplace(Session& session, Arguments arguments);
ExitStatus runDump(Session& session, Arguments arguments);
ExitStatus runHistory(Session& session, Arguments arguments);
ExitStatus runExplain(Session& session, Arguments arguments);
ExitStatus runTimeline(Session& session, Arguments arguments);
ExitStatus runWatch(Session& session, Arguments arguments);
ExitStatus runCheck(Session& session, Arguments arguments);
ExitStatus runManifestDiff(Session& session, Arguments arguments);
ExitStatus runManifestApply(Session& session, Arguments arguments);
ExitStatus runRunbookRun(Session& session, Arguments arguments);
ExitStatus runSettingsPage(Session& session, Arguments arguments);
ExitStatus runResultCodesPage(Session& session, Arguments arguments);
ExitStatus runCompletionScript(Session& session, Arguments arguments);
ExitStatus runCommandNames(Session& session, Arguments arguments);
ExitStatus runRequestShow(Session& session, Arguments arguments);

}
