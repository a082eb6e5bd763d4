// The command "check", which lists the faults of a deployment.

#include "bergamotctl/commands.h"

#include <iostream>
#include <json/json.h>
#include <set>

namespace bergamotroute {

namespace {

    using Findings = std::vector<std::string>;

    void checkControl(const std::vector<ControlAnswer>& answers, Findings& findings)
    {
        std::size_t leaders = 0;
        std::size_t reachable = 0;
        for (const ControlAnswer& answer : answers) {
            if (!answer.isReachable) {
                findings.push_back("control host " + answer.host + " is not reachable");
                continue;
            }
            ++reachable;
            leaders += answer.state.role() == "leader" && answer.state.lease_valid();
            if (answer.state.storage_failed())
                findings.push_back(
                    "control host " + answer.host + " has failed storage; replace its disk and restart it");
        }
        if (leaders == 0)
            findings.emplace_back("no control host leads with a valid lease; changes are refused");
        // With one more loss the rest is no majority.
        if (reachable >= 1 && reachable - 1 <= answers.size() / 2)
            findings.emplace_back("the loss of one more control host leaves no majority");
    }

    void checkEntry(const std::vector<EntryAnswer>& answers, std::uint64_t revision, Findings& findings)
    {
        for (const EntryAnswer& answer : answers) {
            const std::string name = "entry host " + answer.host;
            if (!answer.isReachable) {
                findings.push_back(name + " is not reachable");
                continue;
            }
            if (answer.state.member_state() != schema::MEMBER_READY)
                findings.push_back(name + " is " + memberText(answer.state.member_state()));
            if (!answer.state.has_quorum())
                findings.push_back(name + " has no quorum and serves its own data centre");
            if (answer.state.configuration_revision() < revision)
                findings.push_back(name + " has revision " + std::to_string(answer.state.configuration_revision())
                    + " and " + std::to_string(revision) + " is current");
        }
    }

    void checkServices(
        const schema::Configuration& configuration, const std::vector<EntryAnswer>& answers, Findings& findings)
    {
        std::set<std::string> served;
        for (const EntryAnswer& answer : answers) {
            for (const schema::TargetState& target : answer.state.targets()) {
                if (target.accepts_new_flows())
                    served.insert(target.service());
            }
        }
        for (const schema::Service& service : configuration.services()) {
            if (!served.contains(service.name()))
                findings.push_back("service " + service.name() + " has no backend server that accepts new flows");
        }
    }

    void printFindings(Session& session, const Findings& findings)
    {
        if (session.isJson()) {
            Json::Value root;
            root["findings"] = Json::Value(Json::arrayValue);
            for (const std::string& finding : findings)
                root["findings"].append(finding);
            session.out() << root.toStyledString();
            return;
        }
        for (const std::string& finding : findings)
            session.out() << finding << '\n';
        if (findings.empty())
            session.out() << "no faults found\n";
    }

}

ExitStatus runCheck(Session& session, Arguments)
{
    Findings findings;
    const auto answer = session.readConfiguration(true);
    if (!answer)
        findings.emplace_back("the configuration cannot be read");
    const std::vector<EntryAnswer> entry = session.readEntryStates();
    checkControl(session.readControlStates(), findings);
    checkEntry(entry, answer ? answer->configuration.revision() : 0, findings);
    if (answer)
        checkServices(answer->configuration, entry, findings);
    printFindings(session, findings);
    return findings.empty() ? ExitStatus::Done : ExitStatus::Failed;
}

}
