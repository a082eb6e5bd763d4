#include "scenario/commands.h"

#include <functional>
#include <map>

namespace bergamotroute::scenario {

namespace {

    using Handler = std::function<std::string(Deployment&, const Statement&)>;
    using Table = std::map<std::string, Handler, std::less<>>;

    std::string unknownName(const std::string& name) { return "unknown name \"" + name + "\""; }

    SimTime duration(const Statement& statement, std::string_view option, SimTime fallback)
    {
        return static_cast<SimTime>(statement.option(option, static_cast<double>(fallback)));
    }

    std::string openTraffic(Deployment& deployment, const Statement& statement, FlowKind kind)
    {
        const auto service = deployment.findService(statement.arguments[0].text);
        if (!service)
            return unknownName(statement.arguments[0].text);
        const double rate = statement.option("rate", 1000);
        if (rate <= 0)
            return "rate must be above zero";
        const double seconds = statement.option("for", microsecondsPerSecond) / microsecondsPerSecond;
        const bool isRequests = kind == FlowKind::Request;
        const double count = isRequests ? rate * seconds : statement.option("count", 1);
        constexpr double maxFlows = 2'000'000;
        if (count > maxFlows)
            return "more than 2000000 flows";
        const SimTime interval = isRequests ? 0 : duration(statement, "every", microsecondsPerSecond);
        if (kind == FlowKind::Datagrams && interval < microsecondsPerMillisecond)
            return "every must be at least 1ms";
        openFlows(deployment, *service, kind, static_cast<std::size_t>(count), rate, interval,
            duration(statement, "life", 0));
        return {};
    }

    std::string silence(Deployment& deployment, const Statement& statement)
    {
        const auto service = deployment.findService(statement.arguments[0].text);
        auto remaining = static_cast<std::size_t>(statement.arguments[1].number);
        FlowTable& flows = deployment.flows();
        for (FlowId id = 0; id < flows.size() && remaining > 0; ++id) {
            Flow& flow = flows.at(id);
            if (service && flow.service != *service)
                continue;
            if (flow.phase != FlowPhase::Open || flow.kind != FlowKind::Feed || flow.isSilent)
                continue;
            deployment.callers().silence(flow);
            --remaining;
        }
        return remaining == 0 ? std::string() : "too few open feeds";
    }

    /// Applies an action to each entry host or backend server named by the arguments; a data centre names all of its
    /// own.
    std::string forEachNode(Deployment& deployment, const Statement& statement,
        const std::function<void(SimulatedHost&)>& onHost, const std::function<void(BackendServer&)>& onBackend)
    {
        for (const Value& argument : statement.arguments) {
            bool isFound = false;
            for (const NodeId node : deployment.network().find(argument.text)) {
                for (const auto& host : deployment.hosts()) {
                    if (host->node() != node)
                        continue;
                    onHost(*host);
                    isFound = true;
                }
                for (const auto& backend : deployment.backends()) {
                    if (deployment.nodeOf(*backend) != node)
                        continue;
                    onBackend(*backend);
                    isFound = true;
                }
            }
            if (!isFound)
                return unknownName(argument.text);
        }
        return {};
    }

    std::string kill(Deployment& deployment, const Statement& statement)
    {
        return forEachNode(
            deployment, statement, [&deployment](SimulatedHost& host) { deployment.killHost(host); },
            [](BackendServer& backend) { backend.kill(); });
    }

    std::string restart(Deployment& deployment, const Statement& statement)
    {
        return forEachNode(
            deployment, statement, [&deployment](SimulatedHost& host) { deployment.restartHost(host); },
            [&deployment](BackendServer& backend) {
                backend.restart();
                deployment.announce(backend, schema::READY);
            });
    }

    std::string freeze(Deployment& deployment, const Statement& statement)
    {
        const SimTime time = duration(statement, "for", microsecondsPerSecond);
        return forEachNode(
            deployment, statement, [&](SimulatedHost& host) { deployment.freezeHost(host, time); },
            [&](BackendServer& backend) {
                backend.isFrozen = true;
                deployment.queue().after(time, [&backend] { backend.isFrozen = false; });
            });
    }

    std::string partition(Deployment& deployment, const Statement& statement)
    {
        std::vector<NodeId> inside;
        for (const Value& argument : statement.arguments) {
            const std::vector<NodeId> found = deployment.network().find(argument.text);
            if (found.empty())
                return unknownName(argument.text);
            inside.insert(inside.end(), found.begin(), found.end());
        }
        deployment.network().partition(inside);
        return {};
    }

    std::string cut(Deployment& deployment, const Statement& statement)
    {
        Network& network = deployment.network();
        const std::vector<NodeId> first = network.find(statement.arguments[0].text);
        const std::vector<NodeId> second = network.find(statement.arguments[1].text);
        if (first.empty() || second.empty())
            return unknownName(statement.arguments[first.empty() ? 0 : 1].text);
        for (const NodeId from : first) {
            for (const NodeId to : second) {
                network.cut(from, to);
                if (statement.command == "cut")
                    network.cut(to, from);
            }
        }
        return {};
    }

