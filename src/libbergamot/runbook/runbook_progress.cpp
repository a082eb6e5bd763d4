#include "bergamotroute/runbook_progress.h"

namespace bergamotroute {

RunbookExecution::RunbookExecution(schema::Runbook runbook, const std::string& runId)
    : m_runbook(std::move(runbook))
{
    m_progress.set_runbook(m_runbook.name());
    m_progress.set_run_id(runId);
    for (const schema::RunbookStep& step : m_runbook.steps())
        m_progress.add_steps()->set_command(step.command());
}

std::error_code RunbookExecution::resume(const schema::RunbookProgress& progress, std::string& reason)
{
    for (int i = 0; i < progress.steps_size(); ++i) {
        const schema::RunbookStepProgress& stored = progress.steps(i);
        if (stored.state() == schema::STEP_PENDING)
            continue;
        const bool isSame = i < m_progress.steps_size() && m_progress.steps(i).command() == stored.command();
        if (!isSame) {
            reason = "step " + std::to_string(i + 1) + " was started as '" + stored.command()
                + "', which is no longer its command in the runbook; --restart starts over";
            return ResultCode::SettingsClash;
        }
        *m_progress.mutable_steps(i) = stored;
    }
    m_progress.set_run_id(progress.run_id());
    return {};
}

std::optional<std::size_t> RunbookExecution::nextStep() const
{
    for (int i = 0; i < m_progress.steps_size(); ++i) {
        if (m_progress.steps(i).state() != schema::STEP_DONE)
            return static_cast<std::size_t>(i);
    }
    return std::nullopt;
}

std::string RunbookExecution::startStep(std::size_t step)
{
    schema::RunbookStepProgress& entry = *m_progress.mutable_steps(static_cast<int>(step));
    // The control hosts remember the answer to a request identifier, so a refused command needs a new one for the next
    // attempt. A started command without a known outcome may have been accepted, so it keeps its identifier.
    if (entry.state() != schema::STEP_STARTED) {
        entry.set_attempts(entry.attempts() + 1);
        entry.set_request_id(
            m_progress.run_id() + "-step" + std::to_string(step + 1) + "-" + std::to_string(entry.attempts()));
    }
    entry.set_state(schema::STEP_STARTED);
    return entry.request_id();
}

void RunbookExecution::finishStep(std::size_t step, StepOutcome outcome, std::uint32_t exitStatus)
{
    schema::RunbookStepProgress& entry = *m_progress.mutable_steps(static_cast<int>(step));
    entry.set_exit_status(exitStatus);
    if (outcome == StepOutcome::Done)
        entry.set_state(schema::STEP_DONE);
    else if (outcome == StepOutcome::Failed)
        entry.set_state(schema::STEP_FAILED);
}

}
