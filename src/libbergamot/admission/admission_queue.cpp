#include "admission/admission_queue.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace bergamotroute {

namespace {

    /// After this number of admissions that passed over a lower priority, one flow of a lower priority is admitted.
    constexpr unsigned maxPassedOver = 7;

    std::uint64_t findTurn(const auto& turns, const auto& key)
    {
        const auto found = turns.find(key);
        return found == turns.end() ? 0 : found->second;
    }

}

std::vector<WaitingFlow>::iterator AdmissionQueue::locate(const FlowId& flow)
{
    // This is asked for each packet, and most flows do not wait.
    if (!m_ids.contains(flow))
        return m_flows.end();
    return std::find_if(
        m_flows.begin(), m_flows.end(), [&flow](const WaitingFlow& waiting) { return waiting.packet.flow == flow; });
}

WaitingFlow* AdmissionQueue::find(const FlowId& flow)
{
    const auto found = locate(flow);
    return found == m_flows.end() ? nullptr : &*found;
}

const AdmissionQueue::Level& AdmissionQueue::levelOf(std::uint32_t priority) const
{
    static const Level unserved;
    const auto found = m_levels.find(priority);
    return found == m_levels.end() ? unserved : found->second;
}

std::uint64_t AdmissionQueue::clientTurn(const WaitingFlow& flow) const
{
    const ClientKey key { flow.priority, flow.packet.flow.clientAddress };
    return std::max(levelOf(flow.priority).clientTurn, findTurn(m_clientTurns, key));
}

std::uint64_t AdmissionQueue::routeTurn(const WaitingFlow& flow) const
{
    return std::max(levelOf(flow.priority).routeTurn, findTurn(m_routeTurns, flow.route.get()));
}

bool AdmissionQueue::isAhead(const WaitingFlow& left, const WaitingFlow& right) const
{
    const std::uint64_t leftRoute = routeTurn(left);
    const std::uint64_t rightRoute = routeTurn(right);
    return std::tie(leftRoute, left.turn, left.objectiveEnd, left.arrival)
        < std::tie(rightRoute, right.turn, right.objectiveEnd, right.arrival);
}

std::size_t AdmissionQueue::countAhead(const WaitingFlow& flow) const
{
    WaitingFlow candidate = flow;
    candidate.turn = clientTurn(flow);
    std::size_t higher = 0;
    std::size_t equal = 0;
    std::size_t ownRoute = 0;
    std::set<const RouteDemand*> routes { flow.route.get() };
    for (const WaitingFlow& other : m_flows) {
        higher += other.priority < flow.priority ? 1 : 0;
        if (other.priority != flow.priority)
            continue;
        ++equal;
        routes.insert(other.route.get());
        ownRoute += other.route == flow.route && !isAhead(candidate, other) ? 1 : 0;
    }
    // Each flow of the own route that is ahead, and this one, may follow one of each other route.
    return higher + std::min(equal, (ownRoute + 1) * routes.size() - 1);
}

bool AdmissionQueue::hasPriority(std::uint32_t priority) const
{
    return std::any_of(
        m_flows.begin(), m_flows.end(), [priority](const WaitingFlow& flow) { return flow.priority == priority; });
}

void AdmissionQueue::add(WaitingFlow flow)
{
    flow.turn = clientTurn(flow);
    m_clientTurns[{ flow.priority, flow.packet.flow.clientAddress }] = flow.turn + 1;
    m_ids.insert(flow.packet.flow);
    m_flows.push_back(std::move(flow));
}

std::uint32_t AdmissionQueue::nextPriority() const
{
    std::set<std::uint32_t> priorities;
    for (const WaitingFlow& flow : m_flows)
        priorities.insert(flow.priority);
    const std::uint32_t highest = *priorities.begin();
    if (m_passedOver < maxPassedOver || priorities.size() == 1)
        return highest;
    return *std::min_element(
        std::next(priorities.begin()), priorities.end(), [this](std::uint32_t left, std::uint32_t right) {
            return levelOf(left).lastServed < levelOf(right).lastServed;
        });
}

std::size_t AdmissionQueue::nextIndex() const
{
    const std::uint32_t priority = nextPriority();
    std::size_t chosen = m_flows.size();
    for (std::size_t i = 0; i < m_flows.size(); ++i) {
        const bool isCandidate = m_flows[i].priority == priority;
        if (isCandidate && (chosen == m_flows.size() || isAhead(m_flows[i], m_flows[chosen])))
            chosen = i;
    }
    return chosen;
}

const WaitingFlow* AdmissionQueue::next() const { return m_flows.empty() ? nullptr : &m_flows[nextIndex()]; }

WaitingFlow AdmissionQueue::takeNext()
{
    const std::size_t index = nextIndex();
    WaitingFlow flow = std::move(m_flows[index]);
    m_flows.erase(m_flows.begin() + static_cast<std::ptrdiff_t>(index));
    m_ids.erase(flow.packet.flow);
    const auto hasPriorityWhere
        = [this](const auto& matches) { return std::any_of(m_flows.begin(), m_flows.end(), matches); };
    const bool passesOver
        = hasPriorityWhere([&flow](const WaitingFlow& other) { return other.priority > flow.priority; });
    const bool isReserved
        = hasPriorityWhere([&flow](const WaitingFlow& other) { return other.priority < flow.priority; });
    if (isReserved)
        m_passedOver = 0;
    else if (passesOver)
        ++m_passedOver;
    const std::uint64_t turn = routeTurn(flow);
    Level& level = m_levels[flow.priority];
    level.lastServed = ++m_admissions;
    level.clientTurn = std::max(level.clientTurn, flow.turn);
    level.routeTurn = turn;
    m_routeTurns[flow.route.get()] = turn + 1;
    forgetTurnsIfEmpty();
    return flow;
}

void AdmissionQueue::returnTurn(const WaitingFlow& flow)
{
    --m_clientTurns[{ flow.priority, flow.packet.flow.clientAddress }];
}

std::optional<WaitingFlow> AdmissionQueue::take(const FlowId& id)
{
    const auto found = locate(id);
    if (found == m_flows.end())
        return std::nullopt;
    WaitingFlow flow = std::move(*found);
    m_flows.erase(found);
    m_ids.erase(id);
    returnTurn(flow);
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
        returnTurn(*flow);
        m_ids.erase(flow->packet.flow);
        overdue.push_back(std::move(*flow));
        flow = m_flows.erase(flow);
    }
    forgetTurnsIfEmpty();
    return overdue;
}

std::vector<WaitingFlow> AdmissionQueue::takeAll()
{
    std::vector<WaitingFlow> flows = std::exchange(m_flows, {});
    m_ids.clear();
    forgetTurnsIfEmpty();
    return flows;
}

std::optional<TimePoint> AdmissionQueue::nextWaitEnd() const
{
    if (m_flows.empty())
        return std::nullopt;
    const auto isEarlier
        = [](const WaitingFlow& left, const WaitingFlow& right) { return left.waitEnd < right.waitEnd; };
    return std::min_element(m_flows.begin(), m_flows.end(), isEarlier)->waitEnd;
}

void AdmissionQueue::forgetTurnsIfEmpty()
{
    if (!m_flows.empty())
        return;
    m_clientTurns.clear();
    m_routeTurns.clear();
    for (auto& [priority, level] : m_levels) {
        level.clientTurn = 0;
        level.routeTurn = 0;
    }
}

}
