#include "scenario/figures.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <map>

namespace bergamotroute::scenario {

namespace {

    struct Query {
        Deployment& deployment;
        const std::string& subject;
        const CounterSnapshot& snapshot;
        std::string& error;
    };

    using Reader = std::function<double(const Query&)>;

    double unknownSubject(const Query& query, const char* kind)
    {
        query.error = "no " + std::string(kind) + " named \"" + query.subject + "\"";
        return 0;
    }

    double readBackend(const Query& query, const std::function<double(BackendServer&)>& read)
    {
        BackendServer* backend = query.deployment.findBackend(query.subject);
        return backend == nullptr ? unknownSubject(query, "backend server") : read(*backend);
    }

    double readHost(const Query& query, const std::function<double(SimulatedHost&)>& read)
    {
        SimulatedHost* host = query.deployment.findHost(query.subject);
        return host == nullptr ? unknownSubject(query, "entry host") : read(*host);
    }

    double readService(const Query& query, const std::function<double(std::size_t)>& read)
    {
        const auto service = query.deployment.findService(query.subject);
        return service ? read(*service) : unknownSubject(query, "service");
    }

    double newFlows(const Query& query)
    {
        return readBackend(query, [&query](const BackendServer& backend) {
            const auto index = static_cast<std::size_t>(backend.identity().index);
            const std::uint64_t before = index < query.snapshot.accepted.size() ? query.snapshot.accepted[index] : 0;
            return static_cast<double>(backend.acceptedFlows() - before);
        });
    }

    double openFlows(const Query& query)
    {
        if (query.deployment.findBackend(query.subject) != nullptr)
            return readBackend(query, [](const BackendServer& b) { return static_cast<double>(b.openFlows()); });
        return readService(query, [&query](std::size_t service) {
            std::size_t open = 0;
            for (const auto& backend : query.deployment.backends()) {
                if (backend->identity().service == service)
                    open += backend->openFlows();
            }
            return static_cast<double>(open);
        });
    }

    double silentOpen(const Query& query)
    {
        std::size_t open = 0;
        FlowTable& flows = query.deployment.flows();
        for (FlowId id = 0; id < flows.size(); ++id) {
            const Flow& flow = flows.at(id);
            const bool isOpen = flow.isSilent && flow.server != noBackend
                && query.deployment.backends()[static_cast<std::size_t>(flow.server)]->serves(id, flow.serverEpoch);
            open += isOpen ? 1 : 0;
        }
        return static_cast<double>(open);
    }

    double lowestRevision(const Query& query)
    {
        std::uint64_t lowest = std::numeric_limits<std::uint64_t>::max();
        for (const auto& host : query.deployment.hosts()) {
            if (host->isRunning())
                lowest = std::min(lowest, host->program()->revision());
        }
        return static_cast<double>(lowest);
    }

    double readyHosts(const Query& query)
    {
        std::size_t ready = 0;
        const TimePoint now = query.deployment.queue().clock().now();
        for (const auto& host : query.deployment.hosts()) {
            const bool isReady = host->isRunning() && host->program()->dump(now).member_state() == schema::MEMBER_READY;
            ready += isReady ? 1 : 0;
        }
        return static_cast<double>(ready);
    }

    double movedBuckets(const Query& query)
    {
        std::uint32_t moved = 0;
        const TimePoint now = query.deployment.queue().clock().now();
        for (const auto& host : query.deployment.hosts()) {
            if (!host->isRunning())
                continue;
            const schema::EntryHostState state = host->program()->dump(now);
            for (const schema::ServiceState& service : state.services())
                moved = std::max(moved, service.moved_buckets());
        }
        return static_cast<double>(moved);
    }

