#pragma once

/// @file
/// Reads the JSON log lines of several hosts and selects those that explain one flow, target or document.

#include <istream>
#include <json/json.h>
#include <string>
#include <vector>

namespace bergamotroute {

/// What to explain. Empty fields select nothing by themselves; without any all lines are selected.
struct LogQuery {
    /// "client:port>service:port".
    std::string flow;
    std::string target;
    /// Version of a document.
    std::string document;
    /// Bounds of the time as printed in the lines; empty means open.
    std::string from;
    std::string until;
};

/// Reads lines; text before the first brace of a line is skipped, other lines are ignored.
/// @param[out] ignored lines that are no log lines.
void readLogLines(std::istream& input, std::vector<Json::Value>& lines, std::size_t& ignored);

/// @return the selected lines in the order of their times. For a flow, the events of its targets are among them.
std::vector<Json::Value> selectLogLines(std::vector<Json::Value> lines, const LogQuery& query);

}
