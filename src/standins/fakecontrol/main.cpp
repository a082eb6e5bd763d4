/// @file
/// A control host and its entry hosts for tests of bergamotctl: one process, no quorum, scripted faults.
///
/// POST /fake/faults?lose-answers=N&lose-requests=N&not-leader=N&unknown=N sets how many of the next commands suffer a
/// fault. POST /fake/lag?revisions=N makes the entry host report an older revision. PUT-like POST /fake/state with an
/// EntryHostState sets what the entry host reports.

#include "bergamotroute/result_code.h"
#include "libbergamotio/json_schema.h"
#include "standins/common/http_listener.h"
#include "standins/fakecontrol/fake_configuration.h"

#include "state.pb.h"

#include <event2/event.h>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(control, "127.0.0.1:0", "Endpoint of the control host.");
DEFINE_string(entry, "127.0.0.1:0", "Endpoint of the entry host.");
DEFINE_string(ready_file, "", "File that gets the two bound ports.");
DEFINE_string(token, "secret", "Bearer token.");
DEFINE_string(role, "leader", "Role that the control host reports.");

namespace bergamotroute {

namespace {

    std::string resultBody(ResultCode code, const std::string& requestId)
    {
        schema::CommandResult result;
        const bool isUnknown = code == ResultCode::OutcomeUnknown;
        result.set_outcome(isUnknown ? schema::OUTCOME_UNKNOWN : schema::OUTCOME_NOT_ACCEPTED);
        result.set_code(static_cast<std::uint32_t>(code));
        result.set_message(make_error_code(code).message());
        result.set_request_id(requestId);
        return toJson(result, false);
    }

    class FakeHost {
    public:
        ListenerAnswer handleControl(const ListenerRequest& request)
        {
            if (request.path.starts_with("/fake/"))
                return handleFake(request);
            if (request.authorization != "Bearer " + FLAGS_token)
                return { 401, resultBody(ResultCode::Unauthorized, ""), "", false, false };
            if (request.path == "/v1/command")
                return handleCommand(request);
            if (request.path == "/v1/configuration" || request.path == "/v1/watch")
                return { 200, toJson(m_store.configuration(), false), "valid", false, false };
            if (request.path == "/v1/request")
                return handleRequest(request);
            if (request.path == "/v1/history")
                return { 200, historyBody(), "", false, false };
            if (request.path == "/v1/state")
                return { 200, controlState(), "", false, false };
            return { 404, "{}", "", false, false };
        }

        ListenerAnswer handleEntry(const ListenerRequest& request)
        {
            if (request.authorization != "Bearer " + FLAGS_token)
                return { 401, "{}", "", false, false };
            if (request.path == "/v1/leave")
                return { 202, "{}", "", false, false };
            if (request.path != "/v1/state")
                return { 404, "{}", "", false, false };
            schema::EntryHostState state = m_entry;
            state.set_configuration_revision(m_store.configuration().revision() - m_lag);
            return { 200, toJson(state, false), "", false, false };
        }

        void setEntryHost(const std::string& host)
        {
            m_entry.set_host(host);
            m_entry.set_data_centre("east");
            m_entry.set_member_state(schema::MEMBER_READY);
            m_entry.set_has_quorum(true);
        }

    private:
        ListenerAnswer handleCommand(const ListenerRequest& request)
        {
            schema::Command command;
            if (const InputError error = parseJsonMessage(request.body, "command", command))
                return { 400, resultBody(ResultCode::CommandMalformed, error.message), "", false, false };
            if (takeFault(m_notLeader))
                return { 503, resultBody(ResultCode::NotLeader, command.request_id()), "", false, false };
            if (takeFault(m_loseRequests))
                return { 0, "", "", true, false };
            const schema::CommandResult result = m_store.apply(command);
            if (takeFault(m_loseAnswers))
                return { 0, "", "", true, false };
            if (takeFault(m_unknown))
                return { 504, resultBody(ResultCode::OutcomeUnknown, command.request_id()), "", false, false };
            const bool isAccepted = result.outcome() == schema::OUTCOME_ACCEPTED;
            return { isAccepted ? 200 : 409, toJson(result, false), "", false, false };
        }

        ListenerAnswer handleRequest(const ListenerRequest& request) const
        {
            const schema::CommandResult* result = m_store.find(queryValue(request.query, "id"));
            if (result == nullptr)
                return { 404, "{}", "", false, false };
            return { 200, toJson(*result, false), "", false, false };
        }

        ListenerAnswer handleFake(const ListenerRequest& request)
        {
            if (request.path == "/fake/faults") {
                setCount(request.query, "lose-answers", m_loseAnswers);
                setCount(request.query, "lose-requests", m_loseRequests);
                setCount(request.query, "not-leader", m_notLeader);
                setCount(request.query, "unknown", m_unknown);
            } else if (request.path == "/fake/lag") {
                setCount(request.query, "revisions", m_lag);
            } else if (request.path == "/fake/state") {
                const InputError error = parseJsonMessage(request.body, "state", m_entry);
                return { error ? 400 : 200, error.message, "", false, false };
            } else if (request.path == "/fake/configuration") {
                const InputError error
                    = parseJsonMessage(request.body, "configuration", m_store.mutableConfiguration());
                return { error ? 400 : 200, error.message, "", false, false };
            }
            return { 200, "{}", "", false, false };
        }

        static void setCount(const std::string& query, const std::string& key, unsigned& count)
        {
            const std::string value = queryValue(query, key);
            if (!value.empty())
                count = static_cast<unsigned>(std::stoul(value));
        }

        static bool takeFault(unsigned& count)
        {
            if (count == 0)
                return false;
            --count;
            return true;
        }

        std::string historyBody() const
        {
            std::string body = R"({"entries":[)";
            for (const schema::LogEntry& entry : m_store.history())
                body += (body.ends_with('[') ? "" : ",") + toJson(entry, false);
            return body + "]}";
        }

        std::string controlState() const
        {
            schema::ControlHostState state;
            state.set_host("c1");
            state.set_data_centre("east");
            state.set_identity("id-c1");
            state.set_role(FLAGS_role);
            state.set_term(1);
            state.set_commit_index(m_store.configuration().revision());
            state.set_lease_valid(FLAGS_role == "leader");
            for (const schema::ControlMember& member : m_store.configuration().control_members()) {
                schema::ControlMemberState& entry = *state.add_members();
                entry.set_identity(member.identity());
                entry.set_host(member.host());
                entry.set_voter(member.voter());
                entry.set_match_index(state.commit_index());
            }
            return toJson(state, false);
        }

        FakeConfiguration m_store;
        schema::EntryHostState m_entry;
        unsigned m_loseAnswers = 0;
        unsigned m_loseRequests = 0;
        unsigned m_notLeader = 0;
        unsigned m_unknown = 0;
        unsigned m_lag = 0;
    };

}

}

int main(int argc, char** argv)
{
    using namespace bergamotroute;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    event_base* base = event_base_new();
    FakeHost host;
    host.setEntryHost("e1");
    HttpListener control(
        base, FLAGS_control, [&](const ListenerRequest& request) { return host.handleControl(request); });
    HttpListener entry(base, FLAGS_entry, [&](const ListenerRequest& request) { return host.handleEntry(request); });
    if (control.port() == 0 || entry.port() == 0) {
        std::cerr << "an address cannot be bound\n";
        return 1;
    }
    const std::string ports = std::to_string(control.port()) + ' ' + std::to_string(entry.port()) + '\n';
    if (!writeReadyFile(FLAGS_ready_file, ports))
        return 1;
    event_base_dispatch(base);
    event_base_free(base);
    return 0;
}
