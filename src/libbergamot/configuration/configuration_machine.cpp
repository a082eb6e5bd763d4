#include "bergamotroute/configuration_machine.h"

#include "configuration/change.h"

#include <algorithm>
#include <xxhash.h>

namespace bergamotroute {

namespace {

    constexpr int maxRequestIdLength = 128;

    bool isMemberChange(const schema::Change& change)
    {
        return change.has_add_control_member() || change.change_case() == schema::Change::kPromoteControlMember
            || change.change_case() == schema::Change::kDemoteControlMember
            || change.change_case() == schema::Change::kRemoveControlMember;
    }

    CommandStatus checkStructure(const schema::Command& command)
    {
        if (command.request_id().empty() || command.request_id().size() > maxRequestIdLength)
            return { ResultCode::CommandMalformed, "a request identifier has 1 to 128 characters" };
        if (command.changes().empty())
            return { ResultCode::CommandMalformed, "the command has no changes" };
        if (changesMembers(command) && command.changes_size() > 1)
            return { ResultCode::CommandMalformed, "a change of control members must be alone in its command" };
        return {};
    }

    CommandStatus checkRevision(const schema::Command& command, std::uint64_t revision)
    {
        if (command.expect_revision() == 0 || command.expect_revision() == revision)
            return {};
        return { ResultCode::RevisionStale,
            "expected revision " + std::to_string(command.expect_revision()) + ", current revision is "
                + std::to_string(revision) };
    }

    /// Applies all changes. If one is rejected, the earlier ones stay applied and the caller must discard the
    /// configuration.
    CommandStatus applyChanges(
        schema::Configuration& configuration, const schema::Command& command, std::uint64_t index)
    {
        for (const schema::Change& change : command.changes()) {
            if (CommandStatus status = applyChange(configuration, change, command.force(), index); !status.accepted())
                return status;
        }
        return {};
    }

    /// Derives the flow hash key, which must be the same on all hosts and must not be known to callers. Member
    /// identities are random, which makes the key unpredictable.
    std::uint64_t makeFlowHashKey(const schema::Configuration& configuration, const schema::LogEntry& entry)
    {
        std::string seed = entry.command().request_id() + std::to_string(entry.time_ms());
        for (const schema::ControlMember& member : configuration.control_members())
            seed += member.identity();
        const std::uint64_t key = XXH3_64bits(seed.data(), seed.size());
        return key == 0 ? 1 : key;
    }

    schema::CommandResult acceptedResult(const std::string& requestId, std::uint64_t revision)
    {
        schema::CommandResult result;
        result.set_outcome(schema::OUTCOME_ACCEPTED);
        result.set_revision(revision);
        result.set_request_id(requestId);
        return result;
    }

}

std::uint64_t commandFingerprint(const schema::Command& command)
{
    const std::string bytes = command.SerializeAsString();
    return XXH3_64bits(bytes.data(), bytes.size());
}

bool changesMembers(const schema::Command& command)
{
    return std::any_of(command.changes().begin(), command.changes().end(), isMemberChange);
}

schema::CommandResult rejectedResult(
    const std::string& requestId, ResultCode code, std::string_view message, std::uint64_t revision)
{
    schema::CommandResult result;
    result.set_outcome(schema::OUTCOME_NOT_ACCEPTED);
    result.set_revision(revision);
    result.set_code(static_cast<std::uint32_t>(code));
    result.set_message(std::string(message));
    result.set_request_id(requestId);
    return result;
}

CommandStatus ConfigurationMachine::check(const schema::Command& command) const
{
    if (CommandStatus status = checkStructure(command); !status.accepted())
        return status;
    if (CommandStatus status = checkRevision(command, m_configuration.revision()); !status.accepted())
        return status;
    schema::Configuration copy = m_configuration;
    return applyChanges(copy, command, 0);
}

const schema::CommandResult* ConfigurationMachine::findDuplicate(const schema::Command& command)
{
    const schema::RememberedResult* known = m_deduplicationTable.find(command.request_id());
    if (!known)
        return nullptr;
    if (known->fingerprint() == commandFingerprint(command))
        return &known->result();
    m_reusedIdResult = rejectedResult(command.request_id(), ResultCode::RequestIdReused,
        "the request identifier belongs to another command", m_configuration.revision());
    return &m_reusedIdResult;
}

schema::CommandResult ConfigurationMachine::execute(const schema::LogEntry& entry)
{
    const schema::Command& command = entry.command();
    CommandStatus status = checkStructure(command);
    if (status.accepted())
        status = checkRevision(command, m_configuration.revision());
    if (status.accepted() && entry.refused_code() != 0)
        status = { static_cast<ResultCode>(entry.refused_code()),
            make_error_code(static_cast<ResultCode>(entry.refused_code())).message() };
    if (status.accepted() && command.changes_size() == 1)
        status = applyChange(m_configuration, command.changes(0), command.force(), entry.index());
    else if (status.accepted()) {
        schema::Configuration copy = m_configuration;
        status = applyChanges(copy, command, entry.index());
        if (status.accepted())
            m_configuration.Swap(&copy);
    }
    if (!status.accepted())
        return rejectedResult(command.request_id(), status.code, status.message, m_configuration.revision());
    if (m_configuration.flow_hash_key() == 0)
        m_configuration.set_flow_hash_key(makeFlowHashKey(m_configuration, entry));
    m_configuration.set_revision(entry.index());
    m_configuration.set_term(entry.term());
    return acceptedResult(command.request_id(), entry.index());
}

schema::CommandResult ConfigurationMachine::apply(const schema::LogEntry& entry)
{
    m_appliedIndex = entry.index();
    m_appliedTerm = entry.term();
    if (!entry.has_command())
        return {};
    if (const schema::CommandResult* known = findDuplicate(entry.command()))
        return *known;
    schema::CommandResult result = execute(entry);
    remember(entry, result);
    return result;
}

void ConfigurationMachine::remember(const schema::LogEntry& entry, const schema::CommandResult& result)
{
    schema::RememberedResult remembered;
    *remembered.mutable_result() = result;
    remembered.set_time_ms(entry.time_ms());
    remembered.set_fingerprint(commandFingerprint(entry.command()));
    m_deduplicationTable.add(std::move(remembered));
}

schema::Snapshot ConfigurationMachine::snapshot() const
{
    schema::Snapshot snapshot;
    snapshot.set_last_index(m_appliedIndex);
    snapshot.set_last_term(m_appliedTerm);
    *snapshot.mutable_configuration() = m_configuration;
    for (const schema::RememberedResult& result : m_deduplicationTable.results())
        *snapshot.add_results() = result;
    return snapshot;
}

void ConfigurationMachine::restore(const schema::Snapshot& snapshot)
{
    m_appliedIndex = snapshot.last_index();
    m_appliedTerm = snapshot.last_term();
    m_configuration = snapshot.configuration();
    m_deduplicationTable.clear();
    for (const schema::RememberedResult& result : snapshot.results())
        m_deduplicationTable.add(result);
}

}
