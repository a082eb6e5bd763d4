#pragma once

/// @file
/// Flags of bergamotctl and the parser of its command lines.

#include <gflags/gflags_declare.h>

#include <span>
#include <string>
#include <string_view>
#include <vector>

DECLARE_string(settings);
DECLARE_string(control);
DECLARE_string(entry);
DECLARE_string(token_file);
DECLARE_string(format);
DECLARE_string(request_id);
DECLARE_uint64(expect_revision);
DECLARE_bool(wait);
DECLARE_uint32(wait_seconds);
DECLARE_uint32(timeout_ms);
DECLARE_bool(force);
DECLARE_string(operator_name);
DECLARE_bool(dry_run);
DECLARE_bool(restart);
DECLARE_uint64(since);
DECLARE_uint32(count);
DECLARE_string(address);
DECLARE_string(ports);
DECLARE_string(protocol);
DECLARE_string(allowed_networks);
DECLARE_string(data_centres);
DECLARE_uint32(max_new_flows);
DECLARE_uint32(max_open_flows);
DECLARE_uint32(drain_deadline);
DECLARE_uint32(udp_idle);
DECLARE_uint32(probe_idle);
DECLARE_string(identity);
DECLARE_string(flow);
DECLARE_string(target);
DECLARE_string(document);
DECLARE_string(from);
DECLARE_string(until);

namespace bergamotroute {

/// A parsed command line.
struct CommandLine {
    /// Words that are not flags.
    std::vector<std::string> words;
    bool help = false;
    /// What is wrong with the command line; empty if nothing is.
    std::string fault;
};

/// Sets the flags of a command line. gflags' own parser is not used because it ends the process with status 1.
/// @param arguments the arguments without the program name; flags and words may be mixed.
CommandLine parseCommandLine(std::span<const std::string> arguments);

/// Splits a line at blanks; single and double quotes keep blanks.
/// @param[out] fault set if a quote is not closed.
std::vector<std::string> splitWords(std::string_view line, std::string& fault);

/// Splits text at commas and drops empty parts.
std::vector<std::string> splitCommas(std::string_view text);

/// @return true if the flag was given on the command line.
bool isFlagGiven(const char* name);

/// Gives the flags of the command line their defaults, but for those that a runbook's steps inherit.
void resetStepFlags();

}
