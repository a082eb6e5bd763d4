// target capacity.

#include "bergamotctl/commands.h"
#include "bergamotctl/table.h"

#include "entry_pages.pb.h"

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace bergamotroute {

namespace {

    std::string withDigits(double value, int digits)
    {
        std::ostringstream text;
        text << std::fixed << std::setprecision(digits) << value;
        return text.str();
    }

    void keepService(schema::TargetCapacityPage& page, const std::string& service)
    {
        auto& targets = *page.mutable_targets();
        targets.erase(std::remove_if(targets.begin(), targets.end(),
                          [&service](const auto& state) { return state.service() != service; }),
            targets.end());
    }

    void printTargets(Session& session, const schema::TargetCapacityPage& page)
    {
        Table table(
            { "TARGET", "SERVICE", "DATA CENTRE", "SLOTS", "REQUESTS", "SLOWNESS", "LIMIT", "EVIDENCE", "AGE MS" });
        for (const schema::TargetCapacityState& state : page.targets()) {
            table.add({ state.target(), state.service(), state.data_centre(), std::to_string(state.slots()),
                std::to_string(state.requests()), withDigits(state.slowness(), 2),
                state.has_limit() ? std::to_string(state.limit()) : "-", withDigits(state.evidence(), 1),
                state.has_evidence_age_ms() ? std::to_string(state.evidence_age_ms()) : "-" });
        }
        table.print(session.out());
    }

}

ExitStatus runTargetCapacity(Session& session, Arguments arguments)
{
    ExitStatus status = ExitStatus::Done;
    const std::optional<HttpAnswer> answer = askHost(session, arguments[0], "/targets", status);
    if (!answer)
        return status;
    schema::TargetCapacityPage page;
    if (!readJson(answer->body, page)) {
        session.err() << arguments[0] << ": the answer is malformed\n";
        return ExitStatus::Failed;
    }
    if (!page.learns())
        session.err() << "warning: " << arguments[0] << " does not learn; see the setting learn_capacity\n";
    if (arguments.size() > 1)
        keepService(page, arguments[1]);
    if (session.isJson())
        session.out() << toJson(page, true) << '\n';
    else
        printTargets(session, page);
    return ExitStatus::Done;
}

}