    const std::map<std::string, Reader>& readers()
    {
        static const std::map<std::string, Reader> table = {
            { "new-flows", newFlows },
            { "open", openFlows },
            { "silent-open", silentOpen },
            { "lowest-revision", lowestRevision },
            { "ready-hosts", readyHosts },
            { "moved-buckets", movedBuckets },
            { "accepted-revision",
                [](const Query& q) {
                    return static_cast<double>(q.deployment.configuration().accepted().revision());
                } },
            { "revision",
                [](const Query& q) {
                    return readHost(q, [](SimulatedHost& host) {
                        return host.isRunning() ? static_cast<double>(host.program()->revision()) : 0;
                    });
                } },
            { "left",
                [](const Query& q) {
                    return readHost(q, [](SimulatedHost& host) { return host.hasLeft() ? 1 : 0; });
                } },
            { "announcement-code",
                [](const Query& q) {
                    return readBackend(q, [&q](const BackendServer& b) {
                        return static_cast<double>(q.deployment.lastAnnouncementCode(b));
                    });
                } },
            { "control-bytes", [](const Query& q) { return controlBytes(q.deployment, q.snapshot); } },
            { "imbalance",
                [](const Query& q) {
                    return readService(q, [&q](std::size_t service) { return openImbalance(q.deployment, service); });
                } },
        };
        return table;
    }

    /// @return false for a backend server whose operator override sets another state than ready or another weight than
    /// 100 %, or whose data centre is stopped.
    bool hasFullWeight(Deployment& deployment, const BackendServer& backend)
    {
        constexpr std::uint32_t fullWeight = 100;
        const std::string address = backend.identity().address.toString();
        for (const schema::BackendOverride& entry : deployment.configuration().accepted().backends()) {
            const bool isFull = entry.state() == schema::BACKEND_READY && entry.weight_percent() == fullWeight;
            if (entry.address() == address && !isFull)
                return false;
        }
        for (const schema::DataCentre& dataCentre : deployment.configuration().accepted().data_centres()) {
            if (dataCentre.name() == backend.identity().dataCentre && dataCentre.stopped())
                return false;
        }
        return true;
    }

    std::optional<std::size_t> counterIndex(const std::string& name)
    {
        for (std::size_t index = 0; index < counterCount; ++index) {
            if (counterName(static_cast<Counter>(index)) == name)
                return index;
        }
        return std::nullopt;
    }

}

CounterSnapshot takeSnapshot(Deployment& deployment)
{
    CounterSnapshot snapshot { deployment.queue().now(), deployment.flows().counters(), {} };
    for (const auto& backend : deployment.backends())
        snapshot.accepted.push_back(backend->acceptedFlows());
    return snapshot;
}

double openImbalance(Deployment& deployment, std::size_t service)
{
    double sum = 0;
    double largest = 0;
    std::size_t count = 0;
    for (const auto& backend : deployment.backends()) {
        const bool takesFlows = backend->identity().service == service && backend->isAlive() && backend->isAnnouncing
            && backend->announcedState == schema::READY && hasFullWeight(deployment, *backend);
        if (!takesFlows)
            continue;
        const auto open = static_cast<double>(backend->openFlows());
        sum += open;
        largest = std::max(largest, open);
        ++count;
    }
    return sum > 0 ? largest * static_cast<double>(count) / sum : 1;
}

double controlBytes(Deployment& deployment, const CounterSnapshot& snapshot)
{
    double largest = 0;
    for (const auto& host : deployment.hosts())
        largest = std::max(largest, host->controlBytesPerSecond(snapshot.time / microsecondsPerSecond));
    return largest;
}

double readFigure(Deployment& deployment, const std::string& figure, const std::string& subject,
    const CounterSnapshot& snapshot, std::string& error)
{
    if (const auto index = counterIndex(figure))
        return static_cast<double>(deployment.flows().counters()[*index] - snapshot.counters[*index]);
    const auto reader = readers().find(figure);
    if (reader != readers().end())
        return reader->second({ deployment, subject, snapshot, error });
    error = "unknown figure \"" + figure + "\"";
    return 0;
}

}
