#pragma once

/// @file
/// Daemon of an entry host with cookie steering: connects CookieSteering to sockets, timers and control hosts.

#include "bergamot-entry/control_client.h"
#include "bergamot-entry/load_reporter.h"
#include "bergamotroute/cookie_steering.h"
#include "bergamotroute/held_packets.h"
#include "libbergamotio/event_loop.h"
#include "libbergamotio/http_server.h"
#include "libbergamotio/metrics.h"
#include "libbergamotio/udp_socket.h"

#include "settings.pb.h"

#include <memory>
#include <prometheus/registry.h>
#include <string>
#include <vector>

namespace bergamotroute {

/// Platform-specific parts of an entry host.
struct EntryAdapter {
    const FlowPacketCodec& codec;
    TargetNumberFunction targetNumber;
    /// HTTP path of the readiness check.
    std::string readinessPath;
};

/// Runs one entry host on an event loop.
class CookieEntryDaemon {
public:
    /// @param adapter the objects it refers to must outlive the daemon.
    CookieEntryDaemon(EventLoop& loop, schema::CookieEntrySettings settings, EntryAdapter adapter);

    /// Opens the listeners and starts to poll the control hosts.
    /// @return the error that prevents the start, if any.
    std::error_code start();

    /// Reports not ready, keeps forwarding until the fabric has stopped sending packets here, then stops the loop.
    void stop();

    /// Applies those settings that may change at run time.
    void reload(const schema::CookieEntrySettings& settings);

private:
    struct PacketCounters {
        std::uint64_t received = 0;
        std::uint64_t malformed = 0;
        std::uint64_t forwarded = 0;
        std::uint64_t resets = 0;
        std::uint64_t dropped = 0;
        std::uint64_t held = 0;
    };

    std::error_code openListeners();
    void addSeeds(const schema::CookieEntrySettings& settings);
    void handleSyncResponse(const schema::EntrySyncAnswer& response);
    void installRoutingTable(const std::string& routingTable);
    void handleTargetEvent(const RegisteredTarget& target, TargetEvent event);
    void receivePackets();
    /// @return false if the packet must be held and retried.
    bool handleDatagram(std::span<const std::byte> datagram, bool isLastAttempt);
    void hold(std::span<const std::byte> datagram);
    void retryHeldPackets();
    void startProbes();
    void handleProbeOutcome(const ProbeRequest& request, ProbeOutcome outcome);
    void forward(const FlowPacket& packet, std::span<const std::byte> datagram, const SteeringDecision& decision);
    void reset(const FlowPacket& packet, const SteeringDecision& decision);
    void logDecision(const FlowPacket& packet, const SteeringDecision& decision) const;
    bool isReady() const;
    std::string metrics() const;

    EventLoop& m_loop;
    schema::CookieEntrySettings m_settings;
    EntryAdapter m_adapter;
    CookieSteering m_steering;
    TargetRegistry m_registry;
    ControlClient m_controlClient;
    UdpSocket m_packetSocket;
    std::unique_ptr<ReadWatch> m_packetWatch;
    HttpServer m_readinessServer;
    HttpServer m_metricsServer;
    std::vector<std::byte> m_rewriteBuffer;
    HeldPackets m_heldPackets;
    LoadReporter m_reporter;
    prometheus::Registry m_histograms;
    DurationHistogram m_packetTime;
    Endpoint m_packetEndpoint;
    PacketCounters m_packetCounters;
    bool m_stopping = false;
    bool m_wasReady = false;
    Timer m_checkTimer;
    Timer m_heldTimer;
    Timer m_probeTimer;
    Timer m_stopTimer;
};

}
