#pragma once

/// @file
/// Simulates the control hosts and the distribution of accepted configurations.

#include "scenario/network.h"
#include "scenario/simulated_host.h"

#include "configuration.pb.h"

#include <functional>
#include <memory>
#include <vector>

namespace bergamotroute::scenario {

/// Holds the accepted configuration and delivers each revision to the entry hosts, optionally at different times.
class ConfigurationFeed {
public:
    ConfigurationFeed(EventQueue& queue, Random& random, Network& network);

    /// Maximum random delay, in addition to the usual one, between acceptance of a revision and its arrival at a host.
    SimTime maxExtraDelay = 0;

    const schema::Configuration& accepted() const { return m_accepted; }

    /// Applies a change, increments the revision and starts its distribution.
    void accept(const std::function<void(schema::Configuration&)>& change);

    /// Schedules the first fetch of the configuration by a host that has just started.
    void startFetching(SimulatedHost& host);

    /// Sends a host the first revision again, which it must refuse as older than its own.
    /// @return result code of the host.
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
