#pragma once

/// @file
/// Replicated state machine of the configuration. It applies log entries in order and stores the results of commands.

#include "bergamotroute/result_code.h"

#include "configuration.pb.h"
#include "control.pb.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

namespace bergamotroute {

/// Limits on stored command results. A result is removed only once it exceeds both limits.
struct DeduplicationLimits {
    /// Number of the latest results that are always kept.
    std::size_t count = 10'000;
    /// Results up to this age are always kept.
    std::uint64_t ageMs = 86'400'000;
};

/// Result of validating or applying a command or a change.
struct CommandStatus {
    ResultCode code = ResultCode::Ok;
    std::string message;

    bool accepted() const { return code == ResultCode::Ok; }
};

/// Command results by request identifier, so that a repeated command is not executed twice. Ordered oldest first.
class DeduplicationTable {
public:
    explicit DeduplicationTable(DeduplicationLimits limits)
        : m_limits(limits)
    {
    }

    /// @return the stored result, or null.
    const schema::RememberedResult* find(std::string_view requestId) const;

    /// Adds a result and removes those that exceed both limits.
    void add(schema::RememberedResult result);

    void clear();
    std::size_t size() const { return m_results.size(); }
    const std::deque<schema::RememberedResult>& results() const { return m_results; }

private:
    DeduplicationLimits m_limits;
    std::deque<schema::RememberedResult> m_results;
    /// Sequence number of each identifier; its index in m_results is the sequence number minus m_dropped.
    std::unordered_map<std::string, std::uint64_t> m_sequenceById;
    /// Number of results removed from the front of m_results.
    std::uint64_t m_dropped = 0;
};

/// Applies commands to a configuration. It is deterministic: the same entries produce the same state on every host.
class ConfigurationMachine {
public:
    explicit ConfigurationMachine(DeduplicationLimits limits = {})
        : m_deduplicationTable(limits)
    {
    }

    /// Applies the next committed entry. Either all of its changes are applied or none.
    /// @return the result of the command; for a repeated command, the result of its first execution.
    schema::CommandResult apply(const schema::LogEntry& entry);

    /// Validates a command against the current state without applying it.
    CommandStatus check(const schema::Command& command) const;

    /// @return the stored result of the same command; a rejection if the request identifier was used for another
    /// command; or null if the identifier is unknown. The pointer is valid until the next call to this object.
    const schema::CommandResult* findDuplicate(const schema::Command& command);

    /// @return the stored result, or null.
    const schema::RememberedResult* findResult(std::string_view requestId) const
    {
        return m_deduplicationTable.find(requestId);
    }

    const schema::Configuration& configuration() const { return m_configuration; }
    std::size_t rememberedCount() const { return m_deduplicationTable.size(); }

    /// @return the complete state; last_index and last_term are those of the last applied entry.
    schema::Snapshot snapshot() const;

    /// Replaces the complete state.
    void restore(const schema::Snapshot& snapshot);

    /// @return the log index of the last applied entry.
    std::uint64_t appliedIndex() const { return m_appliedIndex; }
    std::uint64_t appliedTerm() const { return m_appliedTerm; }

private:
    schema::CommandResult execute(const schema::LogEntry& entry);
    void remember(const schema::LogEntry& entry, const schema::CommandResult& result);

    schema::Configuration m_configuration;
    DeduplicationTable m_deduplicationTable;
    schema::CommandResult m_reusedIdResult;
    std::uint64_t m_appliedIndex = 0;
    std::uint64_t m_appliedTerm = 0;
};

/// @return the XXH3 64-bit hash of the serialized command.
std::uint64_t commandFingerprint(const schema::Command& command);

/// @return true if one of the changes adds, promotes or removes a control member.
bool changesMembers(const schema::Command& command);

/// @return a command result with the outcome "not accepted".
schema::CommandResult rejectedResult(
    const std::string& requestId, ResultCode code, std::string_view message, std::uint64_t revision);

}
