#pragma once

/// @file
/// Runs a scenario against the entry host code and reports whether it passed.

#include "scenario/figures.h"
#include "scenario/statement.h"

#include <iosfwd>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bergamotroute::scenario {

/// Options of one run.
struct RunOptions {
    /// Flow whose packet trace is written to traceOutput.
    std::optional<FlowId> tracedFlow;
    std::ostream* traceOutput = nullptr;
    HostFactory factory = makeEntryHost;
};

/// Result of one run of a scenario.
struct RunResult {
    bool passed = false;
    /// Messages of the form "file:line: text": expected and actual value of each failed expectation, or the error that
    /// ended the run.
    std::vector<std::string> failures;
    /// Counters that are not zero at the end of the run, and the first flows with a fault.
    std::string summary;
};

/// Executes statements in order, in simulated time only.
class Runner {
public:
    explicit Runner(RunOptions options);
    ~Runner();

    /// Runs all statements. Stops at the first that cannot be executed; a failed expectation does not stop the run.
    RunResult run(const std::vector<Statement>& statements);

    /// @return an error message, or an empty string.
    std::string execute(const Statement& statement);

    /// @return the deployment; a null pointer before the first statement that needs one.
    Deployment* deployment() { return m_deployment.get(); }
    const CounterSnapshot& snapshot() const { return m_snapshot; }

private:
    Deployment& ensureDeployment();
    std::string executeSetup(const Statement& statement, bool& isKnown);
    std::string addHosts(const Statement& statement);
    std::string addService(const Statement& statement);
    std::string setDelays(const Statement& statement);
    std::string advance(SimTime duration);
    std::string expect(const Statement& statement);
    std::string summary();

    RunOptions m_options;
    DeploymentOptions m_deploymentOptions;
    std::unique_ptr<Deployment> m_deployment;
    bool m_isStarted = false;
    CounterSnapshot m_snapshot;
    std::vector<std::string> m_failures;
};

/// Loads a scenario and runs it once for each deployment file that it names, or once if it names none.
/// @param[out] output receives one line per run, followed by its failures.
/// @return true if all runs passed.
bool runScenarioFile(const std::string& path, const RunOptions& options, std::ostream& output);

}