    std::string setExtraDelays(Deployment& deployment, const Statement& statement)
    {
        deployment.configuration().maxExtraDelay = duration(statement, "configuration", 0);
        deployment.maxExtraMessageDelay = duration(statement, "messages", 0);
        return {};
    }

    std::string setReportMode(Deployment& deployment, const Statement& statement)
    {
        static const std::map<std::string, ReportMode> modes = { { "honest", ReportMode::Honest },
            { "lagging", ReportMode::Lagging }, { "idle", ReportMode::Idle }, { "busy", ReportMode::Busy } };
        BackendServer* backend = deployment.findBackend(statement.arguments[0].text);
        const auto mode = modes.find(statement.arguments[1].text);
        if (backend == nullptr || mode == modes.end())
            return unknownName(statement.arguments[backend == nullptr ? 0 : 1].text);
        backend->reportMode = mode->second;
        constexpr SimTime defaultLag = 5 * microsecondsPerSecond;
        backend->reportLag = duration(statement, "lag", defaultLag);
        return {};
    }

    std::string announce(Deployment& deployment, const Statement& statement)
    {
        BackendServer* backend = deployment.findBackend(statement.arguments[0].text);
        if (backend == nullptr)
            return unknownName(statement.arguments[0].text);
        const auto other = statement.options.find("as");
        if (other != statement.options.end()) {
            const auto service = deployment.findService(other->second.text);
            if (!service)
                return unknownName(other->second.text);
            deployment.announceAs(*backend, *service);
            return {};
        }
        const std::string& state = statement.arguments[1].text;
        if (state == "silent") {
            backend->isAnnouncing = false;
            return {};
        }
        static const std::map<std::string, schema::BackendState> states = { { "starting", schema::STARTING },
            { "ready", schema::READY }, { "draining", schema::DRAINING }, { "gone", schema::GONE } };
        const auto entry = states.find(state);
        if (entry == states.end())
            return "unknown state \"" + state + "\"";
        deployment.announce(*backend, entry->second);
        return {};
    }

    std::string addBackends(Deployment& deployment, const Statement& statement)
    {
        const auto service = deployment.findService(statement.arguments[0].text);
        if (!service)
            return unknownName(statement.arguments[0].text);
        deployment.addBackends(*service, static_cast<std::uint32_t>(statement.arguments[1].number));
        return {};
    }

    std::string leave(Deployment& deployment, const Statement& statement)
    {
        return forEachNode(
            deployment, statement, [&deployment](SimulatedHost& host) { deployment.leaveHost(host); },
            [](BackendServer&) {});
    }

    std::string offerOldRevision(Deployment& deployment, const Statement& statement)
    {
        for (const Value& argument : statement.arguments) {
            SimulatedHost* host = deployment.findHost(argument.text);
            if (host == nullptr || !host->isRunning())
                return unknownName(argument.text);
            if (deployment.configuration().offerFirstRevision(*host) == ResultCode::Ok)
                deployment.flows().count(Counter::Reverted);
        }
        return {};
    }

    std::string setNetwork(Deployment& deployment, const Statement& statement)
    {
        const double value = statement.arguments.empty() ? 0 : statement.arguments[0].number;
        if (statement.command == "loss")
            deployment.network().setLoss(value);
        else if (statement.command == "duplicate")
            deployment.network().setDuplication(value);
        else if (statement.command == "slow")
            deployment.network().setAddedDelay(static_cast<SimTime>(value));
        else
            deployment.network().heal();
        return {};
    }

    const Table& handlers()
    {
        static const Table table = {
            { "feeds", [](Deployment& d, const Statement& s) { return openTraffic(d, s, FlowKind::Feed); } },
            { "requests", [](Deployment& d, const Statement& s) { return openTraffic(d, s, FlowKind::Request); } },
            { "datagrams", [](Deployment& d, const Statement& s) { return openTraffic(d, s, FlowKind::Datagrams); } },
            { "silence", silence },
            { "kill", kill },
            { "restart", restart },
            { "freeze", freeze },
            { "partition", partition },
            { "cut", cut },
            { "cut-one-way", cut },
            { "heal", setNetwork },
            { "loss", setNetwork },
            { "duplicate", setNetwork },
            { "slow", setNetwork },
            { "uneven", setExtraDelays },
            { "reports", setReportMode },
            { "announce", announce },
            { "add-targets", addBackends },
            { "leave", leave },
            { "old-revision", offerOldRevision },
        };
        return table;
    }

}

void openFlows(Deployment& deployment, std::size_t service, FlowKind kind, std::size_t count, double rate,
    SimTime interval, SimTime lifetime)
{
    const ServiceEndpoint endpoint = deployment.serviceEndpoint(service);
    for (std::size_t index = 0; index < count; ++index) {
        const auto delay = static_cast<SimTime>(static_cast<double>(index) * microsecondsPerSecond / rate);
        deployment.queue().after(delay, [&deployment, endpoint, kind, interval, lifetime] {
            deployment.callers().open(endpoint, kind, interval, lifetime);
        });
    }
}

std::string executeCommand(Deployment& deployment, const Statement& statement, bool& isKnown)
{
    const auto handler = handlers().find(statement.command);
    isKnown = true;
    if (handler != handlers().end())
        return handler->second(deployment, statement);
    return executeConfigurationCommand(deployment, statement, isKnown);
}

}
