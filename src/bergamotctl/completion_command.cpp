// completion-script and command-names.

#include "bergamotctl/commands.h"

#include <iostream>
#include <map>
#include <set>

namespace bergamotroute {

namespace {

    constexpr const char* scriptHead = R"(# Bash completion of bergamotctl, printed by "bergamotctl completion-script".
_bergamotctl() {
    local current=${COMP_WORDS[COMP_CWORD]} words=()
    local i
    for ((i = 1; i < COMP_CWORD; ++i)); do
        [[ ${COMP_WORDS[i]} == -* ]] || words+=("${COMP_WORDS[i]}")
    done
    local offer=
)";

    constexpr const char* scriptTail = R"(    COMPREPLY=()
    while IFS= read -r i; do COMPREPLY+=("$i"); done < <(compgen -W "$offer" -- "$current")
}
complete -o default -F _bergamotctl bergamotctl
)";

    template <typename Words> std::string separated(const Words& words)
    {
        std::string text;
        for (const auto& word : words)
            text += (text.empty() ? "" : " ") + std::string(word);
        return text;
    }

    void printVerbs(std::ostream& out)
    {
        std::vector<std::string_view> nouns;
        std::map<std::string_view, std::vector<std::string_view>> verbs;
        for (const CommandInfo& command : commandTable()) {
            if (nouns.empty() || nouns.back() != command.noun)
                nouns.push_back(command.noun);
            if (!command.verb.empty())
                verbs[command.noun].push_back(command.verb);
        }
        out << "    case ${#words[@]}:${words[0]} in\n"
            << "    0:*) offer=\"" << separated(nouns) << "\" ;;\n";
        for (const auto& [noun, list] : verbs)
            out << "    1:" << noun << ") offer=\"" << separated(list) << "\" ;;\n";
        out << "    esac\n";
    }

    void printFlagCases(std::ostream& out)
    {
        out << "    if [[ $current == -* ]]; then\n        case \"${words[0]} ${words[1]}\" in\n";
        for (const CommandInfo& command : commandTable()) {
            if (!command.flags.empty())
                out << "        \"" << command.noun << ' ' << command.verb << "\") offer=\""
                    << separated(flagNames(command)) << "\" ;;\n";
        }
        CommandInfo plain = commandTable().front();
        plain.flags = "";
        out << "        *) offer=\"" << separated(flagNames(plain)) << "\" ;;\n        esac\n    fi\n";
    }

}

ExitStatus runCompletionScript(Session& session, Arguments)
{
    session.out() << scriptHead;
    printVerbs(session.out());
    printFlagCases(session.out());
    session.out() << scriptTail;
    return ExitStatus::Done;
}

ExitStatus runCommandNames(Session& session, Arguments)
{
    for (const CommandInfo& command : commandTable())
        session.out() << commandName(command) << '\n';
    return ExitStatus::Done;
}

}
