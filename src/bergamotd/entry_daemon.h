#pragma once

/// @file
/// The shell around EntryHost: sockets, timers, health checks and configuration of one entry host.

#include "bergamotd/configuration_exchange.h"
#include "bergamotd/configuration_store.h"
#include "bergamotroute/entry_host.h"
#include "libbergamotio/event_loop.h"
#include "libbergamotio/http_server.h"
#include "libbergamotio/udp_socket.h"

#include "settings.pb.h"

#include <array>
#include <map>
#include <string>
#include <system_error>

namespace bergamotroute {

/// Runs one entry host on an event loop.
class EntryDaemon final : private EntryHostSink {
public:
    EntryDaemon(EventLoop& loop, schema::EntryHostSettings settings);

    /// Opens all listeners and starts from the configuration on disk, if there is one.
    /// @param[out] detail names what could not be opened.
    std::error_code start(std::string& detail);

    /// Puts a configuration into force and keeps it on disk.
    ResultCode applyConfiguration(const schema::Configuration& configuration);

    /// Starts a graceful leave; the loop stops when it is complete.
    void leave();

    /// Writes the state dump to the log.
    void logState();

private:
    struct TrafficCounters {
        std::uint64_t fabricPackets = 0;
        std::uint64_t droppedPackets = 0;
        std::uint64_t forwardedPackets = 0;
        std::uint64_t relayedPackets = 0;
        std::uint64_t receivedRelays = 0;
        std::uint64_t callerPackets = 0;
        std::uint64_t controlBytesSent = 0;
        std::uint64_t controlBytesReceived = 0;
        std::uint64_t malformedPeerDatagrams = 0;
    };

    void forwardPacket(const Endpoint& target, std::span<const std::byte> packet) override;
    void relayPacket(HostIndex peer, RelayKind kind, TargetId target, std::span<const std::byte> packet) override;
    void sendToCaller(std::span<const std::byte> packet) override;
    void sendMessage(HostIndex peer, const schema::PeerMessage& message) override;
    void startHealthCheck(TargetId target, std::string_view healthUrl, std::string_view loadUrl) override;
    void logEvent(ResultCode code, std::string_view detail) override;

    std::error_code openListeners(std::string& detail);
    std::error_code startExchange();
    void receiveFabric();
    std::size_t receiveFabricBatch();
    void receivePeers();
    void handlePeerDatagram(std::span<const std::byte> datagram, const Endpoint& source);
    /// Sends what the decision code queued and sets the timer for its next deadline.
    void finishRound();
    void addRoutes();
    void handleAnnounce(const std::shared_ptr<HttpExchange>& exchange);
    void handleLoadAnswer(TargetId target, int status, const std::string& body);
    schema::EntryHostState state() const;
    std::string metricsText() const;

    EventLoop& m_loop;
    schema::EntryHostSettings m_settings;
    ConfigurationStore m_store;
    std::vector<Endpoint> m_peerEndpoints;
    std::map<Endpoint, HostIndex> m_peerIndexes;
    Endpoint m_fabricReturn;
    TrafficCounters m_traffic;
    UdpSocket m_fabric;
    UdpSocket m_peers;
    HttpServer m_operators;
    HttpServer m_announce;
    EntryHost m_host;
    std::unique_ptr<ConfigurationExchange> m_exchange;
    Timer m_timer;
    TimePoint m_armedDeadline = noDeadline;
    std::unique_ptr<ReadWatch> m_fabricWatch;
    std::unique_ptr<ReadWatch> m_peerWatch;
};

}
