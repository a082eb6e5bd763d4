/// @file
/// Entry point of bergamotctl.

#include "bergamotctl/commands.h"
#include "bergamotctl/flags.h"

#include <csignal>
#include <iostream>

int main(int argc, char** argv)
{
    using namespace bergamotroute;
    // A reader that goes away, such as head, ends the output and not the command.
    std::signal(SIGPIPE, SIG_IGN);
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const CommandLine line = parseCommandLine(arguments);
    if (!line.fault.empty()) {
        std::cerr << line.fault << "; see bergamotctl --help\n";
        return static_cast<int>(ExitStatus::Usage);
    }
    Session session(std::cout, std::cerr);
    return static_cast<int>(runWords(session, line.words, line.help));
}
