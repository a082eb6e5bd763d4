#pragma once

/// @file
/// A configuration in memory that accepts commands as a control host does, without quorum and without safety checks.

#include "configuration.pb.h"
#include "control.pb.h"

#include <map>
#include <string>

namespace bergamotroute {

/// Configuration, history and remembered answers of the fake control host.
class FakeConfiguration {
public:
    FakeConfiguration();

    /// Applies a command once for each request identifier.
    schema::CommandResult apply(const schema::Command& command);

    /// @return the answer to an earlier command, or null.
    const schema::CommandResult* find(const std::string& requestId) const;

    const schema::Configuration& configuration() const { return m_configuration; }
    schema::Configuration& mutableConfiguration() { return m_configuration; }
    const std::vector<schema::LogEntry>& history() const { return m_history; }

private:
    schema::Configuration m_configuration;
    std::vector<schema::LogEntry> m_history;
    std::map<std::string, schema::CommandResult> m_results;
};

}
