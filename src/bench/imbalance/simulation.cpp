#include "imbalance/simulation.h"

#include <algorithm>
#include <cmath>

namespace bergamotroute::bench {

namespace {

    constexpr double tickMs = 100;
    constexpr double snapshotMs = 1'000;
    constexpr double sampleMs = 500;
    constexpr double fillMs = 20'000;
    constexpr double steadyStartMs = 60'000;
    constexpr double changeAtMs = 120'000;
    constexpr double endMs = 130'000;
    constexpr double windowMs = 10'000;
    constexpr double feedLifetimeMs = 1'800'000;
    constexpr double reconnectMs = 5'000;
    /// A caller's stack repeats a first packet after a second.
    constexpr double retryMs = 1'000;
    constexpr std::size_t changedServer = 6;

    enum class EventKind {
        Tick,
        RequestArrives,
        RequestEnds,
        FeedOpens,
        FeedCloses,
    };

    struct Event {
        double time;
        EventKind kind;
        /// Server of a request, or number of a feed.
        std::size_t subject = 0;
        /// Start of the feed or server that the event belongs to; outdated events are ignored.
        std::uint64_t generation = 0;
        bool operator>(const Event& other) const { return time > other.time; }
    };

    struct Feed {
        std::uint64_t flow = 0;
        std::size_t server = noBackend;
        std::uint64_t generation = 0;
    };

    /// Ratio of the largest to the mean.
    double largestOverMean(const std::vector<double>& values)
    {
        double sum = 0;
        double largest = 0;
        for (const double value : values) {
            sum += value;
            largest = std::max(largest, value);
        }
        return sum > 0 ? largest * static_cast<double>(values.size()) / sum : 1;
    }

    /// Samples the imbalance of one period.
    class Meter {
    public:
        void sampleOpen(const std::vector<BackendModel>& servers)
        {
            std::vector<double> values;
            for (const BackendModel& server : servers) {
                if (server.takesNewFlows())
                    values.push_back(static_cast<double>(server.openFlows()) / server.slots());
            }
            const double ratio = largestOverMean(values);
            m_openSum += ratio;
            ++m_openSamples;
            m_result.openWorst = std::max(m_result.openWorst, ratio);
        }

        void start(std::vector<BackendModel>& servers, double now)
        {
            m_periodStart = integrals(servers, now);
            m_windowStart = m_periodStart;
        }

        void endWindow(std::vector<BackendModel>& servers, double now)
        {
            m_result.busyWorst = std::max(m_result.busyWorst, busyRatio(servers, m_windowStart, now));
            m_windowStart = integrals(servers, now);
        }

        Imbalance finish(std::vector<BackendModel>& servers, double now)
        {
            m_result.busyMean = busyRatio(servers, m_periodStart, now);
            m_result.openMean = m_openSamples > 0 ? m_openSum / m_openSamples : 1;
            return m_result;
        }

    private:
        static std::vector<double> integrals(std::vector<BackendModel>& servers, double now)
        {
            std::vector<double> values;
            values.reserve(servers.size());
            for (BackendModel& server : servers)
                values.push_back(server.busyIntegral(now));
            return values;
        }

        static double busyRatio(std::vector<BackendModel>& servers, const std::vector<double>& start, double now)
        {
            std::vector<double> values;
            for (std::size_t i = 0; i < servers.size(); ++i) {
                const double used = servers[i].busyIntegral(now) - (i < start.size() ? start[i] : 0);
                if (servers[i].takesNewFlows())
                    values.push_back(used / (servers[i].slots() * servers[i].weightPercent));
            }
            return largestOverMean(values);
        }

        Imbalance m_result;
        double m_openSum = 0;
        unsigned m_openSamples = 0;
        std::vector<double> m_periodStart;
        std::vector<double> m_windowStart;
    };

    class Simulation {
    public:
        Simulation(const RunOptions& options, BalancingPolicy& policy)
            : m_options(options)
            , m_policy(policy)
            , m_random(options.seed)
            , m_feeds(options.feeds)
        {
            std::uint32_t slots = 0;
            for (std::uint32_t i = 0; i < options.servers; ++i) {
                m_servers.emplace_back(slotsOf(i));
                slots += slotsOf(i);
            }
            m_meanServiceMs = options.utilisation * slots * 1000 / options.newFlowsPerSecond;
        }

