// From wanted changes to a command.

#include "bergamotctl/commands.h"
#include "bergamotctl/flags.h"
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

}

ExitStatus submitChanges(
    Session& session, const schema::Configuration& configuration, std::vector<schema::Change> changes)
{
    if (changes.empty())
        return reportInForce(session, configuration.revision());
    const schema::Command command = makeCommand(configuration, std::move(changes));
    if (FLAGS_dry_run) {
        session.out() << toJson(command, true);
        return ExitStatus::Done;
    }
    return session.sendCommand(command);
}

}
