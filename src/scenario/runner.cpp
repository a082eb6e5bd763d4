#include "scenario/runner.h"

#include "scenario/commands.h"

#include <algorithm>
#include <charconv>
#include <filesystem>
#include <ostream>
#include <sstream>

namespace bergamotroute::scenario {

namespace {

    constexpr SimTime pollInterval = 50 * microsecondsPerMillisecond;
    constexpr SimTime maxRunDuration = 24 * 3600 * microsecondsPerSecond;
    constexpr double maxHosts = 64;
    constexpr double maxBackends = 200;

    bool compare(double actual, const std::string& comparison, double expected)
    {
        if (comparison == "=")
            return actual == expected;
        if (comparison == "<=")
            return actual <= expected;
        if (comparison == ">=")
            return actual >= expected;
        return comparison == "<" ? actual < expected : actual > expected;
    }

    bool isComparison(const std::string& text)
    {
        return text == "=" || text == "<=" || text == ">=" || text == "<" || text == ">";
    }

    std::string text(double number)
    {
        std::ostringstream stream;
        stream << number;
        return stream.str();
    }

    std::string describeService(const Statement& statement, ServiceSetup& setup)
    {
        setup.definition.set_name(statement.arguments[0].text);
        setup.definition.set_address(statement.arguments[1].text);
        std::error_code error;
        IpAddress::parse(statement.arguments[1].text, error);
        const auto alias = statement.options.find("alias");
        setup.alias = alias == statement.options.end() ? statement.arguments[0].text : alias->second.text;
        const auto protocol = statement.options.find("protocol");
        const std::string protocolName = protocol == statement.options.end() ? "tcp" : protocol->second.text;
        if (error || (protocolName != "tcp" && protocolName != "udp"))
            return error ? "\"" + statement.arguments[1].text + "\" is not an address" : "protocol is tcp or udp";
        setup.definition.set_protocol(protocolName == "udp" ? schema::UDP : schema::TCP);
        setup.definition.add_ports(static_cast<std::uint32_t>(statement.option("port", 443)));
        setup.definition.add_allowed_networks("10.9.0.0/16");
        setup.definition.set_drain_deadline_seconds(28'800);
        const auto seconds = [&statement](std::string_view name, double fallback) {
            return static_cast<std::uint32_t>(
                statement.option(name, fallback * microsecondsPerSecond) / microsecondsPerSecond);
        };
        setup.definition.set_udp_idle_seconds(seconds("udp-idle", 30));
        setup.definition.set_probe_idle_seconds(seconds("probe-idle", 900));
        setup.definition.set_max_new_flows_per_second(static_cast<std::uint32_t>(statement.option("new", 0)));
        setup.definition.set_max_open_flows(static_cast<std::uint32_t>(statement.option("open", 0)));
        setup.leaseSeconds = seconds("lease", 6);
        setup.slots = static_cast<std::uint32_t>(statement.option("slots", 2));
        setup.backendCount = static_cast<std::uint32_t>(std::min(statement.option("targets", 1), maxBackends));
        return {};
    }

}

Runner::Runner(RunOptions options)
    : m_options(std::move(options))
{
    m_deploymentOptions.factory = m_options.factory;
}

Runner::~Runner() = default;

Deployment& Runner::ensureDeployment()
{
    if (m_deployment == nullptr) {
        m_deployment = std::make_unique<Deployment>(m_deploymentOptions);
        if (m_options.tracedFlow && m_options.traceOutput != nullptr)
            m_deployment->flows().startTrace(*m_options.tracedFlow, *m_options.traceOutput);
    }
    return *m_deployment;
}

std::string Runner::addHosts(const Statement& statement)
{
    Deployment& deployment = *m_deployment;
    if (deployment.dataCentres.empty() || statement.arguments[0].number > maxHosts)
        return "hosts need a data centre, and at most 64 are possible";
    EntryHostOptions& options = deployment.options().hostOptions;
    options.bucketsPerService = static_cast<std::uint32_t>(statement.option("buckets", options.bucketsPerService));
    options.flowCacheEntries = static_cast<std::uint32_t>(statement.option("cache", options.flowCacheEntries));
    options.controlBytesPerSecond
        = static_cast<std::uint32_t>(statement.option("budget", options.controlBytesPerSecond));
    const auto count = static_cast<std::size_t>(statement.arguments[0].number);
    for (std::size_t index = 0; index < count; ++index)
        deployment.addHost(
            "e" + std::to_string(index + 1), deployment.dataCentres[index % deployment.dataCentres.size()]);
    return {};
}

std::string Runner::addService(const Statement& statement)
{
    ServiceSetup setup;
    if (m_deployment->dataCentres.empty())
        return "a service needs a data centre";
    std::string errorText = describeService(statement, setup);
    if (errorText.empty())
        m_deployment->addService(setup);
    return errorText;
}

std::string Runner::setDelays(const Statement& statement)
{
    Network::Delays delays = m_deployment->network().delays();
    delays.betweenDataCentres
        = static_cast<SimTime>(statement.option("between", static_cast<double>(delays.betweenDataCentres)));
    delays.callers = static_cast<SimTime>(statement.option("callers", static_cast<double>(delays.callers)));
    delays.jitter = static_cast<SimTime>(statement.option("jitter", static_cast<double>(delays.jitter)));
    m_deployment->network().setDelays(delays);
    return {};
}

std::string Runner::advance(SimTime duration)
{
    if (!m_isStarted)
        return "the clock advances only after start";
    if (m_deployment->queue().now() + duration > maxRunDuration)
        return "a run is at most 24 hours long";
    m_deployment->advance(duration);
    return {};
}

std::string Runner::executeSetup(const Statement& statement, bool& isKnown)
{
    isKnown = true;
    if (statement.command == "datacentre") {
        for (const Value& name : statement.arguments)
            m_deployment->dataCentres.push_back(name.text);
        return {};
    }
    if (statement.command == "delays")
        return setDelays(statement);
    if (statement.command == "hosts")
        return addHosts(statement);
    if (statement.command == "service")
        return addService(statement);
    if (statement.command == "fabric") {
        SimTime& detection = m_deployment->options().fabricDetection;
        detection = static_cast<SimTime>(statement.option("detect", static_cast<double>(detection)));
        return {};
    }
    if (statement.command == "start") {
        m_deployment->start();
        m_isStarted = true;
        return {};
    }
    isKnown = false;
    return {};
}

std::string Runner::execute(const Statement& statement)
{
    if (statement.command == "deployments")
        return {};
    if (statement.command == "seed") {
        m_deploymentOptions.seed = static_cast<std::uint64_t>(statement.arguments[0].number);
        return m_deployment == nullptr ? std::string() : "seed must come before the deployment";
    }
    ensureDeployment();
    bool isKnown = false;
    std::string errorText = m_isStarted ? std::string() : executeSetup(statement, isKnown);
    if (isKnown)
        return errorText;
    if (!m_isStarted)
        return statement.command + " is possible only after start";
    if (statement.command == "advance")
        return advance(static_cast<SimTime>(statement.arguments[0].number));
    if (statement.command == "expect")
        return expect(statement);
    if (statement.command == "mark") {
        m_snapshot = takeSnapshot(*m_deployment);
        return {};
    }
    errorText = executeCommand(*m_deployment, statement, isKnown);
    return isKnown ? errorText : statement.command + " is possible only before start";
}

std::string Runner::expect(const Statement& statement)
{
    const std::vector<Value>& words = statement.arguments;
    const std::size_t comparison = words.size() - 2;
    const std::string subject = comparison == 2 ? words[1].text : std::string();
    const std::string& expectedText = words.back().text;
    double expected = 0;
    const auto [end, code] = std::from_chars(expectedText.data(), expectedText.data() + expectedText.size(), expected);
    if (!isComparison(words[comparison].text) || code != std::errc()
        || end != expectedText.data() + expectedText.size())
        return "expect: needs a comparison and a number";
    const SimTime deadline = m_deployment->queue().now() + static_cast<SimTime>(statement.option("within", 0));
    std::string error;
    double actual = readFigure(*m_deployment, words[0].text, subject, m_snapshot, error);
    while (
        error.empty() && !compare(actual, words[comparison].text, expected) && m_deployment->queue().now() < deadline) {
        std::string errorText = advance(pollInterval);
        if (!errorText.empty())
            return errorText;
        actual = readFigure(*m_deployment, words[0].text, subject, m_snapshot, error);
    }
    if (!error.empty())
        return "expect: " + error;
    if (!compare(actual, words[comparison].text, expected)) {
        const std::string figure = subject.empty() ? words[0].text : words[0].text + " " + subject;
        m_failures.push_back(statement.location() + ": expected " + figure + " " + words[comparison].text + " "
            + expectedText + ", seen " + text(actual));
    }
    return {};
}

std::string Runner::summary()
{
    if (m_deployment == nullptr)
        return {};
    std::ostringstream stream;
    const Counters& counters = m_deployment->flows().counters();
    for (std::size_t index = 0; index < counterCount; ++index) {
        if (counters[index] > 0)
            stream << counterName(static_cast<Counter>(index)) << '=' << counters[index] << ' ';
    }
    const std::vector<FlowId>& faultyFlows = m_deployment->flows().firstFaultyFlows();
    if (!faultyFlows.empty())
        stream << "flows to trace:";
    for (const FlowId flow : faultyFlows)
        stream << ' ' << flow;
    return stream.str();
}

RunResult Runner::run(const std::vector<Statement>& statements)
{
    for (const Statement& statement : statements) {
        const std::string errorText = execute(statement);
        if (!errorText.empty()) {
            m_failures.push_back(statement.location() + ": " + errorText);
            break;
        }
    }
    return { m_failures.empty(), m_failures, summary() };
}

namespace {

