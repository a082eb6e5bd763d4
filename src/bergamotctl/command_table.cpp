// The table of commands and the help that is printed from it.

#include "bergamotctl/commands.h"

#include <algorithm>
#include <array>
#include <gflags/gflags.h>
#include <ostream>
#include <sstream>

namespace bergamotroute {

namespace {

    constexpr std::string_view serviceFlags = "address ports protocol allowed-networks data-centres max-new-flows "
                                              "max-open-flows drain-deadline udp-idle probe-idle";

    constexpr auto commands = std::to_array<CommandInfo>({
        { "service", "add", "NAME", "Add a service.", serviceFlags,
            "service add ordering --address 10.9.0.1 --ports 443 --allowed-networks 10.1.0.0/16", runServiceAdd },
        { "service", "edit", "NAME", "Change the given properties of a service.", serviceFlags,
            "service edit ordering --max-new-flows 5000", runServiceEdit },
        { "service", "move", "NAME", "Give a service another address or other data centres.", "address data-centres",
            "service move ordering --address 10.9.0.2", runServiceMove },
        { "service", "remove", "NAME", "Remove a service.", "", "service remove ordering", runServiceRemove },
        { "service", "list", "", "List services.", "", "service list --format json", runServiceList, false },
        { "backend", "list", "[SERVICE]", "List backend servers with state, share and connections.", "",
            "backend list ordering", runBackendList, false },
        { "backend", "drain", "SERVICE ADDRESS", "Send no new flows to a backend server.", "",
            "backend drain ordering 10.1.0.7 --wait", runBackendDrain },
        { "backend", "ready", "SERVICE ADDRESS", "End drain, maintenance or removal.", "",
            "backend ready ordering 10.1.0.7", runBackendReady },
        { "backend", "weight", "SERVICE ADDRESS PERCENT", "Set the percentage of the announced share.", "",
            "backend weight ordering 10.1.0.7 50", runBackendWeight },
        { "backend", "maintenance", "SERVICE ADDRESS", "Take a backend server out of use.", "",
            "backend maintenance ordering 10.1.0.7", runBackendMaintenance },
        { "backend", "remove", "SERVICE ADDRESS", "Refuse a backend server until it is made ready again.", "",
            "backend remove ordering 10.1.0.7", runBackendRemove },
        { "target", "capacity", "HOST [SERVICE]",
            "Show what an entry host has learned of its targets: slowness, limit, evidence and its age.", "",
            "target capacity e1 orders --entry e1=10.0.0.1:9100", runTargetCapacity, false },
        { "datacentre", "stop", "NAME", "Send no new flows to a data centre.", "", "datacentre stop east --wait",
            runDataCentreStop },
        { "datacentre", "start", "NAME", "End the stop of a data centre.", "", "datacentre start east",
            runDataCentreStart },
        { "evacuation", "start", "NAME", "Send no new flows to a data centre; for bergamot-directory.", "",
            "evacuation start east --wait", runEvacuationStart, false },
        { "evacuation", "end", "NAME", "Send new flows to an evacuated data centre again.", "", "evacuation end east",
            runEvacuationEnd, false },
        { "evacuation", "list", "", "List evacuated data centres.", "", "evacuation list", runEvacuationList, false },
        { "host", "list", "", "List entry hosts.", "", "host list", runHostList, false },
        { "host", "drain", "HOST", "Let an entry host own nothing while it goes on forwarding.", "", "host drain e1",
            runHostDrain },
        { "host", "ready", "HOST", "End the drain of an entry host.", "", "host ready e1", runHostReady },
        { "host", "leave", "HOST", "Let an entry host hand over and leave.", "", "host leave e1 --wait", runHostLeave },
        { "control", "status", "", "List control hosts and members of the quorum.", "", "control status",
            runControlStatus, false },
        { "control", "add", "HOST RPC_ENDPOINT", "Add a control host as learner.", "identity",
            "control add c4 10.0.0.4:7400", runControlAdd },
        { "control", "promote", "HOST|IDENTITY", "Let a learner vote.", "", "control promote c4", runControlPromote },
        { "control", "remove", "HOST|IDENTITY", "Remove a control host from the quorum.", "", "control remove c1",
            runControlRemove },
        { "control", "replace", "OLD NEW RPC_ENDPOINT", "Add NEW, let it catch up and vote, then remove OLD.",
            "identity", "control replace c1 c4 10.0.0.4:7400", runControlReplace },
        { "status", "", "", "Show control hosts and entry hosts.", "", "status", runStatus, false },
        { "dump", "", "HOST", "Print the state of an entry host or control host as JSON.", "", "dump e1", runDump,
            false },
        { "history", "", "", "List accepted changes since the last snapshot.", "since", "history --since 120",
            runHistory, false },
        { "watch", "", "", "Print each new revision.", "since count", "watch --count 1", runWatch, false },
        { "check", "", "", "Report what is wrong with the deployment.", "", "check", runCheck, false },
        { "explain", "", "FILE...", "Explain a flow, target or document from log files; - is standard input.",
            "flow target document from until", "explain --flow \"10.1.0.9:4000>10.9.0.1:443\" hosts.log", runExplain,
            false },
        { "timeline", "", "FILE...", "Show the steps of each start of a daemon from log files; - is standard input.",
            "from until", "timeline --from 2026-12-04T15:00:00 hosts.log", runTimeline, false },
        { "where", "", "HOST ADDRESS PORT [CLIENT]",
            "Explain where an entry host would send a new flow now, with the cost of each target; sends nothing.", "",
            "where e1 198.18.0.1 443 10.1.0.9:4000 --entry e1=10.0.0.1:9100", runWhere, false },
        { "manifest", "diff", "FILE", "Show the changes that lead to a manifest.", "", "manifest diff manifest.json",
            runManifestDiff, false },
        { "manifest", "apply", "FILE", "Bring a manifest into force as one change.", "",
            "manifest apply manifest.json --wait", runManifestApply },
        { "runbook", "run", "FILE", "Run or resume a runbook; progress is kept in FILE.progress.", "restart",
            "runbook run move.json --dry-run", runRunbookRun, false },
        { "request", "show", "ID", "Show the answer to an earlier command.", "", "request show req-5f1c",
            runRequestShow, false },
        { "settings-page", "", "", "Print docs/SETTINGS.md.", "", "settings-page", runSettingsPage, false },
        { "result-codes-page", "", "", "Print docs/RESULT_CODES.md.", "", "result-codes-page", runResultCodesPage,
            false },
        { "completion-script", "", "", "Print packaging/bergamotctl.bash.", "", "completion-script",
            runCompletionScript, false },
        { "command-names", "", "", "Print the names of all commands.", "", "command-names", runCommandNames, false },
    });

