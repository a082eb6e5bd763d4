// manifest diff and apply.

#include "bergamotctl/commands.h"
#include "bergamotctl/flags.h"
#include "bergamotroute/manifest_diff.h"
#include "libbergamotio/json_schema.h"

#include <iostream>

namespace bergamotroute {

namespace {

    bool loadManifest(Session& session, const std::string& path, schema::Manifest& manifest)
    {
        const InputError error = loadJsonMessage(path, manifest);
        if (error)
            session.err() << error.message << " (code " << static_cast<int>(ResultCode::ManifestMalformed) << ")\n";
        return !error;
    }

}

ExitStatus runManifestDiff(Session& session, Arguments arguments)
{
    schema::Manifest manifest;
    if (!loadManifest(session, arguments[0], manifest))
        return ExitStatus::Usage;
    const auto answer = session.readConfiguration(true);
    if (!answer)
        return session.lastFailure();
    const std::vector<schema::Change> changes = diffManifest(manifest, answer->configuration);
    if (session.isJson()) {
        schema::Command command;
        command.set_expect_revision(answer->configuration.revision());
        command.mutable_changes()->Assign(changes.begin(), changes.end());
        session.out() << toJson(command, true);
        return ExitStatus::Done;
    }
    for (const schema::Change& change : changes)
        session.out() << describeChange(change) << '\n';
    session.out() << changes.size() << " changes against revision " << answer->configuration.revision() << '\n';
    return ExitStatus::Done;
}

ExitStatus runManifestApply(Session& session, Arguments arguments)
{
    schema::Manifest manifest;
    if (!loadManifest(session, arguments[0], manifest))
        return ExitStatus::Usage;
    const auto answer = session.readConfiguration(false);
    if (!answer)
        return session.lastFailure();
    return submitChanges(session, answer->configuration, diffManifest(manifest, answer->configuration));
}

}
