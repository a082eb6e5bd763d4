#pragma once

/// @file
/// Path of packets through an entry host: receives the packets of clients, has them steered, and forwards, resets or
/// holds them, or keeps the first packets of flows that wait for room. Also probes the targets that do not respond.

#include "bergamot-entry/paced_sender.h"
#include "bergamotroute/cookie_steering.h"
#include "bergamotroute/held_packets.h"
#include "libbergamotio/event_loop.h"
#include "libbergamotio/metrics.h"
#include "libbergamotio/udp_socket.h"

#include <functional>
#include <memory>
#include <prometheus/registry.h>
#include <unordered_map>
#include <vector>

namespace bergamotroute {

/// Counters since the start of the process.
struct PacketCounters {
    std::uint64_t received = 0;
    std::uint64_t malformed = 0;
    std::uint64_t forwarded = 0;
    std::uint64_t resets = 0;
    std::uint64_t dropped = 0;
    std::uint64_t held = 0;
};

class PacketPath {
public:
    using DecisionObserver = std::function<void(const FlowPacket& packet, const SteeringDecision& decision)>;
    using BatchObserver = std::function<void()>;

    /// @param codec encapsulation of packets; must outlive the object, as must the steering and the registry.
    /// @param linkBytesPerSecond capacity of the host's link; zero if unknown.
    /// @param registry takes the histogram of processing times.
    PacketPath(EventLoop& loop, CookieSteering& steering, const FlowPacketCodec& codec, double linkBytesPerSecond,
        prometheus::Registry& registry);

    /// Opens the socket and starts to receive.
    /// @return the error if the socket cannot be opened.
    std::error_code open(const Endpoint& listen);

    /// Sets the observer of decisions that are worth a log line.
    void setDecisionObserver(DecisionObserver observer) { m_decisionObserver = std::move(observer); }

    /// Sets the observer that is called after each batch of received packets.
    void setBatchObserver(BatchObserver observer) { m_batchObserver = std::move(observer); }

    /// Sets the source of the traffic of other sockets on the host's link.
    void setOtherTraffic(PacedSender::TrafficSource source) { m_sender.setOtherTraffic(std::move(source)); }

    /// Decides again on the held packets and on the waiting flows; to be called when targets or routes have changed.
    void retryHeldPackets();

    /// Sends all queued packets without a wait, because the process ends.
    void sendAll() { m_sender.sendAll(); }

    LinkStatistics linkStatistics() const { return m_sender.statistics(); }

    const PacketCounters& counters() const { return m_counters; }

    /// @return datagrams that the kernel did not accept for sending.
    std::uint64_t sendErrors() const { return m_socket.sendErrors(); }

private:
    void receive();
    /// @return false if the packet must be held and retried.
    bool handleDatagram(std::span<const std::byte> datagram, bool isLastAttempt);
    /// Carries out a decision.
    /// @return false if the packet must be held and retried.
    bool apply(const FlowPacket& packet, std::span<const std::byte> datagram, const SteeringDecision& decision,
        bool isLastAttempt);
    void keepWaiting(const FlowPacket& packet, std::span<const std::byte> datagram);
    /// Carries out the decisions on waiting flows that are due.
    void releaseWaitingPackets();
    void hold(std::span<const std::byte> datagram);
    void startProbes();
    void handleProbeOutcome(const ProbeRequest& request, ProbeOutcome outcome);
    void forward(const FlowPacket& packet, std::span<const std::byte> datagram, const SteeringDecision& decision);
    void reset(const FlowPacket& packet, const SteeringDecision& decision);

    EventLoop& m_loop;
    CookieSteering& m_steering;
    const FlowPacketCodec& m_codec;
    DecisionObserver m_decisionObserver;
    BatchObserver m_batchObserver;
    Endpoint m_listen;
    UdpSocket m_socket;
    PacedSender m_sender;
    std::unique_ptr<ReadWatch> m_watch;
    std::vector<std::byte> m_rewriteBuffer;
    HeldPackets m_heldPackets;
    /// First packets of flows that wait for room; each is the latest copy.
    std::unordered_map<FlowId, std::vector<std::byte>, FlowIdHash> m_waitingPackets;
    DurationHistogram m_batchTime;
    PacketCounters m_counters;
    Timer m_heldTimer;
    Timer m_releaseTimer;
    Timer m_probeTimer;
};

}
