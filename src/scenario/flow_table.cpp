#include "scenario/flow_table.h"

#include <iomanip>
#include <ostream>

namespace bergamotroute::scenario {

namespace {

    constexpr std::uint32_t portsPerCaller = 60'000;
    constexpr std::uint16_t firstPort = 1024;
    constexpr std::array<std::uint8_t, 2> callerNetwork { 100, 64 };
    constexpr std::array<std::string_view, counterCount> counterNames { "broken", "ended-with-target", "unopened",
        "split", "wrong-service", "altered", "run-twice", "refused", "refused-but-run", "opened", "answered",
        "unanswered", "reverted", "live-flow-reset", "dropped" };

    IpAddress callerAddress(FlowId id)
    {
        const std::uint32_t caller = id / portsPerCaller;
        const std::array<std::uint8_t, 4> octets { callerNetwork[0], callerNetwork[1],
            static_cast<std::uint8_t>(caller >> 8), static_cast<std::uint8_t>(caller) };
        return IpAddress::fromV4(octets);
    }

}

std::string_view counterName(Counter counter) { return counterNames[static_cast<std::size_t>(counter)]; }

Flow& FlowTable::add(const Flow& flow)
{
    m_flows.push_back(flow);
    m_flows.back().id = static_cast<FlowId>(m_flows.size() - 1);
    return m_flows.back();
}

Flow* FlowTable::find(const FlowKey& key)
{
    const auto& bytes = key.source.bytes;
    constexpr std::size_t v4Offset = 12;
    if (bytes[v4Offset] != callerNetwork[0] || bytes[v4Offset + 1] != callerNetwork[1] || key.sourcePort < firstPort)
        return nullptr;
    const std::uint32_t caller = (bytes[v4Offset + 2] << 8) + bytes[v4Offset + 3];
    const FlowId id = caller * portsPerCaller + key.sourcePort - firstPort;
    return id < m_flows.size() ? &m_flows[id] : nullptr;
}

FlowKey FlowTable::key(const Flow& flow) const
{
    FlowKey key;
    key.source = callerAddress(flow.id);
    key.sourcePort = static_cast<std::uint16_t>(firstPort + flow.id % portsPerCaller);
    key.destination = flow.serviceAddress;
    key.destinationPort = flow.servicePort;
    key.protocol = flow.kind == FlowKind::Datagrams ? TransportProtocol::Udp : TransportProtocol::Tcp;
    return key;
}

void FlowTable::countFault(Counter counter, FlowId flow)
{
    constexpr std::size_t maxReportedFlows = 5;
    count(counter);
    if (m_firstFaultyFlows.size() < maxReportedFlows)
        m_firstFaultyFlows.push_back(flow);
}

void FlowTable::startTrace(FlowId flow, std::ostream& output)
{
    m_tracedFlow = flow;
    m_traceOutput = &output;
}

void FlowTable::traceEvent(FlowId flow, const std::string& text)
{
    if (!isTraced(flow))
        return;
    const double seconds = static_cast<double>(m_queue.now()) / static_cast<double>(microsecondsPerSecond);
    *m_traceOutput << std::fixed << std::setprecision(6) << seconds << " flow " << flow << ": " << text << '\n';
}

}
