#include "admission/service_limit.h"

#include <algorithm>
#include <cmath>

namespace bergamotroute {

namespace {

    /// The table is marked limited at this part of a limit, because the mark needs time to reach all hosts.
    constexpr double limitedFrom = 0.9;
    /// The mark is taken back below this part, after a calm time: each change of the mark is a table update.
    constexpr double limitedUntil = 0.75;
    constexpr Duration calmTime { 10'000 };
    /// Another host may have forwarded an earlier copy of a first packet within this time before the mark was in force.
    constexpr Duration silentTime { 3'000 };
    /// This part of a limit is shared evenly, so that a host without demand so far can admit its first flows.
    constexpr double evenPart = 0.1;
    /// Tokens for new flows are saved up for this time at most.
    constexpr double burstSeconds = 0.5;

}

void ServiceLimit::configure(const schema::Service& service)
{
    m_maxNewFlows = service.max_new_flows_per_second();
    m_maxOpenFlows = service.max_open_flows();
}

void ServiceLimit::handleView(const MembershipView& view, std::size_t readyHosts)
{
    m_readyHosts = std::max<std::size_t>(1, readyHosts);
    // A host that is cut off keeps its last demand until it is declared dead, so that two sides of a partition do not
    // both take the whole limit.
    for (const MemberView& member : view.members) {
        if (member.state == schema::DEAD || member.state == schema::LEFT)
            m_peers.erase(member.index);
    }
}

void ServiceLimit::handleDemand(HostIndex from, const schema::ServiceDemand& demand) { m_peers[from] = demand; }

double ServiceLimit::ownRate(TimePoint now) const
{
    return std::max(m_attempts.perSecond(now), m_opened.perSecond(now));
}

schema::ServiceDemand ServiceLimit::ownDemand(ServiceId service, TimePoint now) const
{
    schema::ServiceDemand demand;
    demand.set_service_id(service);
    demand.set_new_flows_per_second(static_cast<std::uint32_t>(std::lround(ownRate(now))));
    demand.set_open_flows(static_cast<std::uint32_t>(m_open));
    return demand;
}

double ServiceLimit::groupRate(TimePoint now) const
{
    double rate = ownRate(now);
    for (const auto& [host, demand] : m_peers)
        rate += demand.new_flows_per_second();
    return rate;
}

std::int64_t ServiceLimit::peersOpen() const
{
    std::int64_t open = 0;
    for (const auto& [host, demand] : m_peers)
        open += demand.open_flows();
    return open;
}

void ServiceLimit::update(TimePoint now)
{
    updateShare(now);
    updateLimited(now);
}

void ServiceLimit::updateShare(TimePoint now)
{
    const double even = 1.0 / static_cast<double>(m_readyHosts);
    const double total = groupRate(now);
    const double byDemand = total > 0 ? ownRate(now) / total : even;
    m_share = (1 - evenPart) * byDemand + evenPart * even;
    const std::int64_t room = std::max<std::int64_t>(0, m_maxOpenFlows - peersOpen() - m_open);
    m_openCeiling = m_open + static_cast<std::int64_t>(std::floor(static_cast<double>(room) * m_share));
}

void ServiceLimit::updateLimited(TimePoint now)
{
    const double newFlowUse = m_maxNewFlows == 0 ? 0 : groupRate(now) / m_maxNewFlows;
    const double openUse = m_maxOpenFlows == 0 ? 0 : static_cast<double>(peersOpen() + m_open) / m_maxOpenFlows;
    const double use = std::max(newFlowUse, openUse);
    if (use >= limitedFrom)
        m_limited = true;
    if (!m_limited || use >= limitedUntil) {
        m_calmSince = noDeadline;
        return;
    }
    if (m_calmSince == noDeadline)
        m_calmSince = now;
    if (m_calmSince + calmTime > now)
        return;
    m_limited = false;
    m_inForceSince = noDeadline;
}

bool ServiceLimit::takeNewFlowToken(TimePoint now)
{
    if (m_maxNewFlows == 0)
        return true;
    const double rate = m_share * m_maxNewFlows;
    const double elapsed = static_cast<double>((now - m_tokensAt).count()) / 1000;
    m_tokens = std::min(m_tokens + elapsed * rate, std::max(1.0, rate * burstSeconds));
    m_tokensAt = now;
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

bool ServiceLimit::hasOpenRoom() const { return m_maxOpenFlows == 0 || m_open < m_openCeiling; }

AdmissionVerdict ServiceLimit::admit(TimePoint now, bool hasQuorum)
{
    m_attempts.count(now);
    if (!hasLimit() || (hasOpenRoom() && takeNewFlowToken(now)))
        return AdmissionVerdict::Admit;
    const bool certain = hasQuorum && m_limited && m_inForceSince != noDeadline && m_inForceSince + silentTime <= now;
    return certain ? AdmissionVerdict::Refuse : AdmissionVerdict::DropSilently;
}

void ServiceLimit::countOpened(TimePoint now)
{
    m_opened.count(now);
    ++m_open;
}

void ServiceLimit::countEnded() { m_open = std::max<std::int64_t>(0, m_open - 1); }

void ServiceLimit::handleLimitedInForce(TimePoint since)
{
    if (m_limited)
        m_inForceSince = since;
}

}
