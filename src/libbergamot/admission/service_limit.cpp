#include "admission/service_limit.h"

#include <algorithm>
#include <cmath>

namespace bergamotroute {

namespace {

    /// The service counts as limited from this fraction of a limit, below 1 because the flag in the bucket table takes
    /// time to reach all hosts.
    constexpr double setLimitedThreshold = 0.9;
    /// The service stops being limited after its usage has stayed below this fraction for clearLimitedDelay. The
    /// hysteresis avoids table updates, because each change of the flag needs one.
    constexpr double clearLimitedThreshold = 0.75;
    constexpr Duration clearLimitedDelay { 10'000 };
    /// Refusals start this long after all hosts have applied the `limited` flag. Until then packets are dropped without
    /// an answer, because another host may have forwarded an earlier copy of a first packet before the flag was active.
    constexpr Duration refusalDelay { 3'000 };
    /// This fraction of a limit is divided equally among the hosts, so that a host without demand so far can admit its
    /// first flows.
    constexpr double evenFraction = 0.1;
    /// A host may use this fraction of its share of open flows at once. It is below 1 because the shares that the hosts
    /// compute differ by a few percent.
    constexpr double guaranteedFraction = 0.9;
    /// Above the guaranteed fraction a host may use this fraction of its share of the remaining headroom, each time it
    /// sends a heartbeat. Using all of its share exceeded the limit by 16%, because the other hosts had used the same
    /// headroom since their last heartbeat.
    constexpr double headroomFraction = 0.25;
    /// Burst size of the token bucket for new flows, in seconds of its fill rate.
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
    // The last demand of an unreachable host counts until the host is declared dead, so that the two sides of a network
    // partition do not both use the whole limit.
    for (const MemberView& member : view.members) {
        if (member.state == schema::DEAD || member.state == schema::LEFT)
            m_peerDemand.erase(member.index);
    }
}

void ServiceLimit::handleDemand(HostIndex from, const schema::ServiceDemand& demand) { m_peerDemand[from] = demand; }

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

double ServiceLimit::peersRate() const
{
    double rate = 0;
    for (const auto& [host, demand] : m_peerDemand)
        rate += demand.new_flows_per_second();
    return rate;
}

std::int64_t ServiceLimit::peersOpen() const
{
    std::int64_t open = 0;
    for (const auto& [host, demand] : m_peerDemand)
        open += demand.open_flows();
    return open;
}

void ServiceLimit::update(TimePoint now)
{
    updateShare();
    updateLimited(now);
}

void ServiceLimit::updateShare()
{
    const double even = 1.0 / static_cast<double>(m_readyHosts);
    // Hosts whose demand is not known yet are assumed to have the mean demand. Without this assumption the first host
    // to send a heartbeat used nearly the whole limit.
    const double known = static_cast<double>(m_peerDemand.size() + 1);
    const double total = (m_sentRate + peersRate()) * std::max(1.0, static_cast<double>(m_readyHosts) / known);
    const double byDemand = total > 0 ? m_sentRate / total : even;
    m_share = (1 - evenFraction) * byDemand + evenFraction * even;
}

void ServiceLimit::startHeartbeatInterval(TimePoint now)
{
    update(now);
    const std::int64_t headroom = std::max<std::int64_t>(0, openHeadroom());
    const double own = guaranteedFraction * m_share * m_maxOpenFlows;
    const double beyond = static_cast<double>(m_open) + headroomFraction * m_share * static_cast<double>(headroom);
    m_openCeiling = static_cast<std::int64_t>(std::floor(std::max(own, beyond)));
    m_sentRate = ownRate(now);
}

std::int64_t ServiceLimit::openHeadroom() const { return m_maxOpenFlows - peersOpen() - m_open; }

void ServiceLimit::updateLimited(TimePoint now)
{
    const double newFlowUsage = m_maxNewFlows == 0 ? 0 : (ownRate(now) + peersRate()) / m_maxNewFlows;
    const double openUsage = m_maxOpenFlows == 0 ? 0 : static_cast<double>(peersOpen() + m_open) / m_maxOpenFlows;
    const double usage = std::max(newFlowUsage, openUsage);
    if (usage >= setLimitedThreshold)
        m_limited = true;
    if (!m_limited || usage >= clearLimitedThreshold) {
        m_belowThresholdSince = noDeadline;
        return;
    }
    if (m_belowThresholdSince == noDeadline)
        m_belowThresholdSince = now;
    if (m_belowThresholdSince + clearLimitedDelay > now)
        return;
    m_limited = false;
    m_limitedActiveSince = noDeadline;
}

bool ServiceLimit::takeNewFlowToken(TimePoint now)
{
    if (m_maxNewFlows == 0)
        return true;
    const double rate = m_share * m_maxNewFlows;
    const double elapsed = static_cast<double>((now - m_tokensUpdatedAt).count()) / 1000;
    m_tokens = std::min(m_tokens + elapsed * rate, std::max(1.0, rate * burstSeconds));
    m_tokensUpdatedAt = now;
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

bool ServiceLimit::hasOpenHeadroom() const
{
    return m_maxOpenFlows == 0 || (openHeadroom() > 0 && m_open < m_openCeiling);
}

AdmissionVerdict ServiceLimit::admit(TimePoint now, bool hasQuorum)
{
    m_attempts.count(now);
    if (!hasLimit() || (hasOpenHeadroom() && takeNewFlowToken(now)))
        return AdmissionVerdict::Admit;
    const bool canRefuse
        = hasQuorum && m_limited && m_limitedActiveSince != noDeadline && m_limitedActiveSince + refusalDelay <= now;
    return canRefuse ? AdmissionVerdict::Refuse : AdmissionVerdict::Drop;
}

void ServiceLimit::countOpened(TimePoint now)
{
    m_opened.count(now);
    ++m_open;
}

void ServiceLimit::countEnded() { m_open = std::max<std::int64_t>(0, m_open - 1); }

void ServiceLimit::handleLimitedActive(TimePoint since)
{
    if (m_limited)
        m_limitedActiveSince = since;
}

}