    std::vector<std::string> deploymentNames(const std::vector<Statement>& statements)
    {
        std::vector<std::string> names;
        for (const Statement& statement : statements) {
            if (statement.command != "deployments")
                continue;
            for (const Value& name : statement.arguments)
                names.push_back(name.text);
        }
        return names;
    }

    bool runOnce(const std::string& title, const std::vector<Statement>& statements, const RunOptions& options,
        std::ostream& output)
    {
        Runner runner(options);
        const RunResult result = runner.run(statements);
        output << (result.passed ? "pass " : "FAIL ") << title << ": " << result.summary << '\n';
        for (const std::string& failure : result.failures)
            output << "  " << failure << '\n';
        return result.passed;
    }

    /// Inserts the statements of the deployment file after the leading "seed" and "deployments" statements.
    std::vector<Statement> insertDeployment(
        const std::vector<Statement>& scenario, const std::vector<Statement>& deployment)
    {
        std::vector<Statement> all = scenario;
        const auto firstOther = std::find_if(all.begin(), all.end(),
            [](const Statement& s) { return s.command != "seed" && s.command != "deployments"; });
        all.insert(firstOther, deployment.begin(), deployment.end());
        return all;
    }

}

bool runScenarioFile(const std::string& path, const RunOptions& options, std::ostream& output)
{
    const ParsedScenario scenario = loadScenario(path);
    if (!scenario.error.empty()) {
        output << "FAIL " << scenario.error << '\n';
        return false;
    }
    const std::vector<std::string> names = deploymentNames(scenario.statements);
    if (names.empty())
        return runOnce(path, scenario.statements, options, output);
    bool passed = true;
    for (const std::string& name : names) {
        const auto folder = std::filesystem::path(path).parent_path();
        const ParsedScenario deployment = loadScenario((folder / (name + ".deployment")).string());
        if (!deployment.error.empty())
            output << "FAIL " << deployment.error << '\n';
        passed = deployment.error.empty()
            && runOnce(
                path + " (" + name + ")", insertDeployment(scenario.statements, deployment.statements), options, output)
            && passed;
    }
    return passed;
}

}
