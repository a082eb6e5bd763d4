#include "cookie/slow_start_limit.h"

#include <algorithm>
#include <cmath>
#include <unordered_set>
#include <xxhash.h>

namespace bergamotroute {

namespace {

    /// Age of the view from which on this host owns nothing. Control hosts remove a silent entry host from the list
    /// after 5 s, and then others own its targets.
    constexpr Duration staleViewAge { 4000 };
    /// Time without ownership after contact with the control hosts begins, and age of a settled list: hosts that may
    /// own targets have lists that are at most staleViewAge old, and control hosts exchange lists within one more
    /// second.
    constexpr Duration settlingTime { 5000 };
    /// Time within which the start of a target reaches all control hosts.
    constexpr Duration propagationTime { 1000 };
    /// Requests beyond the first that a flow may send within the window of 1.1 s: six per second.
    constexpr std::uint32_t maxFurtherRequests = 6;
    /// A service of which a recurring flow was seen has flows of one request only after this number of them.
    constexpr std::uint32_t flowsWithoutRecurring = 256;
    /// The same for a service of which no recurring flow was seen, so that services with little traffic and entry
    /// hosts that have just started need not wait for more.
    constexpr std::uint32_t firstFlowsWithoutRecurring = 20;

}

SlowStartLimit::SlowStartLimit(SlowStartOptions options, const TargetPool& pool)
    : m_options(std::move(options))
    , m_pool(pool)
{
}

void SlowStartLimit::setDocument(const RoutingDocument& document)
{
    m_rules.clear();
    m_longestSlowStart = Duration(0);
    std::erase_if(m_flowHistories, [&document](const auto& item) { return !document.slowStarts.contains(item.first); });
    if (m_options.factor <= 0 && m_options.allowance <= 0)
        return;
    for (const auto& [service, slowStart] : document.slowStarts) {
        const double allowed
            = std::min<double>(UINT32_MAX, std::floor(slowStart.rate * m_options.factor + m_options.allowance));
        const auto whole = static_cast<std::uint32_t>(allowed);
        // Half for each of two hosts that own the target by different lists, but at least one if one is allowed.
        m_rules[service] = { whole == 1 ? 1 : whole / 2, whole == 1 };
        m_longestSlowStart = std::max(m_longestSlowStart, slowStart.duration);
    }
}

void SlowStartLimit::setEntryHosts(std::vector<EntryHostLocation> hosts) { m_nextHosts = std::move(hosts); }

void SlowStartLimit::refreshView(TimePoint now)
{
    if (isViewStale(now))
        m_contactSince = now;
    m_lastContact = now;
    if (m_nextHosts == m_hosts)
        return;
    m_hosts = m_nextHosts;
    m_listChanged = now;
    m_ownerships.clear();
}

void SlowStartLimit::recordRecovery(const PooledTarget& target, TimePoint now)
{
    if (!m_rules.empty())
        m_recoveries[target.number] = now;
}

const SlowStartLimit::Rule* SlowStartLimit::findRule(const PooledTarget& target) const
{
    if (m_rules.empty())
        return nullptr;
    const auto found = m_rules.find(target.service);
    return found == m_rules.end() ? nullptr : &found->second;
}

bool SlowStartLimit::isViewStale(TimePoint now) const { return !m_lastContact || now - *m_lastContact >= staleViewAge; }

bool SlowStartLimit::isRecoveryKnown(TimePoint recovery) const
{
    return m_lastContact && *m_lastContact > recovery + propagationTime;
}

TimePoint SlowStartLimit::slowStartEnd(const PooledTarget& target) const
{
    TimePoint end = target.slowStartUntil;
    // A heartbeat that moves the end by less than the tolerance is not passed on.
    if (end != TimePoint {})
        end += slowStartTolerance;
    if (const std::optional<TimePoint> returned = m_pool.returnedAt(target.dataCentre))
        end = std::max(end, *returned + m_longestSlowStart + m_options.targetHeartbeat);
    const auto recovery = m_recoveries.find(target.number);
    if (recovery == m_recoveries.end() || isRecoveryKnown(recovery->second))
        return end;
    return std::max(end, recovery->second + m_longestSlowStart);
}

bool SlowStartLimit::isLimited(const PooledTarget& target, TimePoint now) const
{
    // The rule is looked up last, because most targets are not in slow start.
    return !m_rules.empty() && slowStartEnd(target) > now && findRule(target);
}

bool SlowStartLimit::permits(const PooledTarget& target, TimePoint now)
{
    const Rule* rule = findRule(target);
    if (!rule)
        return true;
    return owns(target, *rule, now) && expectedRequests(target, now) <= rule->permittedRequests;
}

bool SlowStartLimit::owns(const PooledTarget& target, const Rule& rule, TimePoint now)
{
    if (isViewStale(now) || now - m_contactSince < settlingTime)
        return false;
    if (rule.needsSettledList && now - m_listChanged < settlingTime)
        return false;
    const auto known = m_ownerships.find(target.number);
    if (known != m_ownerships.end())
        return known->second;
    return m_ownerships[target.number] = isOwnerInList(target);
}

bool SlowStartLimit::isOwnerInList(const PooledTarget& target) const
{
    const auto isNear = [&target](const EntryHostLocation& host) { return host.dataCentre == target.dataCentre; };
    const bool hasNearHost = std::any_of(m_hosts.begin(), m_hosts.end(), isNear);
    const EntryHostLocation* owner = nullptr;
    std::uint64_t highest = 0;
    for (const EntryHostLocation& host : m_hosts) {
        if (hasNearHost && !isNear(host))
            continue;
        const std::uint64_t score = XXH3_64bits_withSeed(host.host.data(), host.host.size(), target.number);
        if (owner && score <= highest)
            continue;
        owner = &host;
        highest = score;
    }
    return owner && owner->host == m_options.host;
}

std::uint32_t SlowStartLimit::expectedRequests(const PooledTarget& target, TimePoint now)
{
    const RequestWindow& window = m_windows[target.number];
    const std::uint32_t firstPackets = window.firstPackets(now) + 1;
    // A mean is no bound: the flows of one window may all be recurring.
    const std::uint32_t furtherRequests
        = mayRecur(target.service) ? (window.unendedFlows(now) + 1) * maxFurtherRequests : 0;
    const std::uint32_t openFlowRequests
        = std::max(window.requests(now), target.recurringFlows * (1 + maxFurtherRequests));
    return firstPackets + furtherRequests + openFlowRequests;
}

bool SlowStartLimit::mayRecur(const std::string& service) const
{
    const auto found = m_flowHistories.find(service);
    if (found == m_flowHistories.end())
        return true;
    const FlowHistory& history = found->second;
    return history.singleRequestFlows < (history.hasRecurred ? flowsWithoutRecurring : firstFlowsWithoutRecurring);
}

void SlowStartLimit::recordFirstPacket(const PooledTarget& target, FlowState* flow, TimePoint now)
{
    if (!isLimited(target, now))
        return;
    m_windows[target.number].addFirstPacket(now);
    if (flow)
        flow->openedInSlowStart = true;
}

void SlowStartLimit::handleRequest(const FlowState& flow, TimePoint now)
{
    if (!findRule(*flow.target))
        return;
    if (flow.openedHere && flow.requests == firstRecurringRequest)
        m_flowHistories[flow.target->service] = { .hasRecurred = true };
    if (isLimited(*flow.target, now))
        m_windows[flow.target->number].addRequest(now);
}

void SlowStartLimit::handleSingleRequestFlow(const FlowState& flow)
{
    if (!findRule(*flow.target))
        return;
    ++m_flowHistories[flow.target->service].singleRequestFlows;
    const auto window = m_windows.find(flow.target->number);
    if (flow.openedInSlowStart && window != m_windows.end())
        window->second.endSingleRequestFlow(flow.lastPlaced);
}

void SlowStartLimit::advance(TimePoint now)
{
    std::erase_if(
        m_windows, [now](const auto& item) { return item.second.firstPackets(now) + item.second.requests(now) == 0; });
    forgetTargets(now);
    std::erase_if(m_recoveries, [this](const auto& item) { return isRecoveryKnown(item.second); });
}

void SlowStartLimit::forgetTargets(TimePoint now)
{
    if (m_ownerships.empty() && m_recoveries.empty())
        return;
    std::unordered_set<std::uint64_t> limited;
    for (const auto& [id, target] : m_pool.all()) {
        if (isLimited(*target, now))
            limited.insert(target->number);
    }
    const auto isForgotten = [&limited](const auto& item) { return !limited.contains(item.first); };
    std::erase_if(m_ownerships, isForgotten);
    std::erase_if(m_recoveries, isForgotten);
}

SlowStartStatus SlowStartLimit::status(TimePoint now)
{
    SlowStartStatus status;
    for (const auto& [id, target] : m_pool.all()) {
        if (!target->takesNewFlows() || !isLimited(*target, now))
            continue;
        ++status.targets;
        status.owned += owns(*target, *findRule(*target), now) ? 1 : 0;
    }
    return status;
}

}
