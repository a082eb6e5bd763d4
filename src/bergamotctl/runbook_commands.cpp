// runbook run.

#include "bergamotctl/commands.h"
#include "bergamotctl/flags.h"
#include "bergamotctl/runbook_file.h"
#include "libbergamotio/json_schema.h"

#include <gflags/gflags.h>
#include <iostream>
#include <unistd.h>

namespace bergamotroute {

namespace {

    constexpr std::uint32_t millisecondsPerSecond = 1000;

    /// A step's command line with its flags set.
    CommandLine parseStep(const schema::RunbookStep& step)
    {
        std::string fault;
        const std::vector<std::string> words = splitWords(step.command(), fault);
        resetStepFlags();
        CommandLine line = parseCommandLine(words);
        if (line.fault.empty())
            line.fault = fault;
        if (line.fault.empty() && findCommand(line.words) == nullptr)
            line.fault = "not a command with its arguments: " + step.command();
        if (line.fault.empty() && line.words[0] == "runbook")
            line.fault = "a runbook cannot run a runbook";
        if (!isFlagGiven("timeout_ms") && step.timeout_seconds() > 0)
            FLAGS_timeout_ms = step.timeout_seconds() * millisecondsPerSecond;
        if (!isFlagGiven("wait_seconds") && step.timeout_seconds() > 0)
            FLAGS_wait_seconds = step.timeout_seconds();
        return line;
    }

    /// Checks all command lines before the first step runs.
    bool checkSteps(Session& session, const schema::Runbook& runbook)
    {
        for (int i = 0; i < runbook.steps_size(); ++i) {
            const CommandLine line = parseStep(runbook.steps(i));
            if (line.fault.empty())
                continue;
            session.err() << "step " << i + 1 << " (" << runbook.steps(i).name() << "): " << line.fault << '\n';
            return false;
        }
        return true;
    }

    std::string stepTitle(const schema::Runbook& runbook, std::size_t step)
    {
        return "step " + std::to_string(step + 1) + " of " + std::to_string(runbook.steps_size()) + ": "
            + runbook.steps(static_cast<int>(step)).name();
    }

    /// Shows the steps that are left. Safety checks of changes are made; nothing is sent.
    ExitStatus runDry(Session& session, const RunbookExecution& run)
    {
        ExitStatus status = ExitStatus::Done;
        for (std::size_t i = run.nextStep().value_or(run.runbook().steps_size());
             i < static_cast<std::size_t>(run.runbook().steps_size()); ++i) {
            session.out() << stepTitle(run.runbook(), i) << ": " << run.runbook().steps(static_cast<int>(i)).command()
                          << '\n';
            const CommandLine line = parseStep(run.runbook().steps(static_cast<int>(i)));
            if (!findCommand(line.words)->isChange)
                continue;
            FLAGS_dry_run = true;
            const ExitStatus stepStatus = runWords(session, line.words, false);
            status = status == ExitStatus::Done ? stepStatus : status;
        }
        return status;
    }

    /// Runs a step's command. An attempt that was interrupted is asked for before it is sent again.
    ExitStatus runStep(Session& session, const RunbookExecution& run, std::size_t step, bool wasStarted)
    {
        const CommandLine line = parseStep(run.runbook().steps(static_cast<int>(step)));
        FLAGS_request_id = run.progress().steps(static_cast<int>(step)).request_id();
        if (wasStarted && findCommand(line.words)->isChange && session.open()) {
            if (const auto result = session.findRequest(FLAGS_request_id))
                return session.printResult(*result);
        }
        return runWords(session, line.words, false);
    }

    StepOutcome outcomeOf(ExitStatus status)
    {
        if (status == ExitStatus::Done)
            return StepOutcome::Done;
        // A wait that timed out follows an accepted command, whose answer is kept under its identifier.
        if (status == ExitStatus::Unknown || status == ExitStatus::WaitTimedOut)
            return StepOutcome::Unknown;
        return StepOutcome::Failed;
    }

    bool store(Session& session, const std::string& path, const RunbookExecution& run)
    {
        const std::error_code error = storeProgress(path, run.progress());
        if (error)
            session.err() << path << ": the progress cannot be stored: " << error.message() << '\n';
        return !error;
    }

    ExitStatus runSteps(Session& session, RunbookExecution& run, const std::string& progressPath)
    {
        while (const auto step = run.nextStep()) {
            const bool wasStarted = run.progress().steps(static_cast<int>(*step)).state() == schema::STEP_STARTED;
            run.startStep(*step);
            if (!store(session, progressPath, run))
                return ExitStatus::Failed;
            session.out() << stepTitle(run.runbook(), *step) << (wasStarted ? " (resumed)" : "") << std::endl;
            const ExitStatus status = runStep(session, run, *step, wasStarted);
            run.finishStep(*step, outcomeOf(status), static_cast<std::uint32_t>(status));
            if (!store(session, progressPath, run))
                return ExitStatus::Failed;
            if (status != ExitStatus::Done) {
                session.err() << static_cast<int>(ResultCode::RunbookStepFailed)
                              << " RunbookStepFailed: " << stepTitle(run.runbook(), *step) << " ended with status "
                              << static_cast<int>(status) << "; run the runbook again to resume here\n";
                return status;
            }
        }
        session.out() << "runbook " << run.runbook().name() << ": all steps are done\n";
        return ExitStatus::Done;
    }

    /// Reads the progress beside the runbook, if there is one.
    bool resumeRun(Session& session, const std::string& progressPath, RunbookExecution& run)
    {
        if (::access(progressPath.c_str(), F_OK) != 0)
            return true;
        schema::RunbookProgress progress;
        std::string reason;
        if (const InputError error = loadJsonMessage(progressPath, progress))
            reason = error.message;
        else if (!run.resume(progress, reason))
            return true;
        session.err() << progressPath << ": " << reason << '\n';
        return false;
    }

}

ExitStatus runRunbookRun(Session& session, Arguments arguments)
{
    const std::string& path = arguments[0];
    const std::string progressPath = path + ".progress";
    const bool isDry = FLAGS_dry_run;
    const bool isRestart = FLAGS_restart;
    const std::string runId = FLAGS_request_id.empty() ? makeRequestId() : FLAGS_request_id;
    const RunbookLock lock(path);
    schema::Runbook runbook;
    if (const InputError error = loadJsonMessage(path, runbook)) {
        session.err() << error.message << " (code " << error.code.value() << ")\n";
        return ExitStatus::Usage;
    }
    if (!lock.isHeld()) {
        session.err() << path << ": another process runs this runbook\n";
        return ExitStatus::Failed;
    }
    if (!checkSteps(session, runbook))
        return ExitStatus::Usage;
    RunbookExecution run(runbook, runId);
    if (!isRestart && !resumeRun(session, progressPath, run))
        return ExitStatus::Usage;
    return isDry ? runDry(session, run) : runSteps(session, run, progressPath);
}

}
