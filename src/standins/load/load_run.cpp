#include "standins/load/load_run.h"

#include "standins/common/traffic_identity.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bergamotroute {

namespace {

    constexpr Duration tickInterval { 5 };
    constexpr double millisecondsPerSecond = 1000.0;
    constexpr std::uint32_t portsPerCaller = 60'000;
    constexpr std::uint16_t firstPort = 1024;

    prometheus::Summary& addLatency(prometheus::Registry& registry)
    {
        const prometheus::Summary::Quantiles quantiles { { 0.5, 0.01 }, { 0.9, 0.01 }, { 0.99, 0.001 } };
        return prometheus::BuildSummary()
            .Name("load_latency_seconds")
            .Help("Time from the first packet to the first bytes of the answer.")
            .Register(registry)
            .Add({}, quantiles);
    }

    std::uint64_t dueCount(std::uint32_t perSecond, Duration elapsed)
    {
        return static_cast<std::uint64_t>(perSecond) * static_cast<std::uint64_t>(elapsed.count()) / 1000;
    }

}

LoadRun::LoadRun(EventLoop& loop, PacketPort& port, const LoadOptions& options)
    : m_loop(loop)
    , m_port(port)
    , m_options(options)
    , m_timer(loop, [this] { tick(); })
    , m_latency(addLatency(m_registry))
{
}

void LoadRun::start()
{
    m_started = m_loop.now();
    tick();
}

void LoadRun::tick()
{
    m_ended.clear();
    const TimePoint now = m_loop.now();
    openDueFlows(now);
    m_port.finishRound();
    if (now - m_started >= m_options.duration && m_flows.empty())
        m_loop.stop();
    else
        m_timer.start(tickInterval);
}

void LoadRun::openDueFlows(TimePoint now)
{
    const Duration elapsed = std::min(now - m_started, m_options.duration);
    const Duration rest = m_options.duration - elapsed;
    const std::uint64_t feeds = std::min<std::uint64_t>(m_options.feeds, dueCount(m_options.feedsPerSecond, elapsed));
    for (; m_openedFeeds < feeds; ++m_openedFeeds) {
        LoadRequest request;
        request.kind = RequestKind::Feed;
        request.interval = m_options.feedInterval;
        request.lines = static_cast<std::uint64_t>(rest / m_options.feedInterval) + 1;
        open(std::move(request));
    }
    for (; m_openedShort < dueCount(m_options.shortFlowsPerSecond, elapsed); ++m_openedShort) {
        LoadRequest request;
        request.kind = m_openedShort % 2 == 0 ? RequestKind::Order : RequestKind::Document;
        request.bytes = m_options.documentBytes;
        open(std::move(request));
    }
}

void LoadRun::open(LoadRequest request)
{
    request.identity = requestIdentity(m_options.seed, m_nextIdentity++);
    auto flow = std::make_unique<LoadFlow>(m_loop, m_port, std::move(request), *this);
    LoadFlow& opened = *flow;
    m_flows[&opened] = std::move(flow);
    opened.start(nextFlowKey());
}

FlowKey LoadRun::nextFlowKey()
{
    // Callers 10.0.0.1, 10.0.0.2 and so on, each with all its ports.
    const std::uint64_t caller = m_nextCaller / portsPerCaller + 1;
    const auto port = static_cast<std::uint16_t>(firstPort + m_nextCaller % portsPerCaller);
    ++m_nextCaller;
    const std::array<std::uint8_t, 4> octets { 10, static_cast<std::uint8_t>(m_options.seed),
        static_cast<std::uint8_t>(caller >> 8), static_cast<std::uint8_t>(caller) };
    return { IpAddress::fromV4(octets), m_options.service.address, port, m_options.service.port,
        TransportProtocol::Tcp };
}

void LoadRun::onAnswerBegun(LoadFlow& flow)
{
    ++m_answersByBackend[flow.backend()];
    ++m_openByBackend[flow.backend()];
    const Duration latency = m_loop.now() - flow.startTime();
    m_latency.Observe(static_cast<double>(latency.count()) / millisecondsPerSecond);
}

void LoadRun::onFlowEnded(LoadFlow& flow, FlowResult result)
{
    ++m_results[result];
    if (!flow.backend().empty())
        --m_openByBackend[flow.backend()];
    if (result == FlowResult::Whole && flow.request().kind == RequestKind::Order)
        m_answeredOrders.insert(flow.request().identity);
    if (result != FlowResult::Whole && result != FlowResult::Shed)
        ++m_brokenByBackend[flow.backend().empty() ? "unknown" : flow.backend()];
    // The connection still uses the flow as its observer until both sides have closed.
    const auto found = m_flows.find(&flow);
    m_ended.push_back(std::move(found->second));
    m_flows.erase(found);
}

std::uint64_t LoadRun::brokenFlows() const
{
    std::uint64_t total = 0;
    for (const auto& [result, count] : m_results) {
        if (result != FlowResult::Whole && result != FlowResult::Shed)
            total += count;
    }
    return total;
}

double LoadRun::openImbalance() const
{
    std::int64_t largest = 0;
    std::int64_t total = 0;
    std::size_t seen = 0;
    for (const auto& [backend, open] : m_openByBackend) {
        largest = std::max(largest, open);
        total += open;
        ++seen;
    }
    const std::size_t backends = m_options.backends == 0 ? seen : m_options.backends;
    return total == 0 ? 0 : static_cast<double>(largest) * static_cast<double>(backends) / static_cast<double>(total);
}

Json::Value LoadRun::latencyReport() const
{
    Json::Value result(Json::objectValue);
    for (const prometheus::MetricFamily& family : m_registry.Collect()) {
        for (const prometheus::ClientMetric& metric : family.metric) {
            for (const auto& quantile : metric.summary.quantile)
                result["p" + std::to_string(std::lround(quantile.quantile * 100))]
                    = quantile.value * millisecondsPerSecond;
        }
    }
    return result;
}

Json::Value LoadRun::report() const
{
    const double seconds = static_cast<double>((m_loop.now() - m_started).count()) / millisecondsPerSecond;
    Json::Value result(Json::objectValue);
    result["seconds"] = seconds;
    result["open_flows"] = Json::UInt64(m_flows.size());
    result["opened_flows"] = Json::UInt64(m_openedFeeds + m_openedShort);
    result["broken_flows"] = Json::UInt64(brokenFlows());
    result["imbalance"] = openImbalance();
    result["latency_ms"] = latencyReport();
    for (const auto& [kind, count] : m_results)
        result["results"][flowResultName(kind)] = Json::UInt64(count);
    for (const auto& [backend, count] : m_answersByBackend)
        result["answers"][backend] = Json::UInt64(count);
    for (const auto& [backend, count] : m_openByBackend)
        result["open"][backend] = Json::Int64(count);
    for (const auto& [backend, count] : m_brokenByBackend)
        result["broken"][backend] = Json::UInt64(count);
    return result;
}

}
