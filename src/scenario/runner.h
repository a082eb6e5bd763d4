#pragma once

/// @file
/// Runs a scenario against the decision code and gives a verdict.

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
    /// Flow whose packet history is written.
    std::optional<FlowId> tracedFlow;
    std::ostream* traceOutput = nullptr;
    HostFactory factory = makeEntryHost;
};

/// Result of one run of a scenario.
struct RunResult {
    bool passed = false;
    /// "file:line: what was expected and what was seen" of each failed expectation, or the fault that ended the run.
    std::vector<std::string> failures;
    /// All counters at the end, for the report of a failing run.
    std::string summary;
};

/// Executes statements in order. Times in the statements pass on the simulated clock only.
class Runner {
public:
    explicit Runner(RunOptions options);
    ~Runner();

    /// Runs all statements and stops at the first that cannot be executed; failed expectations do not stop the run.
    RunResult run(const std::vector<Statement>& statements);

    /// Executes one statement.
    /// @return what is wrong with it, or an empty text.
    std::string execute(const Statement& statement);

    /// @return the deployment; a null pointer before the first statement that needs it.
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

/// Loads a scenario and runs it once for each deployment that it names.
/// @param[out] output receives one line for each run, and the failures.
/// @return true if all runs passed.
bool runScenarioFile(const std::string& path, const RunOptions& options, std::ostream& output);

}
