#pragma once

/// @file
/// What every command of bergamotctl uses: settings, token, deadline, HTTP client and output.

#include "bergamotctl/http_client.h"
#include "bergamotroute/result_code.h"

#include "configuration.pb.h"
#include "control.pb.h"
#include "state.pb.h"
#include "tool.pb.h"

#include <chrono>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace bergamotroute {

/// Exit status of bergamotctl; docs/RUNBOOKS.md lists them.
enum class ExitStatus {
    Done = 0,
    Failed = 1,
    Usage = 2,
    Unknown = 3,
    NotReachable = 4,
    WaitTimedOut = 5,
};

/// An entry host's answer, or why there is none.
struct EntryAnswer {
    std::string host;
    std::string endpoint;
    bool isReachable = false;
    schema::EntryHostState state;
};

/// A control host's answer, or why there is none.
struct ControlAnswer {
    std::string host;
    std::string endpoint;
    bool isReachable = false;
    schema::ControlHostState state;
};

/// A configuration and whether the leader's lease covered it.
struct ConfigurationAnswer {
    schema::Configuration configuration;
    bool isFresh = false;
};

/// Answer of the leader of the control hosts to a call that can be repeated.
struct LeaderAnswer {
    /// Done for an answer with status 200, Failed for a refusal.
    ExitStatus status = ExitStatus::NotReachable;
    std::string body;
};

/// Connection of one run of bergamotctl to the deployment.
class Session {
public:
    Session(std::ostream& output, std::ostream& errors);

    /// Reads settings and token as the flags say.
    /// @return false if they are invalid; the error has been printed.
    bool open();

    /// Starts the time limit of a command again.
    /// @param limit longest time; zero takes that of flags or settings.
    void restartDeadline(std::chrono::milliseconds limit = {});

    /// Asks control hosts for the current configuration. Prints a fault.
    /// @param allowStale accept the answer of a control host without a valid lease, with a warning.
    std::optional<ConfigurationAnswer> readConfiguration(bool allowStale);

    /// Makes readConfiguration() return this one, so that the steps of a dry run build on each other.
    void simulate(const schema::Configuration& configuration) { m_simulated = configuration; }

    /// Sends a command until a control host gives a definite answer or the deadline passes. Prints the result.
    ExitStatus sendCommand(schema::Command command);

    /// Asks all control hosts for the answer to an earlier command. Prints the result.
    ExitStatus showRequest(const std::string& requestId);

    /// @return the definite answer to an earlier command, if a control host remembers it.
    std::optional<schema::CommandResult> findRequest(const std::string& requestId);

    /// Prints an answer and, with --wait, waits for an accepted one.
    ExitStatus printResult(const schema::CommandResult& result);

    /// Sends a GET to the control hosts in turn until one answers with 200.
    /// @param[out] fault set to the last fault otherwise.
    std::optional<HttpAnswer> askControl(
        const std::string& path, std::chrono::milliseconds timeout, std::string& fault);

    /// Like askControl(), but asks the leader first, because followers are behind it.
    std::optional<HttpAnswer> askLeaderFirst(const std::string& path, std::string& fault);

    /// Sends a call without a body, which may be repeated, to the control hosts in turn until the leader has answered
    /// or the deadline passes. Prints why there is no answer.
    LeaderAnswer callLeader(HttpMethod method, const std::string& path);

    std::vector<EntryAnswer> readEntryStates();
    std::vector<ControlAnswer> readControlStates();

    /// Sends a GET or POST without a body to one endpoint.
    HttpAnswer sendTo(const std::string& endpoint, const std::string& path, bool isPost = false);

    /// Waits until entry hosts have the revision; names those that do not answer.
    ExitStatus waitInForce(std::uint64_t revision);

    bool isJson() const;
    bool isPastDeadline() const { return timeLeft().count() <= 0; }
    std::ostream& out() { return m_out; }
    std::ostream& err() { return m_err; }
    const schema::OperatorToolSettings& settings() const { return m_settings; }
    /// @return time until the deadline of the whole command; negative after it.
    std::chrono::milliseconds timeLeft() const;
    std::chrono::milliseconds requestTimeout() const;

    /// Status of the last failed readConfiguration().
    ExitStatus lastFailure() const { return m_lastFailure; }

private:
    struct Attempt;

    bool readSettings();
    bool readToken();
    HttpRequest makeRequest(const std::string& endpoint, const std::string& path) const;
    bool tryCommand(const std::string& endpoint, const std::string& body, Attempt& attempt);
    ExitStatus finishCommand(const Attempt& attempt, const std::string& requestId);
    void reportUnknown(const std::string& requestId);

    std::ostream& m_out;
    std::ostream& m_err;
    schema::OperatorToolSettings m_settings;
    std::string m_token;
    HttpClient m_client;
    std::chrono::steady_clock::time_point m_deadline;
    std::optional<schema::Configuration> m_simulated;
    ExitStatus m_lastFailure = ExitStatus::NotReachable;
};

/// Reads a JSON answer; unknown keys are ignored so that a newer host can answer an older tool.
bool readJson(const std::string& text, google::protobuf::Message& message);

/// @return the name of a numbered result code.
std::string resultName(std::uint32_t code);

/// @return a new random request identifier.
std::string makeRequestId();

}
