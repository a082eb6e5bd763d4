#pragma once

/// @file
/// State machine of the replicated configuration: applies log entries in order and remembers the answers.

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

/// How many answers are kept. An answer is dropped only when both limits allow it.
struct DeduplicationLimits {
    std::size_t count = 10'000;
    std::uint64_t ageMs = 86'400'000;
};

/// Outcome of a check or of a change.
struct CommandStatus {
    ResultCode code = ResultCode::Ok;
    std::string message;

    bool accepted() const { return code == ResultCode::Ok; }
};

/// Answers by request identifier, oldest first.
class DeduplicationTable {
public:
    explicit DeduplicationTable(DeduplicationLimits limits)
        : m_limits(limits)
    {
    }

    /// @return the remembered answer, or null.
    const schema::RememberedResult* find(std::string_view requestId) const;

    /// Adds an answer and drops those that both limits allow to drop.
    void add(schema::RememberedResult result);

    void clear();
    std::size_t size() const { return m_results.size(); }
    const std::deque<schema::RememberedResult>& results() const { return m_results; }

private:
    DeduplicationLimits m_limits;
    std::deque<schema::RememberedResult> m_results;
    /// Sequence number of each identifier; its place in m_results is the number minus m_dropped.
    std::unordered_map<std::string, std::uint64_t> m_sequenceById;
    std::uint64_t m_dropped = 0;
};

/// Applies commands to a configuration. The same entries give the same state on every host.
class ConfigurationMachine {
public:
    explicit ConfigurationMachine(DeduplicationLimits limits = {})
        : m_deduplicationTable(limits)
    {
    }

    /// Applies the next committed entry: all of its changes or none.
    /// @return the answer to the command; a repeated command gets its first answer.
    schema::CommandResult apply(const schema::LogEntry& entry);

    /// Checks a command against the current state without applying it.
    CommandStatus check(const schema::Command& command) const;

    /// @return the remembered answer to the same command; a refusal if the identifier belongs to another command; or
    /// null if the identifier is not known. Valid until the next call of this object.
    const schema::CommandResult* findDuplicate(const schema::Command& command);

    /// @return the remembered answer, or null.
    const schema::RememberedResult* findResult(std::string_view requestId) const
    {
        return m_deduplicationTable.find(requestId);
    }

    const schema::Configuration& configuration() const { return m_configuration; }
    std::size_t rememberedCount() const { return m_deduplicationTable.size(); }

    /// @return the whole state; last_index and last_term are those of the last applied entry.
    schema::Snapshot snapshot() const;

    /// Replaces the whole state.
    void restore(const schema::Snapshot& snapshot);

    /// @return log index of the last applied entry.
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

/// @return XXH3 of the serialized command.
std::uint64_t commandFingerprint(const schema::Command& command);

/// @return true if one of the changes concerns the control members.
bool changesMembers(const schema::Command& command);

/// Makes an answer that is not accepted.
schema::CommandResult rejectedResult(
    const std::string& requestId, ResultCode code, std::string_view message, std::uint64_t revision);

}
