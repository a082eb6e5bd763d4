#include "bergamotctl/session.h"

#include "bergamotctl/flags.h"
#include "libbergamotio/json_schema.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <google/protobuf/util/json_util.h>
#include <iostream>
#include <random>
#include <thread>

namespace bergamotroute {

namespace {

    using EndpointList = google::protobuf::RepeatedPtrField<schema::OperatorEndpoint>;

    /// Replaces a list of endpoints with that of a flag: [name=]address:port,...
    bool readEndpoints(const std::string& flag, EndpointList& list, std::ostream& errors)
    {
        if (flag.empty())
            return true;
        list.Clear();
        for (const std::string& part : splitCommas(flag)) {
            const std::size_t equals = part.find('=');
            schema::OperatorEndpoint& entry = *list.Add();
            entry.set_endpoint(equals == std::string::npos ? part : part.substr(equals + 1));
            entry.set_host(part.substr(0, equals));
            std::error_code error;
            Endpoint::parse(entry.endpoint(), error);
            if (error) {
                errors << "'" << part << "' is not of the form [name=]address:port\n";
                return false;
            }
        }
        return true;
    }

}

bool readJson(const std::string& text, google::protobuf::Message& message)
{
    google::protobuf::util::JsonParseOptions options;
    options.ignore_unknown_fields = true;
    return google::protobuf::util::JsonStringToMessage(text, &message, options).ok();
}

std::string resultName(std::uint32_t code)
{
    for (const ResultCodeInfo& info : resultCodeTable()) {
        if (static_cast<std::uint32_t>(info.code) == code)
            return std::string(info.name);
    }
    return "code " + std::to_string(code);
}

std::string makeRequestId()
{
    static constexpr char digits[] = "0123456789abcdef";
    static constexpr int length = 24;
    std::random_device source;
    std::string id = "req-";
    for (int i = 0; i < length; ++i)
        id += digits[source() % 16];
    return id;
}

Session::Session(std::ostream& output, std::ostream& errors)
    : m_out(output)
    , m_err(errors)
{
}

bool Session::open()
{
    if (FLAGS_format != "table" && FLAGS_format != "json") {
        m_err << "--format is table or json, not '" << FLAGS_format << "'\n";
        return false;
    }
    if (!readSettings() || !readToken())
        return false;
    restartDeadline();
    return true;
}

bool Session::readSettings()
{
    std::string path = FLAGS_settings;
    const char* fromEnvironment = std::getenv("BERGAMOTCTL_SETTINGS");
    if (path.empty() && fromEnvironment != nullptr)
        path = fromEnvironment;
    const InputError error
        = path.empty() ? parseJsonMessage("{}", "(no settings)", m_settings) : loadJsonMessage(path, m_settings);
    if (error) {
        m_err << error.message << " (code " << error.code.value() << ")\n";
        return false;
    }
    if (!FLAGS_token_file.empty())
        m_settings.set_token_file(FLAGS_token_file);
    if (FLAGS_timeout_ms != 0)
        m_settings.set_timeout_ms(FLAGS_timeout_ms);
    return readEndpoints(FLAGS_control, *m_settings.mutable_control_hosts(), m_err)
        && readEndpoints(FLAGS_entry, *m_settings.mutable_entry_hosts(), m_err);
}

bool Session::readToken()
{
    if (m_settings.token_file().empty())
        return true;
    std::ifstream file(m_settings.token_file());
    if (!(file >> m_token)) {
        m_err << m_settings.token_file() << ": no token can be read\n";
        return false;
    }
    return true;
}

void Session::restartDeadline(std::chrono::milliseconds limit)
{
    if (limit.count() == 0)
        limit = std::chrono::milliseconds(m_settings.timeout_ms());
    m_deadline = std::chrono::steady_clock::now() + limit;
}

bool Session::isJson() const { return FLAGS_format == "json"; }

std::chrono::milliseconds Session::timeLeft() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_deadline - std::chrono::steady_clock::now());
}

