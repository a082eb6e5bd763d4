// target capacity and where: pages of an entry host with cookie steering.

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

    /// Targets that a table shows; --format json shows all.
    constexpr int maxShownTargets = 12;

    void addPart(std::string& text, const char* name, double value)
    {
        if (value != 0)
            text += (text.empty() ? "" : " ") + std::string(name) + '=' + withDigits(value, 2);
    }

    /// @return the parts of a cost that are not zero.
    std::string describeParts(const schema::TargetCostState& state)
    {
        std::string text;
        addPart(text, "requests", state.requests());
        addPart(text, "idle", state.idle_flows());
        addPart(text, "slow", state.extra_time());
        addPart(text, "spread", state.spread());
        addPart(text, "slow-start", state.slow_start());
        addPart(text, "other-data-centre", state.other_data_centre());
        addPart(text, "other-group", state.other_group());
        addPart(text, "silent", state.silent());
        addPart(text, "avoided", state.avoided());
        addPart(text, "not-compared", state.not_compared());
        return text;
    }

    std::string verdictOf(const schema::PlacementExplanation& explanation)
    {
        std::string text = resultName(explanation.code());
        if (explanation.held())
            return text + ", held until this host knows more";
        if (explanation.minimum_traffic())
            text += " at " + explanation.target() + " to test a slow target";
        else if (!explanation.target().empty())
            text += " at " + explanation.target();
        return explanation.all_at_limit() ? text + ", all targets are at their limit" : text;
    }

    void printExplanation(Session& session, const schema::PlacementExplanation& explanation)
    {
        const auto orNone = [](const std::string& text) { return text.empty() ? std::string("-") : text; };
        session.out() << "verdict   " << verdictOf(explanation) << "\nroute     " << orNone(explanation.route())
                      << "\nservice   " << orNone(explanation.service()) << "\ndocument  "
                      << explanation.document_version() << ", view " << explanation.view_age_ms() << " ms old\n";
        std::vector<const schema::TargetCostState*> byCost;
        for (const schema::TargetCostState& state : explanation.targets())
            byCost.push_back(&state);
        std::sort(byCost.begin(), byCost.end(),
            [](const auto* left, const auto* right) { return left->cost() < right->cost(); });
        session.out() << "targets   " << byCost.size() << " weighed, the cheapest first\n\n";
        byCost.resize(std::min<std::size_t>(byCost.size(), maxShownTargets));
        Table table({ "TARGET", "DATA CENTRE", "REQUESTS", "SLOWNESS", "LIMIT", "COST", "PARTS" });
        for (const schema::TargetCostState* state : byCost) {
            table.add({ state->target(), state->data_centre(), std::to_string(state->outstanding_requests()),
                withDigits(state->slowness(), 2), state->has_limit() ? std::to_string(state->limit()) : "-",
                withDigits(state->cost(), 2), describeParts(*state) });
        }
        table.print(session.out());
    }

    /// Reads a page of an entry host. Prints a fault.
    ExitStatus readPage(
        Session& session, const std::string& host, const std::string& path, google::protobuf::Message& page)
    {
        ExitStatus status = ExitStatus::Done;
        const std::optional<HttpAnswer> answer = askHost(session, host, path, status);
        if (!answer)
            return status;
        if (readJson(answer->body, page))
            return ExitStatus::Done;
        session.err() << host << ": the answer is malformed\n";
        return ExitStatus::Failed;
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
    schema::TargetCapacityPage page;
    const ExitStatus status = readPage(session, arguments[0], "/targets", page);
    if (status != ExitStatus::Done)
        return status;
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

ExitStatus runWhere(Session& session, Arguments arguments)
{
    std::string path = "/where?address=" + arguments[1] + "&port=" + arguments[2];
    if (arguments.size() > 3)
        path += "&client=" + arguments[3];
    schema::PlacementExplanation explanation;
    const ExitStatus status = readPage(session, arguments[0], path, explanation);
    if (status != ExitStatus::Done)
        return status;
    if (session.isJson())
        session.out() << toJson(explanation, true) << '\n';
    else
        printExplanation(session, explanation);
    return ExitStatus::Done;
}

}
