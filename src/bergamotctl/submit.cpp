// From wanted changes to a command.

#include "bergamotctl/commands.h"
#include "bergamotctl/flags.h"
#include "bergamotroute/manifest_diff.h"
#include "bergamotroute/safety_check.h"
#include "libbergamotio/json_schema.h"

#include <cstdlib>
#include <iostream>

namespace bergamotroute {

namespace {

    schema::Command makeCommand(const schema::Configuration& configuration, std::vector<schema::Change> changes)
    {
        schema::Command command;
        // Changes are made from the configuration that was read. The revision keeps a change by another operator in
        // between from being overwritten.
        command.set_expect_revision(isFlagGiven("expect_revision") ? FLAGS_expect_revision : configuration.revision());
        for (schema::Change& change : changes)
            *command.add_changes() = std::move(change);
        command.set_force(FLAGS_force);
        const char* user = std::getenv("USER");
        command.set_operator_name(FLAGS_operator_name.empty() && user != nullptr ? user : FLAGS_operator_name);
        return command;
    }

    ExitStatus reportInForce(Session& session, std::uint64_t revision)
    {
        if (session.isJson()) {
            schema::CommandResult result;
            result.set_outcome(schema::OUTCOME_ACCEPTED);
            result.set_revision(revision);
            result.set_message("in force already");
            session.out() << toJson(result, true);
        } else {
            session.out() << "nothing to change: in force already at revision " << revision << '\n';
        }
        return FLAGS_wait ? session.waitInForce(revision) : ExitStatus::Done;
    }

    DeploymentView readView(Session& session, const schema::Configuration& configuration)
    {
        DeploymentView view;
        view.configuration = configuration;
        for (const EntryAnswer& answer : session.readEntryStates()) {
            if (!answer.isReachable)
                continue;
            view.entryHosts.push_back(answer.state);
            view.targets.insert(view.targets.end(), answer.state.targets().begin(), answer.state.targets().end());
        }
        for (const ControlAnswer& answer : session.readControlStates()) {
            if (answer.isReachable)
                view.reachableControlIdentities.push_back(answer.state.identity());
        }
        return view;
    }

    ExitStatus printDryRun(Session& session, const schema::Command& command)
    {
        if (session.isJson()) {
            session.out() << toJson(command, true);
            return ExitStatus::Done;
        }
        for (const schema::Change& change : command.changes())
            session.out() << "would " << describeChange(change) << '\n';
        return ExitStatus::Done;
    }

    ExitStatus reportUnsafe(Session& session, const SafetyViolation& fault)
    {
        session.err() << "refused: " << fault.code.value() << ' '
                      << resultName(static_cast<std::uint32_t>(fault.code.value())) << ": " << fault.reason << '\n';
        return ExitStatus::Failed;
    }

}

ExitStatus submitChanges(Session& session, const schema::Configuration& configuration,
    std::vector<schema::Change> changes, const std::string& requestId)
{
    if (changes.empty())
        return reportInForce(session, configuration.revision());
    if (!FLAGS_force) {
        if (const SafetyViolation fault = checkSafety(changes, readView(session, configuration)))
            return reportUnsafe(session, fault);
    }
    schema::Command command = makeCommand(configuration, std::move(changes));
    command.set_request_id(requestId);
    if (!FLAGS_dry_run)
        return session.sendCommand(command);
    schema::Configuration next = configuration;
    for (const schema::Change& change : command.changes())
        applyToConfiguration(change, next);
    session.simulate(next);
    return printDryRun(session, command);
}

}
