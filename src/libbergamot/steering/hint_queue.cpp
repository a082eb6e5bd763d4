#include "steering/hint_queue.h"

#include <algorithm>

namespace bergamotroute {

namespace {

    constexpr std::uint32_t hintBytesPerSecond = 1024;
    constexpr Duration batchInterval { 500 };
    constexpr std::size_t maxBatch = 40;

}

HintQueue::HintQueue(SteeringState& state, TimePoint now)
    : m_state(state)
    , m_queues(state.options.peers.size())
    , m_budget(hintBytesPerSecond, hintBytesPerSecond, now)
    , m_nextBatch(now + batchInterval)
{
}

void HintQueue::add(HostIndex peer, std::uint64_t flow, ServiceIndex serviceIndex, TargetId target)
{
    std::vector<Hint>& queue = m_queues[peer];
    const bool isKnown
        = std::any_of(queue.begin(), queue.end(), [flow](const Hint& hint) { return hint.flow == flow; });
    if (queue.size() < maxBatch && !isKnown)
        queue.push_back({ flow, serviceIndex, target });
}

void HintQueue::advance(TimePoint now)
{
    if (now < m_nextBatch)
        return;
    m_nextBatch = now + batchInterval;
    for (HostIndex peer = 0; peer < static_cast<HostIndex>(m_queues.size()); ++peer) {
        if (m_queues[peer].empty())
            continue;
        schema::PeerMessage message;
        schema::FlowRecords& records = *message.mutable_flow_records();
        records.set_hint(true);
        for (const Hint& hint : m_queues[peer]) {
            schema::FlowRecord& record = *records.add_records();
            record.set_flow(hint.flow);
            record.set_target(hint.target);
            record.set_service_id(m_state.services.info(hint.serviceIndex).id);
        }
        m_queues[peer].clear();
        if (m_budget.tryConsume(message.ByteSizeLong(), now))
            m_state.sender.trySend(peer, message, now);
    }
}

}