std::chrono::milliseconds Session::requestTimeout() const
{
    const std::chrono::milliseconds limit(m_settings.request_timeout_ms());
    return std::clamp(timeLeft(), std::chrono::milliseconds(1), limit);
}

HttpRequest Session::makeRequest(const std::string& endpoint, const std::string& path) const
{
    HttpRequest request;
    std::error_code error;
    request.endpoint = Endpoint::parse(endpoint, error);
    request.path = path;
    request.token = m_token;
    request.timeout = requestTimeout();
    return request;
}

HttpAnswer Session::sendTo(const std::string& endpoint, const std::string& path, bool isPost)
{
    HttpRequest request = makeRequest(endpoint, path);
    request.method = isPost ? HttpMethod::Post : HttpMethod::Get;
    return m_client.send(request);
}

std::optional<HttpAnswer> Session::askControl(
    const std::string& path, std::chrono::milliseconds timeout, std::string& fault)
{
    fault = "no control host is configured; see --control";
    m_lastFailure = ExitStatus::NotReachable;
    for (const schema::OperatorEndpoint& host : m_settings.control_hosts()) {
        HttpRequest request = makeRequest(host.endpoint(), path);
        request.timeout = std::max(request.timeout, timeout);
        HttpAnswer answer = m_client.send(request);
        if (answer.status == 200)
            return answer;
        const std::string reason
            = answer.status == 0 ? answer.error.message() : "HTTP status " + std::to_string(answer.status);
        fault = "control host " + host.host() + ": " + reason;
        if (answer.status == 401)
            m_lastFailure = ExitStatus::Failed;
    }
    return std::nullopt;
}

std::optional<HttpAnswer> Session::askLeaderFirst(const std::string& path, std::string& fault)
{
    for (const ControlAnswer& host : readControlStates()) {
        if (!host.isReachable || host.state.role() != "leader")
            continue;
        HttpAnswer answer = sendTo(host.endpoint, path);
        if (answer.status == 200)
            return answer;
    }
    m_err << "warning: no leader answers; the answer may be old\n";
    return askControl(path, {}, fault);
}

std::optional<ConfigurationAnswer> Session::readConfiguration(bool allowStale)
{
    if (m_simulated)
        return ConfigurationAnswer { *m_simulated, true };
    std::string fault;
    std::optional<HttpAnswer> answer;
    do {
        answer = askControl("/v1/configuration", {}, fault);
        if (!answer && allowStale)
            answer = askControl("/v1/configuration?stale=1", {}, fault);
        if (answer || m_lastFailure != ExitStatus::NotReachable || m_settings.control_hosts().empty())
            break;
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    } while (!isPastDeadline());
    ConfigurationAnswer result;
    if (answer && readJson(answer->body, result.configuration)) {
        result.isFresh = answer->lease != "expired";
        if (!result.isFresh)
            m_err << "warning: the leader's lease has ended; the answer may be old\n";
        return result;
    }
    m_err << "the configuration cannot be read: " << (answer ? "the answer is malformed" : fault) << '\n';
    return std::nullopt;
}

std::vector<EntryAnswer> Session::readEntryStates()
{
    std::vector<EntryAnswer> answers;
    for (const schema::OperatorEndpoint& host : m_settings.entry_hosts()) {
        EntryAnswer entry { host.host(), host.endpoint(), false, {} };
        const HttpAnswer answer = sendTo(host.endpoint(), "/v1/state");
        entry.isReachable = answer.status == 200 && readJson(answer.body, entry.state);
        answers.push_back(std::move(entry));
    }
    return answers;
}

std::vector<ControlAnswer> Session::readControlStates()
{
    std::vector<ControlAnswer> answers;
    for (const schema::OperatorEndpoint& host : m_settings.control_hosts()) {
        ControlAnswer entry { host.host(), host.endpoint(), false, {} };
        const HttpAnswer answer = sendTo(host.endpoint(), "/v1/state");
        entry.isReachable = answer.status == 200 && readJson(answer.body, entry.state);
        answers.push_back(std::move(entry));
    }
    return answers;
}

}
