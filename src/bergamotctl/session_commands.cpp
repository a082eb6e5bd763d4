// Sending commands: retry, lost answers and the wait for entry hosts.

#include "bergamotctl/flags.h"
#include "bergamotctl/session.h"
#include "libbergamotio/json_schema.h"

#include <iostream>
#include <json/json.h>
#include <thread>
#include <utility>

namespace bergamotroute {

namespace {

    constexpr std::chrono::milliseconds pauseBetweenRounds { 200 };
    constexpr std::chrono::milliseconds pauseBetweenPolls { 100 };
    /// A further request with less time than this would be cut off before its answer, and its outcome would be unknown.
    constexpr std::chrono::milliseconds minRequestTime { 100 };

    /// The schema's JSON prints 64-bit numbers as strings, which the strict reader of the hosts refuses.
    std::string encodeCommand(const schema::Command& command)
    {
        Json::Value root;
        Json::CharReaderBuilder builder;
        const std::string text = toJson(command, false);
        const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
        reader->parse(text.data(), text.data() + text.size(), &root, nullptr);
        root["expect_revision"] = Json::UInt64(command.expect_revision());
        Json::StreamWriterBuilder writer;
        writer["indentation"] = "";
        return Json::writeString(writer, root);
    }

}

/// What is known about a command after some requests.
struct Session::Attempt {
    schema::CommandResult result;
    bool isDefinite = false;
    /// A request may have reached a control host and its outcome is not known.
    bool mayHaveRun = false;
    /// A control host answered that it does not lead or has no quorum.
    bool isRefused = false;
    std::string lastFault;
};

bool Session::tryCommand(const std::string& endpoint, const std::string& body, Attempt& attempt)
{
    HttpRequest request = makeRequest(endpoint, "/v1/command");
    request.body = body;
    const HttpAnswer answer = m_client.send(request);
    if (answer.status == 0) {
        attempt.mayHaveRun |= !answer.isNotSent;
        attempt.lastFault = endpoint + ": " + answer.error.message();
        return false;
    }
    schema::CommandResult result;
    const bool isReadable = readJson(answer.body, result);
    attempt.lastFault = endpoint + ": HTTP status " + std::to_string(answer.status) + ' ' + result.message();
    if (answer.status == 503) {
        attempt.isRefused = true;
        if (isReadable)
            attempt.result = result;
        return false;
    }
    if (answer.status == 504 || (answer.status == 200 && !isReadable)) {
        attempt.mayHaveRun = true;
        return false;
    }
    attempt.isDefinite = true;
    attempt.result = result;
    if (answer.status == 401)
        attempt.result.set_code(static_cast<std::uint32_t>(ResultCode::Unauthorized));
    if (attempt.result.outcome() == schema::OUTCOME_UNKNOWN)
        attempt.result.set_outcome(answer.status == 200 ? schema::OUTCOME_ACCEPTED : schema::OUTCOME_NOT_ACCEPTED);
    return true;
}

ExitStatus Session::sendCommand(schema::Command command)
{
    if (command.request_id().empty())
        command.set_request_id(FLAGS_request_id.empty() ? makeRequestId() : FLAGS_request_id);
    // Printed before the request, so that the identifier is known even if this process ends now.
    m_err << "request-id: " << command.request_id() << std::endl;
    if (m_settings.control_hosts().empty()) {
        m_err << "no control host is configured; see --control\n";
        return ExitStatus::Usage;
    }
    const std::string body = encodeCommand(command);
    Attempt attempt;
    bool isFirst = true;
    while (!attempt.isDefinite) {
        for (const schema::OperatorEndpoint& host : m_settings.control_hosts()) {
            if (!std::exchange(isFirst, false) && timeLeft() < minRequestTime)
                break;
            if (tryCommand(host.endpoint(), body, attempt))
                break;
        }
        if (attempt.isDefinite || timeLeft() < pauseBetweenRounds + minRequestTime)
            break;
        std::this_thread::sleep_for(pauseBetweenRounds);
    }
    return finishCommand(attempt, command.request_id());
}

ExitStatus Session::finishCommand(const Attempt& attempt, const std::string& requestId)
{
    if (attempt.isDefinite) {
        schema::CommandResult result = attempt.result;
        result.set_request_id(requestId);
        return printResult(result);
    }
    if (attempt.mayHaveRun) {
        reportUnknown(requestId);
        return ExitStatus::Unknown;
    }
    if (attempt.isRefused) {
        m_err << "not accepted: " << resultName(attempt.result.code()) << " (" << attempt.lastFault << ")\n";
        return ExitStatus::Failed;
    }
    m_err << "no control host can be reached, so the command did not run: " << attempt.lastFault << '\n';
    return ExitStatus::NotReachable;
}

void Session::reportUnknown(const std::string& requestId)
{
    if (isJson()) {
        schema::CommandResult result;
        result.set_code(static_cast<std::uint32_t>(ResultCode::OutcomeUnknown));
        result.set_request_id(requestId);
        result.set_message("ask again with: bergamotctl request show " + requestId);
        m_out << toJson(result, true);
        return;
    }
    m_out << "unknown: the answer was lost; the change may or may not come into force\n"
          << "ask again with: bergamotctl request show " << requestId << '\n';
}

LeaderAnswer Session::callLeader(HttpMethod method, const std::string& path)
{
    std::string fault = "no control host is configured; see --control";
    bool mayHaveRun = false;
    bool isRefused = false;
    do {
        for (const schema::OperatorEndpoint& host : m_settings.control_hosts()) {
            HttpRequest request = makeRequest(host.endpoint(), path);
            request.method = method;
            const HttpAnswer answer = m_client.send(request);
            if (answer.status == 200)
                return { ExitStatus::Done, answer.body };
            if (answer.status != 0 && answer.status != 503)
                return { ExitStatus::Failed, answer.body };
            // A 503 may be the answer to a command that is in the log and not committed yet.
            isRefused |= answer.status == 503;
            mayHaveRun |= answer.status == 0 && !answer.isNotSent;
            fault
                = host.host() + ": " + (answer.status == 0 ? answer.error.message() : "HTTP status 503 " + answer.body);
        }
        if (m_settings.control_hosts().empty() || timeLeft() < pauseBetweenRounds + minRequestTime)
            break;
        std::this_thread::sleep_for(pauseBetweenRounds);
    } while (true);
    const bool isUnknown = method != HttpMethod::Get && (mayHaveRun || isRefused);
    m_err << (isUnknown ? "unknown: no control host has confirmed the call; repeat it: " : "no answer: ") << fault
          << '\n';
    if (isUnknown)
        return { ExitStatus::Unknown, {} };
    return { m_settings.control_hosts().empty() ? ExitStatus::Usage : ExitStatus::NotReachable, {} };
}

ExitStatus Session::printResult(const schema::CommandResult& result)
{
    const bool isAccepted = result.outcome() == schema::OUTCOME_ACCEPTED;
    if (isJson())
        m_out << toJson(result, true);
    else if (isAccepted)
        m_out << "accepted: revision " << result.revision() << '\n';
    else
        m_out << "not accepted: " << result.code() << ' ' << resultName(result.code()) << ": " << result.message()
              << " (revision " << result.revision() << " is current)\n";
    m_out.flush();
    if (!isAccepted)
        return ExitStatus::Failed;
    return FLAGS_wait ? waitInForce(result.revision()) : ExitStatus::Done;
}

std::optional<schema::CommandResult> Session::findRequest(const std::string& requestId)
{
    m_lastFailure = ExitStatus::NotReachable;
    for (const schema::OperatorEndpoint& host : m_settings.control_hosts()) {
        const HttpAnswer answer = sendTo(host.endpoint(), "/v1/request?id=" + requestId);
        schema::CommandResult result;
        if (answer.status == 200 && readJson(answer.body, result) && result.outcome() != schema::OUTCOME_UNKNOWN)
            return result;
        if (answer.status == 404 || answer.status == 200)
            m_lastFailure = ExitStatus::Unknown;
    }
    return std::nullopt;
}

ExitStatus Session::showRequest(const std::string& requestId)
{
    if (const auto result = findRequest(requestId))
        return printResult(*result);
    if (m_lastFailure == ExitStatus::NotReachable) {
        m_err << "no control host can be reached\n";
        return ExitStatus::NotReachable;
    }
    m_out << "unknown: no control host remembers request " << requestId << "; repeat the command with --request-id "
          << requestId << '\n';
    return ExitStatus::Unknown;
}

ExitStatus Session::waitInForce(std::uint64_t revision)
{
    if (m_settings.entry_hosts().empty()) {
        m_err << "--wait: no entry host is configured; see --entry\n";
        return ExitStatus::Usage;
    }
    restartDeadline(std::chrono::seconds(FLAGS_wait_seconds));
    std::string late;
    std::string unreachable;
    std::size_t inForce = 0;
    while (true) {
        late.clear();
        unreachable.clear();
        inForce = 0;
        for (const EntryAnswer& entry : readEntryStates()) {
            const bool isLate = entry.isReachable && entry.state.configuration_revision() < revision;
            if (!entry.isReachable)
                unreachable += ' ' + entry.host;
            else if (isLate)
                late += ' ' + entry.host;
            else
                ++inForce;
        }
        if (late.empty() || isPastDeadline())
            break;
        std::this_thread::sleep_for(pauseBetweenPolls);
    }
    if (!unreachable.empty())
        m_err << "not reachable:" << unreachable << '\n';
    if (!late.empty()) {
        m_err << "revision " << revision << " is not in force on:" << late << '\n';
        return ExitStatus::WaitTimedOut;
    }
    m_err << "revision " << revision << " is in force on " << inForce << " entry hosts\n";
    return inForce == 0 ? ExitStatus::NotReachable : ExitStatus::Done;
}

}