    constexpr std::string_view commonFlags = "settings control entry token-file format request-id expect-revision wait "
                                             "wait-seconds timeout-ms force dry-run";

    std::size_t countRequired(std::string_view arguments)
    {
        std::istringstream words { std::string(arguments) };
        std::size_t count = 0;
        for (std::string word; words >> word;)
            count += word.front() != '[';
        return count;
    }

    std::size_t countAll(std::string_view arguments)
    {
        std::istringstream words { std::string(arguments) };
        std::size_t count = 0;
        for (std::string word; words >> word;)
            ++count;
        return count;
    }

    void printFlags(std::ostream& out, std::string_view flags)
    {
        std::istringstream words { std::string(flags) };
        for (std::string word; words >> word;) {
            std::string name = word;
            std::replace(name.begin(), name.end(), '-', '_');
            const gflags::CommandLineFlagInfo info = gflags::GetCommandLineFlagInfoOrDie(name.c_str());
            out << "  --" << word << std::string(word.size() < 18 ? 18 - word.size() : 1, ' ') << info.description
                << '\n';
        }
    }

    const CommandInfo* findByName(std::span<const std::string> words)
    {
        for (const CommandInfo& command : commands) {
            const bool isNoun = !words.empty() && words[0] == command.noun;
            if (isNoun && (command.verb.empty() || (words.size() > 1 && words[1] == command.verb)))
                return &command;
        }
        return nullptr;
    }