        RunResult run()
        {
            m_events.push({ 0, EventKind::Tick });
            m_events.push({ 1'000, EventKind::RequestArrives });
            for (std::size_t i = 0; i < m_feeds.size(); ++i)
                m_events.push({ 1'000 + fillMs * static_cast<double>(i) / static_cast<double>(m_feeds.size()),
                    EventKind::FeedOpens, i });
            while (m_now < endMs) {
                const Event event = m_events.top();
                m_events.pop();
                m_now = event.time;
                handle(event);
            }
            m_result.afterChange = m_meter.finish(m_servers, m_now);
            m_result.tableChanges = m_policy.tableChanges();
            m_result.movedBuckets = m_policy.movedBuckets();
            return m_result;
        }

    private:
        std::uint32_t slotsOf(std::size_t server) const
        {
            return m_options.slots != 0 ? m_options.slots : 2 + static_cast<std::uint32_t>(server % 2);
        }

        double exponential(double mean) { return std::exponential_distribution<double>(1 / mean)(m_random); }

        void handle(const Event& event)
        {
            switch (event.kind) {
            case EventKind::Tick:
                tick();
                break;
            case EventKind::RequestArrives:
                m_events.push({ m_now + exponential(1000 / m_options.newFlowsPerSecond), EventKind::RequestArrives });
                startRequest(m_random());
                break;
            case EventKind::RequestEnds:
                if (m_servers[event.subject].alive)
                    scheduleEnd(event.subject, m_servers[event.subject].finishRequest(m_now));
                break;
            case EventKind::FeedOpens:
                openFeed(event.subject, event.generation);
                break;
            case EventKind::FeedCloses:
                closeFeed(event.subject, event.generation);
                break;
            }
        }

        void startRequest(std::uint64_t flow)
        {
            const std::size_t server = m_policy.select(flow);
            // A request to a dead server is repeated by its caller; the few of them are left out.
            if (server == noBackend || !m_servers[server].alive)
                return;
            scheduleEnd(server, m_servers[server].startRequest(m_now, exponential(m_meanServiceMs)));
        }

        void scheduleEnd(std::size_t server, std::optional<double> end)
        {
            if (end)
                m_events.push({ *end, EventKind::RequestEnds, server });
        }

        void openFeed(std::size_t number, std::uint64_t generation)
        {
            Feed& feed = m_feeds[number];
            if (feed.generation != generation)
                return;
            if (feed.flow == 0)
                feed.flow = m_random();
            const std::size_t server = m_policy.select(feed.flow);
            if (server == noBackend || !m_servers[server].alive) {
                m_events.push({ m_now + retryMs, EventKind::FeedOpens, number, generation });
                return;
            }
            feed.server = server;
            m_servers[server].openFeed();
            m_events.push({ m_now + exponential(feedLifetimeMs), EventKind::FeedCloses, number, generation });
        }

        void closeFeed(std::size_t number, std::uint64_t generation)
        {
            if (m_feeds[number].generation != generation)
                return;
            m_servers[m_feeds[number].server].closeFeed();
            reopenFeed(number, 0);
        }

        void reopenFeed(std::size_t number, double delayMs)
        {
            Feed& feed = m_feeds[number];
            feed = { 0, noBackend, feed.generation + 1 };
            m_events.push({ m_now + delayMs, EventKind::FeedOpens, number, feed.generation });
        }

        void tick()
        {
            m_events.push({ m_now + tickMs, EventKind::Tick });
            if (m_now >= changeAtMs && !m_changed)
                change();
            if (isMultiple(snapshotMs)) {
                for (BackendModel& server : m_servers)
                    server.recordSnapshot(m_now);
            }
            m_policy.advance(m_servers, m_now);
            if (m_policy.reroutesEstablished() && m_policy.tableChanges() != m_seenChanges)
                breakRerouted();
            m_seenChanges = m_policy.tableChanges();
            measure();
        }

        bool isMultiple(double stepMs) const { return std::llround(m_now) % static_cast<std::int64_t>(stepMs) == 0; }

        void measure()
        {
            if (m_now < steadyStartMs)
                return;
            if (!m_measuring) {
                m_meter.start(m_servers, m_now);
                m_measuring = true;
            }
            if (isMultiple(sampleMs) && m_now != changeAtMs)
                m_meter.sampleOpen(m_servers);
            if (isMultiple(windowMs) && m_now > steadyStartMs && m_now != changeAtMs)
                m_meter.endWindow(m_servers, m_now);
        }

        void change()
        {
            m_meter.endWindow(m_servers, m_now);
            m_result.steady = m_meter.finish(m_servers, m_now);
            m_changed = true;
            switch (m_options.change) {
            case Change::Drain:
                m_servers[changedServer].draining = true;
                break;
            case Change::Add:
                m_servers.emplace_back(slotsOf(m_servers.size()));
                break;
            case Change::Reweight:
                m_servers[changedServer].weightPercent = 50;
                break;
            case Change::Death:
                m_servers[changedServer].die(m_now);
                breakFeedsOf(changedServer);
                break;
            }
            m_meter = Meter();
            m_meter.start(m_servers, m_now);
        }

        void breakFeedsOf(std::size_t server)
        {
            for (std::size_t i = 0; i < m_feeds.size(); ++i) {
                if (m_feeds[i].server != server)
                    continue;
                ++m_result.brokenFeeds;
                reopenFeed(i, std::uniform_real_distribution<double>(0, reconnectMs)(m_random));
            }
        }

        void breakRerouted()
        {
            for (std::size_t i = 0; i < m_feeds.size(); ++i) {
                const Feed& feed = m_feeds[i];
                if (feed.server == noBackend || m_policy.select(feed.flow) == feed.server)
                    continue;
                ++m_result.brokenFeeds;
                m_servers[feed.server].closeFeed();
                reopenFeed(i, std::uniform_real_distribution<double>(0, reconnectMs)(m_random));
            }
        }

        RunOptions m_options;
        BalancingPolicy& m_policy;
        std::mt19937_64 m_random;
        std::vector<BackendModel> m_servers;
        std::vector<Feed> m_feeds;
        std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
        double m_meanServiceMs = 0;
        double m_now = 0;
        std::uint64_t m_seenChanges = 0;
        bool m_measuring = false;
        bool m_changed = false;
        Meter m_meter;
        RunResult m_result;
    };

}

RunResult runSimulation(const RunOptions& options, BalancingPolicy& policy)
{
    return Simulation(options, policy).run();
}

}
