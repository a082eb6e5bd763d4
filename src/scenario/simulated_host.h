#pragma once

/// @file
/// Simulated entry host: a HostProgram with its sink, its control traffic statistics and fault injection.

#include "scenario/flow_table.h"
#include "scenario/host_program.h"
#include "scenario/network.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bergamotroute::scenario {

using PacketBytes = std::shared_ptr<const std::vector<std::byte>>;

/// Delivers packets, messages and health checks that an entry host sends to other nodes of the scenario.
class HostTransport {
public:
    virtual ~HostTransport() = default;
    virtual void forwardFromHost(NodeId host, const Endpoint& target, std::span<const std::byte> packet) = 0;
    virtual void relayFromHost(
        NodeId host, HostIndex from, HostIndex peer, RelayKind kind, TargetId target, std::span<const std::byte> packet)
        = 0;
    virtual void sendToCallerFromHost(NodeId host, std::span<const std::byte> packet) = 0;
    virtual void sendMessageFromHost(NodeId host, HostIndex peer, const std::string& bytes) = 0;
    virtual void startHealthCheckFromHost(NodeId host, TargetId target) = 0;
};

/// An entry host that can be killed, restarted and frozen.
class SimulatedHost final : public EntryHostSink {
public:
    SimulatedHost(EntryHostOptions options, NodeId node, HostTransport& transport, FlowTable& flows,
        const EventQueue& queue, HostFactory factory);

    const std::string& name() const { return m_options.host; }
    const std::string& dataCentre() const { return m_options.dataCentre; }
    NodeId node() const { return m_place; }
    HostIndex index() const { return m_index; }
    bool isRunning() const { return m_program != nullptr; }
    bool hasLeft() const { return m_hasLeft; }
    HostProgram* program() const { return m_program.get(); }
    std::uint32_t generation() const { return m_generation; }

    /// Replaces the list of peers, which takes effect with the next start. The list must contain this host.
    void setPeers(const std::vector<PeerConfig>& peers);
    void start(std::uint64_t incarnation);
    void kill();
    void freeze() { m_isFrozen = true; }
    void resume();

    /// Passes an input to the host. While the host is frozen, inputs are queued up to a limit and dropped beyond it.
    /// @param action called with the program and the current time.
    void handleInput(std::function<void(HostProgram&, TimePoint)> action);

    /// Runs the timers of the host if they are due.
    void tick();

    void leave();

    /// @return the highest control traffic since the given second of the run, in bytes per second averaged over 10 s.
    double controlBytesPerSecond(std::int64_t sinceSecond) const;
    std::uint64_t messagesSent(const std::string& kind) const;
    const std::map<std::string, std::uint64_t>& bytesByKind() const { return m_bytesByKind; }
    std::uint64_t relayedPackets() const { return m_relayedPackets; }

    void forwardPacket(const Endpoint& target, std::span<const std::byte> packet) override;
    void relayPacket(HostIndex peer, RelayKind kind, TargetId target, std::span<const std::byte> packet) override;
    void sendToCaller(std::span<const std::byte> packet) override;
    void sendMessage(HostIndex peer, const schema::PeerMessage& message) override;
    void startHealthCheck(TargetId target, std::string_view healthUrl, std::string_view loadUrl) override;
    void logEvent(ResultCode code, std::string_view detail) override;

private:
    void checkRevision();

    EntryHostOptions m_options;
    NodeId m_place;
    HostIndex m_index = noHost;
    HostTransport& m_transport;
    FlowTable& m_flows;
    const EventQueue& m_queue;
    HostFactory m_factory;
    std::unique_ptr<HostProgram> m_program;
    bool m_isFrozen = false;
    bool m_hasLeft = false;
    std::uint32_t m_generation = 0;
    std::uint64_t m_lastRevision = 0;
    std::uint64_t m_relayedPackets = 0;
    std::deque<std::function<void(HostProgram&, TimePoint)>> m_pendingInputs;
    std::vector<std::uint64_t> m_controlBytes;
    std::map<std::string, std::uint64_t> m_bytesByKind;
    std::map<std::string, std::uint64_t> m_messagesByKind;
};

}
