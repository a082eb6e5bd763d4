#include "admission/admission_queue.h"

#include <algorithm>
#include <tuple>

namespace bergamotroute {

namespace {

    /// After this number of admissions that passed over a lower priority, one flow of a lower priority is admitted.
    constexpr unsigned maxPassedOver = 7;

    bool isAhead(const WaitingFlow& left, const WaitingFlow& right)
    {
        return std::tie(left.priority, left.turn, left.objectiveEnd)
            < std::tie(right.priority, right.turn, right.objectiveEnd);
    }

}

WaitingFlow* AdmissionQueue::find(const FlowId& flow)
{
    const auto found = std::find_if(
        m_flows.begin(), m_flows.end(), [&flow](const WaitingFlow& waiting) { return waiting.packet.flow == flow; });
    return found == m_flows.end() ? nullptr : &*found;
}

std::uint64_t AdmissionQueue::nextTurn(std::uint32_t priority, std::uint32_t clientAddress) const
{
    const auto current = m_currentTurns.find(priority);
    const auto next = m_nextTurns.find({ priority, clientAddress });
    return std::max(
        current == m_currentTurns.end() ? 0 : current->second, next == m_nextTurns.end() ? 0 : next->second);
}

std::size_t AdmissionQueue::countAhead(const WaitingFlow& flow) const
{
    WaitingFlow candidate = flow;
    candidate.turn = nextTurn(flow.priority, flow.packet.flow.clientAddress);
    const auto position = std::upper_bound(m_flows.begin(), m_flows.end(), candidate, isAhead);
    return static_cast<std::size_t>(position - m_flows.begin());
}

bool AdmissionQueue::hasPriority(std::uint32_t priority) const
{
    return std::any_of(
        m_flows.begin(), m_flows.end(), [priority](const WaitingFlow& flow) { return flow.priority == priority; });
}

void AdmissionQueue::add(WaitingFlow flow)
{
    const std::uint32_t clientAddress = flow.packet.flow.clientAddress;
    flow.turn = nextTurn(flow.priority, clientAddress);
    m_nextTurns[{ flow.priority, clientAddress }] = flow.turn + 1;
    const auto position = std::upper_bound(m_flows.begin(), m_flows.end(), flow, isAhead);
    m_flows.insert(position, std::move(flow));
}

std::size_t AdmissionQueue::nextIndex() const
{
    if (m_passedOver < maxPassedOver)
        return 0;
    // The lower priority that has not been served for the longest time.
    std::size_t chosen = 0;
    std::uint64_t oldest = UINT64_MAX;
    for (std::size_t i = 1; i < m_flows.size(); ++i) {
        if (m_flows[i].priority == m_flows[i - 1].priority)
            continue;
        const auto served = m_lastServed.find(m_flows[i].priority);
        const std::uint64_t admission = served == m_lastServed.end() ? 0 : served->second;
        if (admission < oldest) {
            oldest = admission;
            chosen = i;
        }
    }
    return chosen;
}

const WaitingFlow* AdmissionQueue::next() const { return m_flows.empty() ? nullptr : &m_flows[nextIndex()]; }

WaitingFlow AdmissionQueue::takeNext()
{
    const std::size_t index = nextIndex();
    const bool hasLowerPriority = m_flows.front().priority != m_flows.back().priority;
    if (index > 0)
        m_passedOver = 0;
    else if (hasLowerPriority)
        ++m_passedOver;
    WaitingFlow flow = std::move(m_flows[index]);
    m_flows.erase(m_flows.begin() + static_cast<std::ptrdiff_t>(index));
    m_lastServed[flow.priority] = ++m_admissions;
    std::uint64_t& current = m_currentTurns[flow.priority];
    current = std::max(current, flow.turn);
    forgetTurnsIfEmpty();
    return flow;
}

std::vector<WaitingFlow> AdmissionQueue::takeOverdue(TimePoint now)
{
    std::vector<WaitingFlow> overdue;
    for (auto flow = m_flows.begin(); flow != m_flows.end();) {
        if (now < flow->waitEnd) {
            ++flow;
            continue;
        }
        // A turn that was not served is given back.
        --m_nextTurns[{ flow->priority, flow->packet.flow.clientAddress }];
        overdue.push_back(std::move(*flow));
        flow = m_flows.erase(flow);
    }
    forgetTurnsIfEmpty();
    return overdue;
}

std::vector<WaitingFlow> AdmissionQueue::takeAll()
{
    std::vector<WaitingFlow> flows = std::exchange(m_flows, {});
    forgetTurnsIfEmpty();
    return flows;
}

std::optional<TimePoint> AdmissionQueue::nextWaitEnd() const
{
    if (m_flows.empty())
        return std::nullopt;
    return std::min_element(m_flows.begin(), m_flows.end(), [](const WaitingFlow& left, const WaitingFlow& right) {
        return left.waitEnd < right.waitEnd;
    })->waitEnd;
}

void AdmissionQueue::forgetTurnsIfEmpty()
{
    if (!m_flows.empty())
        return;
    m_currentTurns.clear();
    m_nextTurns.clear();
}

}
