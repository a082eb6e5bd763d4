#include "bergamotroute/runbook_progress.h"

#include <doctest/doctest.h>

using namespace bergamotroute;

namespace {

schema::Runbook makeRunbook()
{
    schema::Runbook runbook;
    runbook.set_name("move");
    for (const char* command : { "backend drain ordering 10.1.0.7", "service move ordering --address 10.9.0.2" })
        runbook.add_steps()->set_command(command);
    return runbook;
}

}

// Guards against a step that runs twice because an interrupted attempt is repeated with a new request identifier.
TEST_CASE("an interrupted step is resumed with the same request identifier")
{
    RunbookExecution first(makeRunbook(), "run1");
    CHECK(first.nextStep() == 0);
    const std::string done = first.startStep(0);
    first.finishStep(0, StepOutcome::Done, 0);
    const std::string interrupted = first.startStep(1);
    CHECK(done != interrupted);

    RunbookExecution second(makeRunbook(), "run2");
    std::string reason;
    REQUIRE_FALSE(second.resume(first.progress(), reason));
    CHECK(second.nextStep() == 1);
    CHECK(second.startStep(1) == interrupted);
    second.finishStep(1, StepOutcome::Unknown, 3);
    CHECK(second.startStep(1) == interrupted);
    second.finishStep(1, StepOutcome::Done, 0);
    CHECK_FALSE(second.nextStep());
}

// Guards against a refused step that can never succeed, because each attempt gets the remembered refusal.
TEST_CASE("the next attempt of a failed step gets a new request identifier")
{
    RunbookExecution run(makeRunbook(), "run1");
    const std::string refused = run.startStep(0);
    run.finishStep(0, StepOutcome::Failed, 1);
    CHECK(run.nextStep() == 0);
    CHECK(run.startStep(0) != refused);
}

// Guards against stored progress that is applied to other steps after the runbook was edited.
TEST_CASE("a runbook cannot be resumed if the command of a started step has changed")
{
    RunbookExecution first(makeRunbook(), "run1");
    first.startStep(0);
    schema::Runbook edited = makeRunbook();
    edited.mutable_steps(1)->set_command("service list");
    std::string reason;
    RunbookExecution pendingStepEdited(edited, "run2");
    CHECK_FALSE(pendingStepEdited.resume(first.progress(), reason));
    edited.mutable_steps(0)->set_command("service list");
    RunbookExecution startedStepEdited(edited, "run3");
    CHECK(startedStepEdited.resume(first.progress(), reason) == ResultCode::SettingsClash);
    CHECK(reason.find("step 1") != std::string::npos);
}
