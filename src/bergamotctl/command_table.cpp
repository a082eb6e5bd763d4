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
        { "service", "list", "", "List services.", "", "service list --format json", runServiceList },
        { "backend", "list", "[SERVICE]", "List backend servers with state, share and connections.", "",
            "backend list ordering", runBackendList },
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
        { "status", "", "", "Show control hosts, entry hosts and services.", "", "status", runStatus },
        { "request", "show", "ID", "Show the answer to an earlier command.", "", "request show req-5f1c",
            runRequestShow },
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

    std::string fullName(const CommandInfo& command)
    {
        std::string name(command.noun);
        if (!command.verb.empty())
            name += ' ' + std::string(command.verb);
        return name;
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

    const CommandInfo* findCommand(std::span<const std::string> words)
    {
        for (const CommandInfo& command : commands) {
            const bool isNoun = !words.empty() && words[0] == command.noun;
            if (isNoun && (command.verb.empty() || (words.size() > 1 && words[1] == command.verb)))
                return &command;
        }
        return nullptr;
    }

}

std::span<const CommandInfo> commandTable() { return commands; }

void printHelp(std::ostream& out)
{
    out << "usage: bergamotctl COMMAND [ARGUMENTS] [FLAGS]\n";
    std::string_view noun;
    for (const CommandInfo& command : commands) {
        if (command.noun != noun)
            out << (noun.empty() ? "" : "\n") << "  " << command.noun;
        if (!command.verb.empty())
            out << (command.noun == noun ? "|" : " ") << command.verb;
        noun = command.noun;
    }
    out << "\n\nbergamotctl COMMAND --help shows flags and an example. --format json prints JSON.\n"
        << "exit status: 0 done, 1 not accepted or failed, 2 usage or input error, 3 outcome unknown, 4 not "
           "reachable,\n"
        << "5 wait timed out\n"
        << "example: bergamotctl backend drain ordering 10.1.0.7 --wait\n";
}

void printHelp(std::ostream& out, const CommandInfo& command)
{
    out << "usage: bergamotctl " << fullName(command) << (command.arguments.empty() ? "" : " ") << command.arguments
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
    const CommandInfo* command = findCommand(words);
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
    const Arguments arguments = words.subspan(command->verb.empty() ? 1 : 2);
    if (arguments.size() < countRequired(command->arguments) || arguments.size() > countAll(command->arguments)) {
        session.err() << "usage: bergamotctl " << fullName(*command) << ' ' << command->arguments << '\n';
        return ExitStatus::Usage;
    }
    return session.open() ? command->run(session, arguments) : ExitStatus::Usage;
}

}
