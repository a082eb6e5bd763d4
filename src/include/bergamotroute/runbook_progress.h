#pragma once

/// @file
/// Progress of a runbook over interruptions. The caller stores progress() after each call that changes it.

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
    /// The command was refused or could not run; a later attempt is a new request.
    Failed,
    /// The outcome is not known; a later attempt asks with the same request identifier.
    Unknown,
};

/// Decides which step runs next and under which request identifier.
class RunbookExecution {
public:
    /// Begins a run.
    /// @param runId unique name of the run, the base of its request identifiers.
    RunbookExecution(schema::Runbook runbook, const std::string& runId);

    /// Continues a run.
    /// @return SettingsClash with a reason if a step that has begun is no longer the same in the runbook.
    std::error_code resume(const schema::RunbookProgress& progress, std::string& reason);

    /// @return the step to run now; nothing if all are done.
    std::optional<std::size_t> nextStep() const;

    /// Marks a step as started. The progress is stored before its command is sent.
    /// @return the request identifier: the earlier one if the outcome of the last attempt is not known.
    std::string startStep(std::size_t step);

    /// Marks the end of a step's command.
    void finishStep(std::size_t step, StepOutcome outcome, std::uint32_t exitStatus);

    const schema::Runbook& runbook() const { return m_runbook; }
    const schema::RunbookProgress& progress() const { return m_progress; }

private:
    schema::Runbook m_runbook;
    schema::RunbookProgress m_progress;
};

}
