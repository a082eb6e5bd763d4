#include "scenario/configuration_feed.h"

namespace bergamotroute::scenario {

namespace {

    constexpr SimTime distributionDelay = 50 * microsecondsPerMillisecond;
    constexpr SimTime retryInterval = 500 * microsecondsPerMillisecond;

}

ConfigurationFeed::ConfigurationFeed(EventQueue& queue, Random& random, Network& network)
    : m_queue(queue)
    , m_random(random)
    , m_network(network)
{
}

void ConfigurationFeed::accept(const std::function<void(schema::Configuration&)>& change)
{
    change(m_accepted);
    m_accepted.set_revision(m_accepted.revision() + 1);
    m_accepted.set_term(1);
    m_history.push_back(m_accepted);
    for (const auto& host : *m_hosts)
        scheduleFetch(*host, distributionDelay + m_random.upTo(maxExtraDelay));
}

void ConfigurationFeed::startFetching(SimulatedHost& host) { scheduleFetch(host, distributionDelay); }

void ConfigurationFeed::scheduleFetch(SimulatedHost& host, SimTime delay)
{
    m_queue.after(delay, [this, &host, generation = host.generation()] { fetch(host, generation); });
}

const schema::Configuration* ConfigurationFeed::newestReachable(const SimulatedHost& host) const
{
    if (!m_network.isCut(m_network.control(), host.node()) && !m_network.isCut(host.node(), m_network.control()))
        return m_history.empty() ? nullptr : &m_history.back();
    std::uint64_t newest = 0;
    for (const auto& peer : *m_hosts) {
        const bool isReachable = peer.get() != &host && peer->isRunning() && !m_network.isCut(peer->node(), host.node())
            && !m_network.isCut(host.node(), peer->node());
        if (isReachable)
            newest = std::max(newest, peer->program()->revision());
    }
    return newest == 0 ? nullptr : &m_history[newest - 1];
}

void ConfigurationFeed::fetch(SimulatedHost& host, std::uint32_t generation)
{
    if (!host.isRunning() || host.generation() != generation)
        return;
    const schema::Configuration* found = newestReachable(host);
    if (found != nullptr && found->revision() > host.program()->revision()) {
        host.handleInput([configuration = *found](
                             HostProgram& program, TimePoint now) { program.handleConfiguration(configuration, now); });
    }
    if (host.program()->revision() < m_accepted.revision())
        scheduleFetch(host, retryInterval);
}

ResultCode ConfigurationFeed::offerFirstRevision(SimulatedHost& host)
{
    return host.program()->handleConfiguration(m_history.front(), m_queue.clock().now());
}

}
