#include "bergamotctl/flags.h"

#include <algorithm>
#include <gflags/gflags.h>
#include <set>

DEFINE_string(settings, "", "Settings file (JSON with comments); default $BERGAMOTCTL_SETTINGS.");
DEFINE_string(control, "", "Control hosts as [name=]address:port,... instead of those of the settings file.");
DEFINE_string(entry, "", "Entry hosts as [name=]address:port,... instead of those of the settings file.");
DEFINE_string(token_file, "", "File with the bearer token.");
DEFINE_string(format, "table", "Output: table or json.");
DEFINE_string(request_id, "", "Request identifier; the same identifier gets the same answer.");
DEFINE_uint64(expect_revision, 0, "Refuse the change unless this is the current revision.");
DEFINE_bool(wait, false, "Wait until the revision is in force on each reachable entry host.");
DEFINE_uint32(wait_seconds, 15, "Time limit of --wait and of control replace, in seconds.");
DEFINE_uint32(timeout_ms, 0, "Time limit of the command in milliseconds; 0 takes that of the settings.");
DEFINE_bool(force, false, "Skip the safety checks.");
DEFINE_string(operator_name, "", "Name kept in the history; default $USER.");
DEFINE_bool(dry_run, false, "Show what would be done and change nothing.");
DEFINE_bool(restart, false, "Forget the progress of the runbook and begin with its first step.");
DEFINE_uint64(since, 0, "Revision after which history and watch begin.");
DEFINE_uint32(count, 0, "Number of revisions that watch prints before it ends; 0 means no end.");
DEFINE_string(address, "", "Service address.");
DEFINE_string(ports, "", "Ports, separated by commas.");
DEFINE_string(protocol, "TCP", "TCP or UDP.");
DEFINE_string(allowed_networks, "", "Networks of backend servers, separated by commas.");
DEFINE_string(data_centres, "", "Data centres that serve the service, separated by commas; empty means all.");
DEFINE_uint32(max_new_flows, 0, "Limit of new flows a second; 0 means none.");
DEFINE_uint32(max_open_flows, 0, "Limit of open flows; 0 means none.");
DEFINE_uint32(drain_deadline, 28800, "Seconds after which a drained backend server loses its flows.");
DEFINE_uint32(udp_idle, 30, "Seconds after which an idle UDP flow ends.");
DEFINE_uint32(probe_idle, 900, "Seconds of silence after which a TCP flow is probed.");
DEFINE_string(flow, "", "Flow to explain, as client:port>service:port.");
DEFINE_string(target, "", "Target to explain, by its id.");
DEFINE_string(document, "", "Version of the document to explain.");
DEFINE_string(from, "", "Earliest time of log lines, as they print it.");
DEFINE_string(until, "", "Latest time of log lines, as they print it.");
DEFINE_string(identity, "", "Identity of a control host; default is the one that the host reports.");

namespace bergamotroute {

namespace {

    /// Flags that say how to reach the deployment and how to print; steps of a runbook inherit them.
    const std::set<std::string> inheritedFlags
        = { "settings", "control", "entry", "token_file", "format", "operator_name" };

    std::set<std::string>& givenFlags()
    {
        static std::set<std::string> names;
        return names;
    }

    std::string underscored(std::string_view text)
    {
        std::string name(text);
        std::replace(name.begin(), name.end(), '-', '_');
        return name;
    }

    /// Sets one flag. @return the number of arguments used, or 0 with a fault.
    std::size_t applyFlag(std::span<const std::string> arguments, std::string& fault)
    {
        const std::string_view text = std::string_view(arguments[0]).substr(2);
        const std::size_t equals = text.find('=');
        const std::string name = underscored(text.substr(0, equals));
        gflags::CommandLineFlagInfo info;
        if (name.empty() || !gflags::GetCommandLineFlagInfo(name.c_str(), &info)) {
            fault = "unknown flag " + arguments[0];
            return 0;
        }
        std::string value = "true";
        std::size_t used = 1;
        if (equals != std::string_view::npos) {
            value = std::string(text.substr(equals + 1));
        } else if (info.type != "bool") {
            if (arguments.size() < 2) {
                fault = "flag " + arguments[0] + " needs a value";
                return 0;
            }
            value = arguments[1];
            used = 2;
        }
        if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty()) {
            fault = "'" + value + "' is not a value of flag --" + std::string(text.substr(0, equals));
            return 0;
        }
        givenFlags().insert(name);
        return used;
    }

}

CommandLine parseCommandLine(std::span<const std::string> arguments)
{
    CommandLine line;
    while (!arguments.empty()) {
        const std::string& argument = arguments[0];
        if (argument == "--help" || argument == "-h") {
            line.help = true;
            arguments = arguments.subspan(1);
        } else if (argument.starts_with("--")) {
            const std::size_t used = applyFlag(arguments, line.fault);
            if (used == 0)
                return line;
            arguments = arguments.subspan(used);
        } else {
            line.words.push_back(argument);
            arguments = arguments.subspan(1);
        }
    }
    return line;
}

std::vector<std::string> splitWords(std::string_view line, std::string& fault)
{
    std::vector<std::string> words;
    std::string word;
    bool inWord = false;
    char quote = 0;
    for (const char c : line) {
        if (quote != 0 ? c == quote : (c == '\'' || c == '"')) {
            quote = quote != 0 ? 0 : c;
            inWord = true;
        } else if (quote == 0 && (c == ' ' || c == '\t')) {
            if (inWord)
                words.push_back(word);
            word.clear();
            inWord = false;
        } else {
            word += c;
            inWord = true;
        }
    }
    if (quote != 0)
        fault = "a quote is not closed";
    if (inWord)
        words.push_back(word);
    return words;
}

std::vector<std::string> splitCommas(std::string_view text)
{
    std::vector<std::string> parts;
    while (!text.empty()) {
        const std::size_t comma = text.find(',');
        if (comma != 0)
            parts.emplace_back(text.substr(0, comma));
        text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
    }
    return parts;
}

bool isFlagGiven(const char* name) { return givenFlags().contains(name); }

void resetStepFlags()
{
    std::erase_if(givenFlags(), [](const std::string& name) {
        if (inheritedFlags.contains(name))
            return false;
        const gflags::CommandLineFlagInfo info = gflags::GetCommandLineFlagInfoOrDie(name.c_str());
        gflags::SetCommandLineOption(name.c_str(), info.default_value.c_str());
        return true;
    });
}

}
