#pragma once

/// @file
/// Daemon of an entry host with cookie steering: connects CookieSteering to sockets, timers and control hosts.

#include "bergamot-entry/control_client.h"
#include "bergamot-entry/load_reporter.h"
#include "bergamot-entry/packet_path.h"
#include "bergamotroute/cookie_steering.h"
#include "libbergamotio/event_loop.h"
#include "libbergamotio/http_server.h"

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
    std::error_code openListeners();
    /// Adds the pages that the metrics listener serves.
    void addPages();
    void addSeeds(const schema::CookieEntrySettings& settings);
    void handleSyncResponse(const schema::EntrySyncAnswer& response);
    void applyStoppedDataCentres(const schema::StoppedDataCentres& list);
    void reportStoppedDataCentres();
    void applyEntryHosts(const schema::EntrySyncAnswer& response);
    void installRoutingTable(const std::string& routingTable);
    void handleTargetEvent(const RegisteredTarget& target, TargetEvent event);
    void logDecision(const FlowPacket& packet, const SteeringDecision& decision) const;
    bool isReady() const;
    void end();
    std::string metrics() const;
    void addAdmissionMetrics(prometheus::Registry& registry) const;

    EventLoop& m_loop;
    schema::CookieEntrySettings m_settings;
    EntryAdapter m_adapter;
    CookieSteering m_steering;
    TargetRegistry m_registry;
    ControlClient m_controlClient;
    HttpServer m_readinessServer;
    HttpServer m_metricsServer;
    prometheus::Registry m_histograms;
    PacketPath m_packets;
    LoadReporter m_reporter;
    bool m_stopping = false;
    bool m_wasReady = false;
    /// The whole registry of a control host has been received once.
    bool m_isRegistryLoaded = false;
    Timer m_checkTimer;
    Timer m_stopTimer;
};

}
