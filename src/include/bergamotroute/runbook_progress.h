#pragma once

/// @file
/// Progress of a runbook that can be resumed after an interruption. The caller must store progress() after each call
/// that changes it.

#include "bergamotroute/result_code.h"

#include "manifest.pb.h"
#include "tool.pb.h"

#include <cstddef>
#include <optional>
#include <string>

namespace bergamotroute {

/// How the command of a step ended.
enum class StepOutcome {
    Done,
    /// The command was refused or could not run; the next attempt is a new request.
    Failed,
    /// The outcome is not known; the next attempt uses the same request identifier.
    Unknown,
};

/// Determines which step runs next and with which request identifier.
class RunbookExecution {
public:
    /// Starts a new run.
    /// @param runId unique name of the run; the request identifiers of its steps start with it.
    RunbookExecution(schema::Runbook runbook, const std::string& runId);

    /// Continues an interrupted run.
    /// @param[out] reason error message for operators, set only with an error.
    /// @return SettingsClash if a step that was started has another command in the runbook or is missing there.
    std::error_code resume(const schema::RunbookProgress& progress, std::string& reason);

    /// @return index of the step to run next; nothing if all steps are done.
    std::optional<std::size_t> nextStep() const;

    /// Marks a step as started. The caller must store the progress before it sends the step's command.
    /// @return the request identifier; that of the last attempt if its outcome is not known.
    std::string startStep(std::size_t step);

    /// Records how the command of a step ended.
    void finishStep(std::size_t step, StepOutcome outcome, std::uint32_t exitStatus);

    const schema::Runbook& runbook() const { return m_runbook; }
    const schema::RunbookProgress& progress() const { return m_progress; }

private:
    schema::Runbook m_runbook;
    schema::RunbookProgress m_progress;
};

}
