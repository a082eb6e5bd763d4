#pragma once

/// @file
/// Opens flows at a rate, keeps feeds open, and reports what callers saw.

#include "libbergamotio/event_loop.h"
#include "standins/load/load_flow.h"

#include <json/json.h>
#include <map>
#include <memory>
#include <prometheus/registry.h>
#include <prometheus/summary.h>
#include <set>
#include <string>
#include <unordered_map>

namespace bergamotroute {

/// Size and course of a run.
struct LoadOptions {
    Endpoint service;
    std::uint64_t seed = 1;
    /// Feeds that stay open for the whole run.
    std::uint32_t feeds = 0;
    std::uint32_t feedsPerSecond = 2000;
    Duration feedInterval { 5000 };
    /// Short flows a second, half orders and half documents.
    std::uint32_t shortFlowsPerSecond = 0;
    std::size_t documentBytes = 1000;
    Duration duration { 10'000 };
    /// Backend servers that should share the flows; zero counts those seen.
    std::uint32_t backends = 0;
};

/// One run of callers.
class LoadRun final : public LoadFlowObserver {
public:
    LoadRun(EventLoop& loop, PacketPort& port, const LoadOptions& options);

    /// Opens flows; the loop stops when all have ended.
    void start();

    /// @return counters since the start, in JSON.
    Json::Value report() const;

    /// @return identities of orders whose callers got the whole answer.
    const std::set<std::string>& answeredOrders() const { return m_answeredOrders; }

    /// @return flows that ended without their whole answer, shed ones excluded.
    std::uint64_t brokenFlows() const;

private:
    void onAnswerBegun(LoadFlow& flow) override;
    void onFlowEnded(LoadFlow& flow, FlowResult result) override;
    void tick();
    void openDueFlows(TimePoint now);
    void open(LoadRequest request);
    FlowKey nextFlowKey();
    double openImbalance() const;
    Json::Value latencyReport() const;

    EventLoop& m_loop;
    PacketPort& m_port;
    LoadOptions m_options;
    Timer m_timer;
    TimePoint m_started;
    std::uint64_t m_openedFeeds = 0;
    std::uint64_t m_openedShort = 0;
    std::uint64_t m_nextCaller = 0;
    std::uint64_t m_nextIdentity = 0;
    std::unordered_map<const LoadFlow*, std::unique_ptr<LoadFlow>> m_flows;
    std::vector<std::unique_ptr<LoadFlow>> m_ended;
    std::map<FlowResult, std::uint64_t> m_results;
    std::map<std::string, std::uint64_t> m_brokenByBackend;
    std::map<std::string, std::int64_t> m_openByBackend;
    std::map<std::string, std::uint64_t> m_answersByBackend;
    std::set<std::string> m_answeredOrders;
    prometheus::Registry m_registry;
    prometheus::Summary& m_latency;
};

}
