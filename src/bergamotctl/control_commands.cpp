// control status, add, promote, remove and replace.

#include "bergamotctl/commands.h"
#include "bergamotctl/flags.h"
#include "bergamotctl/table.h"
#include "libbergamotio/json_schema.h"

#include <iostream>
#include <json/json.h>
#include <thread>

namespace bergamotroute {

namespace {

    constexpr std::chrono::milliseconds pauseBetweenPolls { 200 };

    using ChangeList = std::vector<schema::Change>;

    const schema::ControlMember* findMember(const schema::Configuration& configuration, const std::string& name)
    {
        for (const schema::ControlMember& member : configuration.control_members()) {
            if (member.identity() == name || member.host() == name)
                return &member;
        }
        return nullptr;
    }

    ExitStatus reportUnknownMember(Session& session, const std::string& name)
    {
        session.err() << "not accepted: " << static_cast<int>(ResultCode::MemberUnknown)
                      << " MemberUnknown: no control host has the name or identity '" << name << "'\n";
        return ExitStatus::Failed;
    }

    /// @return the identity that a host reports or that --identity gives; empty after printing a fault.
    std::string findIdentity(Session& session, const std::string& host)
    {
        if (!FLAGS_identity.empty())
            return FLAGS_identity;
        for (const ControlAnswer& answer : session.readControlStates()) {
            if (answer.isReachable && answer.state.host() == host)
                return answer.state.identity();
        }
        session.err()
            << "control host " << host
            << " does not answer with its identity; name its operators' endpoint in --control, or give --identity\n";
        return {};
    }

    /// Suffix of the request identifiers of control replace, whose steps are separate commands.
    std::string requestIdOf(const std::string& base, const char* step) { return base.empty() ? "" : base + '-' + step; }

    ExitStatus addMember(
        Session& session, const std::string& host, const std::string& endpoint, const std::string& requestId)
    {
        std::error_code error;
        Endpoint::parse(endpoint, error);
        if (error) {
            session.err() << "'" << endpoint << "' is not of the form address:port\n";
            return ExitStatus::Usage;
        }
        const auto answer = session.readConfiguration(false);
        if (!answer)
            return session.lastFailure();
        const std::string identity = findIdentity(session, host);
        if (identity.empty())
            return ExitStatus::Failed;
        ChangeList changes;
        const schema::ControlMember* present = findMember(answer->configuration, identity);
        if (present == nullptr || present->host() != host || present->rpc_endpoint() != endpoint) {
            schema::ControlMember& member = *changes.emplace_back().mutable_add_control_member();
            member.set_identity(identity);
            member.set_host(host);
            member.set_rpc_endpoint(endpoint);
        }
        return submitChanges(session, answer->configuration, std::move(changes), requestId);
    }

    ExitStatus promoteMember(Session& session, const std::string& name, const std::string& requestId)
    {
        const auto answer = session.readConfiguration(false);
        if (!answer)
            return session.lastFailure();
        const schema::ControlMember* member = findMember(answer->configuration, name);
        if (member == nullptr)
            return reportUnknownMember(session, name);
        ChangeList changes;
        if (!member->voter())
            changes.emplace_back().set_promote_control_member(member->identity());
        return submitChanges(session, answer->configuration, std::move(changes), requestId);
    }

    ExitStatus removeMember(Session& session, const std::string& name, const std::string& requestId)
    {
        const auto answer = session.readConfiguration(false);
        if (!answer)
            return session.lastFailure();
        ChangeList changes;
        if (const schema::ControlMember* member = findMember(answer->configuration, name))
            changes.emplace_back().set_remove_control_member(member->identity());
        return submitChanges(session, answer->configuration, std::move(changes), requestId);
    }

    bool hasCaughtUp(Session& session, const std::string& host)
    {
        for (const ControlAnswer& answer : session.readControlStates()) {
            if (!answer.isReachable || answer.state.role() != "leader")
                continue;
            for (const schema::ControlMemberState& member : answer.state.members()) {
                if (member.host() == host || member.identity() == host)
                    return member.voter() || member.match_index() >= answer.state.commit_index();
            }
        }
        return false;
    }

    ExitStatus awaitCaughtUp(Session& session, const std::string& host)
    {
        session.restartDeadline(std::chrono::seconds(FLAGS_wait_seconds));
        while (!hasCaughtUp(session, host)) {
            if (session.isPastDeadline()) {
                session.err() << "control host " << host << " has not caught up; repeat the command later\n";
                return ExitStatus::WaitTimedOut;
            }
            std::this_thread::sleep_for(pauseBetweenPolls);
        }
        session.restartDeadline();
        return ExitStatus::Done;
    }

    void addMemberRows(Table& table, const schema::ControlHostState& leader)
    {
        for (const schema::ControlMemberState& member : leader.members())
            table.add({ member.host(), member.identity(), member.voter() ? "voter" : "learner",
                std::to_string(member.match_index()), std::to_string(member.last_heard_ms_ago()) + " ms" });
    }

}

ExitStatus runControlStatus(Session& session, Arguments)
{
    const std::vector<ControlAnswer> answers = session.readControlStates();
    if (session.isJson()) {
        Json::Value root;
        root["control_hosts"] = toJsonList(answers);
        session.out() << root.toStyledString();
    } else {
        printControlHosts(session, answers);
        Table members({ "MEMBER", "IDENTITY", "VOTE", "LOG INDEX", "HEARD AGO" });
        for (const ControlAnswer& answer : answers) {
            if (answer.isReachable && answer.state.role() == "leader")
                addMemberRows(members, answer.state);
        }
        session.out() << '\n';
        members.print(session.out());
    }
    const bool hasAnswer
        = std::any_of(answers.begin(), answers.end(), [](const ControlAnswer& answer) { return answer.isReachable; });
    return hasAnswer ? ExitStatus::Done : ExitStatus::NotReachable;
}

ExitStatus runControlAdd(Session& session, Arguments arguments)
{
    return addMember(session, arguments[0], arguments[1], "");
}

ExitStatus runControlPromote(Session& session, Arguments arguments) { return promoteMember(session, arguments[0], ""); }

ExitStatus runControlRemove(Session& session, Arguments arguments) { return removeMember(session, arguments[0], ""); }

ExitStatus runControlReplace(Session& session, Arguments arguments)
{
    if (isFlagGiven("expect_revision")) {
        session.err() << "control replace makes several revisions, so --expect-revision cannot be used\n";
        return ExitStatus::Usage;
    }
    ExitStatus status = addMember(session, arguments[1], arguments[2], requestIdOf(FLAGS_request_id, "add"));
    if (status == ExitStatus::Done && !FLAGS_dry_run)
        status = awaitCaughtUp(session, arguments[1]);
    if (status == ExitStatus::Done && !FLAGS_dry_run)
        status = promoteMember(session, arguments[1], requestIdOf(FLAGS_request_id, "promote"));
    if (status == ExitStatus::Done && !FLAGS_dry_run)
        status = removeMember(session, arguments[0], requestIdOf(FLAGS_request_id, "remove"));
    return status;
}

}
