#pragma once

/// @file
/// Simulation of a complete deployment in one process: entry hosts, backend servers, callers, the fabric and the
/// network between them.

#include "scenario/backend_server.h"
#include "scenario/callers.h"
#include "scenario/configuration_feed.h"
#include "scenario/network.h"
#include "scenario/simulated_host.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bergamotroute::scenario {

/// A service of a scenario and the settings of its backend servers.
struct ServiceSetup {
    schema::Service definition;
    std::string alias;
    std::uint32_t slots = 2;
    std::uint32_t leaseSeconds = 6;
    std::uint32_t backendCount = 0;
};

/// Parameters that stay constant during a run.
struct DeploymentOptions {
    std::uint64_t seed = 1;
    HostFactory factory = makeEntryHost;
    EntryHostOptions hostOptions;
    /// Time until the fabric detects a failed entry host and stops sending packets to it.
    SimTime fabricDetection = microsecondsPerSecond;
};

/// Connects the simulated components. All random choices derive from one seed, so a run can be reproduced exactly.
class Deployment final : public HostTransport {
public:
    explicit Deployment(DeploymentOptions options);

    EventQueue& queue() { return m_queue; }
    Random& random() { return m_random; }
    Network& network() { return m_network; }
    FlowTable& flows() { return m_flows; }
    Callers& callers() { return m_callers; }
    ConfigurationFeed& configuration() { return m_configuration; }
    DeploymentOptions& options() { return m_options; }

    std::vector<std::string> dataCentres;
    /// Maximum random extra delay of messages between entry hosts; heartbeats are not delayed.
    SimTime maxExtraMessageDelay = 0;

    void addHost(const std::string& name, const std::string& dataCentre);
    std::size_t addService(const ServiceSetup& service);
    void addBackends(std::size_t service, std::uint32_t count);
    /// Starts all entry hosts and announces all backend servers. Callers may open flows once the hosts have their
    /// tables.
    void start();
    void advance(SimTime duration);

    std::vector<std::unique_ptr<SimulatedHost>>& hosts() { return m_hosts; }
    std::vector<std::unique_ptr<BackendServer>>& backends() { return m_backends; }
    std::vector<ServiceSetup>& services() { return m_services; }
    SimulatedHost* findHost(const std::string& name);
    BackendServer* findBackend(const std::string& name);
    std::optional<std::size_t> findService(const std::string& name) const;
    ServiceEndpoint serviceEndpoint(std::size_t service) const;
    NodeId nodeOf(const BackendServer& backend) const
    {
        return m_backendRecords[static_cast<std::size_t>(backend.identity().index)].node;
    }

    void killHost(SimulatedHost& host);
    void restartHost(SimulatedHost& host);
    void leaveHost(SimulatedHost& host);
    void freezeHost(SimulatedHost& host, SimTime duration);
    void announce(BackendServer& backend, int state);
    /// Makes a backend server send a single announcement for another service.
    void announceAs(BackendServer& backend, std::size_t service);
    std::uint32_t lastAnnouncementCode(const BackendServer& backend) const;

    void forwardFromHost(NodeId host, const Endpoint& target, std::span<const std::byte> packet) override;
    void relayFromHost(NodeId host, HostIndex from, HostIndex peer, RelayKind kind, TargetId target,
        std::span<const std::byte> packet) override;
    void sendToCallerFromHost(NodeId host, std::span<const std::byte> packet) override;
    void sendMessageFromHost(NodeId host, HostIndex peer, const std::string& bytes) override;
    void startHealthCheckFromHost(NodeId host, TargetId target) override;

private:
    struct BackendRecord {
        NodeId node = 0;
        TargetId target = noTarget;
        std::uint32_t lastResultCode = 0;
        /// Result code of the last announcement for another service; renewals of the own service do not replace it.
        std::optional<std::uint32_t> otherServiceCode;
        SimTime renewal = 0;
        std::uint32_t announceGeneration = 0;
    };

    /// Runs the action when each copy of a packet arrives, after the network delay plus the extra time.
    void deliver(NodeId from, NodeId to, const std::function<void()>& action, SimTime extra = 0);
    void sendFromCaller(FlowId flow, std::vector<std::byte> packet);
    void sendFromBackend(const Reply& reply);
    bool isServed(const Flow& flow) const;
    SimulatedHost* hostByNode(NodeId node);
    SimulatedHost* hostByIndex(HostIndex index);
    std::vector<PeerConfig> peers() const;
    std::uint64_t newIncarnation();
    void tickHosts();
    void renewAnnouncement(std::size_t backend);
    void sendAnnouncement(std::size_t backend, const schema::Announcement& announcement, bool isForOtherService);
    schema::Announcement announcementOf(const BackendServer& backend) const;
    schema::LoadReport loadReport(BackendServer& backend);
    void answerHealthCheck(NodeId host, std::size_t backend);
    void addToFabric(std::size_t host);
    void withdrawFromFabric(const SimulatedHost& host, SimTime delay);
    void traceHostEvent(std::span<const std::byte> packet, const std::string& text);

    DeploymentOptions m_options;
    EventQueue m_queue;
    Random m_random;
    Network m_network;
    FlowTable m_flows;
    Callers m_callers;
    ConfigurationFeed m_configuration;
    std::vector<ServiceSetup> m_services;
    std::vector<std::unique_ptr<SimulatedHost>> m_hosts;
    std::vector<std::unique_ptr<BackendServer>> m_backends;
    std::vector<BackendRecord> m_backendRecords;
    std::vector<std::size_t> m_fabricHosts;
    std::uint32_t m_nextBackendAddress = 1;
    bool m_isStarted = false;
};

}
