#pragma once

/// @file
/// Stands in for control hosts and the distribution of accepted configurations.

#include "scenario/network.h"
#include "scenario/simulated_host.h"

#include "configuration.pb.h"

#include <functional>
#include <memory>
#include <vector>

namespace bergamotroute::scenario {

/// Holds the accepted configuration and hands each revision to the entry hosts, unevenly if asked.
class ConfigurationFeed {
public:
    ConfigurationFeed(EventQueue& queue, Random& random, Network& network);

    /// Largest extra time between acceptance and arrival at a host.
    SimTime maxExtraDelay = 0;

    const schema::Configuration& accepted() const { return m_accepted; }

    /// Accepts a change and starts its distribution.
    void accept(const std::function<void(schema::Configuration&)>& change);

    /// Lets a host that has started fetch the configuration.
    void startFetching(SimulatedHost& host);

    /// Offers a host the first revision again; it must refuse it.
    /// @return the host's answer.
    ResultCode offerFirstRevision(SimulatedHost& host);

    void setHosts(const std::vector<std::unique_ptr<SimulatedHost>>& hosts) { m_hosts = &hosts; }

private:
    void fetch(SimulatedHost& host, std::uint32_t generation);
    const schema::Configuration* newestReachable(const SimulatedHost& host) const;
    void scheduleFetch(SimulatedHost& host, SimTime delay);

    EventQueue& m_queue;
    Random& m_random;
    Network& m_network;
    const std::vector<std::unique_ptr<SimulatedHost>>* m_hosts = nullptr;
    schema::Configuration m_accepted;
    std::vector<schema::Configuration> m_history;
};

}