    Arguments argumentsOf(const CommandInfo& command, std::span<const std::string> words)
    {
        return words.subspan(command.verb.empty() ? 1 : 2);
    }

    bool hasRightCount(const CommandInfo& command, Arguments arguments)
    {
        const bool repeatsLast = command.arguments.ends_with("...");
        return arguments.size() >= countRequired(command.arguments)
            && (repeatsLast || arguments.size() <= countAll(command.arguments));
    }

}

std::span<const CommandInfo> commandTable() { return commands; }

const CommandInfo* findCommand(std::span<const std::string> words)
{
    const CommandInfo* command = findByName(words);
    return command != nullptr && hasRightCount(*command, argumentsOf(*command, words)) ? command : nullptr;
}

std::string commandName(const CommandInfo& command)
{
    std::string name(command.noun);
    if (!command.verb.empty())
        name += ' ' + std::string(command.verb);
    return name;
}

std::vector<std::string> flagNames(const CommandInfo& command)
{
    std::vector<std::string> names;
    for (const std::string_view flags : { command.flags, commonFlags }) {
        std::istringstream words { std::string(flags) };
        for (std::string word; words >> word;)
            names.push_back("--" + word);
    }
    return names;
}

void printHelp(std::ostream& out)
{
    out << "usage: bergamotctl COMMAND [ARGUMENTS] [FLAGS]\n";
    std::string_view noun;
    std::string oneWord;
    for (const CommandInfo& command : commands) {
        if (command.verb.empty()) {
            oneWord += ' ' + std::string(command.noun);
            continue;
        }
        if (command.noun == noun)
            out << '|' << command.verb;
        else
            out << (noun.empty() ? "  " : "\n  ") << command.noun << ' ' << command.verb;
        noun = command.noun;
    }
    out << "\n " << oneWord << "\n\n"
        << "bergamotctl COMMAND --help shows flags and an example. --format json prints JSON.\n"
        << "exit status: 0 done, 1 not accepted or failed, 2 usage or input error, 3 outcome unknown, 4 not "
           "reachable,\n"
        << "5 wait timed out\n"
        << "example: bergamotctl backend drain ordering 10.1.0.7 --wait\n";
}

void printHelp(std::ostream& out, const CommandInfo& command)
{
    out << "usage: bergamotctl " << commandName(command) << (command.arguments.empty() ? "" : " ") << command.arguments
        << " [FLAGS]\n"
        << command.summary << "\n\n";
    printFlags(out, command.flags);
    if (!command.flags.empty())
        out << '\n';
    printFlags(out, commonFlags);
    out << "\nexample: bergamotctl " << command.example << '\n';
}

ExitStatus runWords(Session& session, std::span<const std::string> words, bool isHelp)
{
    const CommandInfo* command = findByName(words);
    if (command == nullptr && isHelp) {
        printHelp(session.out());
        return ExitStatus::Done;
    }
    if (command == nullptr) {
        session.err() << (words.empty() ? "a command is missing" : "unknown command '" + words[0] + "'")
                      << "; see bergamotctl --help\n";
        return ExitStatus::Usage;
    }
    if (isHelp) {
        printHelp(session.out(), *command);
        return ExitStatus::Done;
    }
    const Arguments arguments = argumentsOf(*command, words);
    if (!hasRightCount(*command, arguments)) {
        session.err() << "usage: bergamotctl " << commandName(*command) << ' ' << command->arguments << '\n';
        return ExitStatus::Usage;
    }
    return session.open() ? command->run(session, arguments) : ExitStatus::Usage;
}

}
