#include "bergamot-entry/cookie_entry_daemon.h"

#include "bergamotroute/routing_record.h"
#include "libbergamotio/connect_probe.h"
#include "libbergamotio/log.h"
#include "libbergamotio/metrics.h"
#include "libbergamotio/process_time.h"

#include <algorithm>
#include <prometheus/registry.h>

namespace bergamotroute {

namespace {

    /// Maximum datagram size: a packet of 1,500 bytes and its prefix, with headroom.
    constexpr std::size_t maxDatagramBytes = 2048;
    constexpr unsigned maxBatchesPerEvent = 4;
    constexpr Duration checkInterval { 250 };
    /// Limits on the number of packets that wait for the target registry or the routing document, and on their waiting
    /// time, which is shorter than the time after which clients give up.
    constexpr std::size_t maxHeldPackets = 2048;
    constexpr Duration heldLifetime { 500 };
    /// Interval at which suspected targets are checked for a due probe while no packets arrive.
    constexpr Duration probeCheckInterval { 100 };
    /// Fraction of the grace period during which a stopping host keeps forwarding.
    constexpr double forwardingFraction = 0.75;
    constexpr Duration maxForwardingTime { 4500 };

    Endpoint parseEndpoint(const std::string& text)
    {
        std::error_code error;
        return Endpoint::parse(text, error);
    }

    Duration toDuration(double seconds)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    }

    std::string hostAndPort(const std::string& address, std::uint32_t port)
    {
        return address + ':' + std::to_string(port);
    }

    Endpoint toEndpoint(std::uint32_t address, std::uint16_t port)
    {
        const std::array<std::uint8_t, 4> octets { static_cast<std::uint8_t>(address >> 24),
            static_cast<std::uint8_t>(address >> 16), static_cast<std::uint8_t>(address >> 8),
            static_cast<std::uint8_t>(address) };
        return { IpAddress::fromV4(octets), port };
    }

    CookieSteeringOptions makeOptions(const schema::CookieEntrySettings& settings, TargetNumberFunction targetNumber)
    {
        CookieSteeringOptions options;
        options.host = settings.host();
        options.dataCentre = settings.data_centre();
        options.targetNumberOf = targetNumber;
        options.maxFlowAge = toDuration(settings.longest_flow_seconds());
        return options;
    }

    RegistryOptions makeRegistryOptions(const schema::CookieEntrySettings& settings)
    {
        RegistryOptions options;
        // Control hosts decide which targets are silent; this replica must never decide on its own.
        options.silenceFromRecords = true;
        options.purgeAfter = 2 * toDuration(settings.longest_flow_seconds());
        return options;
    }

    schema::EntryHostRecord makeRecord(const schema::CookieEntrySettings& settings)
    {
        schema::EntryHostRecord record;
        record.set_host(settings.host());
        record.set_data_centre(settings.data_centre());
        record.set_peer_endpoint(hostAndPort(settings.address(), settings.internal_port()));
        return record;
    }

    std::string describeFlow(const FlowId& flow)
    {
        return toEndpoint(flow.clientAddress, flow.clientPort).toString() + '>'
            + toEndpoint(flow.serviceAddress, flow.servicePort).toString();
    }

}

CookieEntryDaemon::CookieEntryDaemon(EventLoop& loop, schema::CookieEntrySettings settings, EntryAdapter adapter)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_adapter(std::move(adapter))
    , m_steering(makeOptions(m_settings, m_adapter.targetNumber))
    , m_registry(makeRegistryOptions(m_settings))
    , m_controlClient(loop, makeRecord(m_settings),
          [this](const schema::EntrySyncAnswer& response) { handleSyncResponse(response); })
    , m_packetSocket(maxDatagramBytes)
    , m_readinessServer(loop)
    , m_metricsServer(loop)
    , m_heldPackets(maxHeldPackets, heldLifetime)
    , m_reporter(loop, m_steering, m_settings.link_mbps())
    , m_packetTime(
          m_histograms, "bergamot_entry_packet_seconds", "Time from receiving a batch of packets to forwarding it.")
    , m_packetEndpoint(parseEndpoint(m_settings.packet_listen()))
    , m_checkTimer(loop,
          [this] {
              m_steering.advance(m_loop.now());
              m_registry.advance(m_loop.now());
              m_checkTimer.start(checkInterval);
          })
    , m_heldTimer(loop, [this] { retryHeldPackets(); })
    , m_probeTimer(loop, [this] { startProbes(); })
    , m_stopTimer(loop, [this] { m_loop.stop(); })
{
    m_registry.setObserver(
        [this](const RegisteredTarget& target, TargetEvent event) { handleTargetEvent(target, event); });
}

std::error_code CookieEntryDaemon::start()
{
    if (const std::error_code error = openListeners())
        return error;
    addSeeds(m_settings);
    m_controlClient.start();
    m_checkTimer.start(checkInterval);
    writeLog(LogLevel::Info, ResultCode::Ok, "started",
        { { "packets", m_settings.packet_listen() }, { "cpu_ms", std::to_string(processorTime().count()) } });
    return {};
}

std::error_code CookieEntryDaemon::openListeners()
{
    std::error_code error;
    const auto check = [&error](const std::string& text) {
        if (error)
            writeLog(LogLevel::Error, ResultCode::AddressUnavailable, "cannot listen on " + text);
        return !error;
    };
    const std::string peerText = hostAndPort(m_settings.address(), m_settings.internal_port());
    error = m_packetSocket.open(m_packetEndpoint);
    if (!check(m_settings.packet_listen()))
        return error;
    error = m_reporter.open(parseEndpoint(peerText));
    if (!check(peerText))
        return error;
    m_packetWatch = std::make_unique<ReadWatch>(m_loop, m_packetSocket.descriptor(), [this] { receivePackets(); });
    m_readinessServer.route(
        "GET", m_adapter.readinessPath, HttpAccess::Open, [this](const std::shared_ptr<HttpExchange>& exchange) {
            exchange->reply(isReady() ? HttpStatus::Ok : HttpStatus::ServiceUnavailable, "{}", "application/json");
        });
    error = m_readinessServer.listen(parseEndpoint(m_settings.readiness_listen()));
    if (!check(m_settings.readiness_listen()) || m_settings.metrics_port() == 0)
        return error;
    m_metricsServer.route("GET", "/metrics", HttpAccess::Open, [this](const std::shared_ptr<HttpExchange>& exchange) {
        exchange->reply(HttpStatus::Ok, metrics(), "text/plain; version=0.0.4");
    });
    const std::string metricsText = hostAndPort(m_settings.address(), m_settings.metrics_port());
    error = m_metricsServer.listen(parseEndpoint(metricsText));
    check(metricsText);
    return error;
}

void CookieEntryDaemon::addSeeds(const schema::CookieEntrySettings& settings)
{
    for (const std::string& seed : settings.seeds())
        m_controlClient.addControlHost(hostAndPort(seed.substr(0, seed.rfind(':')), settings.internal_port()), {});
}

void CookieEntryDaemon::reload(const schema::CookieEntrySettings& settings)
{
    addSeeds(settings);
    writeLog(LogLevel::Info, ResultCode::SettingsReloaded, "settings reloaded",
        { { "seeds", std::to_string(settings.seeds_size()) } });
}

void CookieEntryDaemon::handleSyncResponse(const schema::EntrySyncAnswer& response)
{
    if (!response.routing_table().empty())
        installRoutingTable(response.routing_table());
    for (const schema::TargetRecord& record : response.targets())
        m_registry.merge(record, false, m_loop.now());
    if (response.entry_hosts_size() > 0) {
        std::vector<Endpoint> localPeers;
        std::vector<Endpoint> remotePeers;
        for (const schema::EntryHostRecord& host : response.entry_hosts()) {
            const bool isLocal = host.data_centre() == m_settings.data_centre();
            if (host.host() != m_settings.host())
                (isLocal ? localPeers : remotePeers).push_back(parseEndpoint(host.peer_endpoint()));
        }
        m_reporter.setPeers(std::move(localPeers), std::move(remotePeers));
    }
    if (!m_heldPackets.isEmpty())
        retryHeldPackets();
    if (!m_wasReady && isReady()) {
        m_wasReady = true;
        writeLog(LogLevel::Info, ResultCode::Ok, "ready",
            { { "version", std::to_string(m_steering.documentVersion()) },
                { "targets", std::to_string(m_registry.targets().size()) } });
    }
}

void CookieEntryDaemon::installRoutingTable(const std::string& routingTable)
{
    schema::RoutingTable table;
    std::optional<RoutingDocument> routes;
    if (table.ParseFromString(routingTable))
        routes = fromProto(table);
    if (!routes) {
        writeLog(LogLevel::Error, ResultCode::DocumentMalformed, "cannot parse the routing table",
            { { "version", std::to_string(table.version()) }, { "bytes", std::to_string(routingTable.size()) } });
        return;
    }
    const std::uint64_t version = routes->version;
    const std::uint64_t previousVersion = m_steering.documentVersion();
    const std::size_t count = routes->routes.size();
    if (!m_steering.installDocument(std::move(*routes)))
        return;
    m_controlClient.setDocumentVersion(version);
    writeLog(LogLevel::Info, ResultCode::DocumentInForce, "document in force",
        { { "version", std::to_string(version) }, { "former_version", std::to_string(previousVersion) },
            { "routes", std::to_string(count) } });
}

void CookieEntryDaemon::handleTargetEvent(const RegisteredTarget& target, TargetEvent event)
{
    m_steering.updateTarget(target, m_loop.now());
    const ResultCode code = event == TargetEvent::Draining ? ResultCode::TargetDraining
        : event == TargetEvent::Gone                       ? ResultCode::TargetGone
        : target.silent                                    ? ResultCode::TargetSilent
        : event == TargetEvent::Found                      ? ResultCode::TargetFound
                                                           : ResultCode::TargetHeard;
    writeLog(LogLevel::Info, code, "target event",
        { { "target", target.record.id() }, { "service", target.record.service() },
            { "endpoint", target.record.endpoint() }, { "born_ms", std::to_string(target.record.born_ms()) },
            { "sequence", std::to_string(target.record.sequence()) },
            { "age_ms", std::to_string((m_loop.now() - target.lastHeartbeat).count()) } });
}

bool CookieEntryDaemon::isReady() const
{
    return !m_stopping && m_steering.documentVersion() > 0 && !m_registry.targets().empty();
}

void CookieEntryDaemon::receivePackets()
{
    const auto begin = std::chrono::steady_clock::now();
    for (unsigned batch = 0; batch < maxBatchesPerEvent; ++batch) {
        const std::size_t count = m_packetSocket.receive([this](std::span<const std::byte> datagram, const Endpoint&) {
            if (!handleDatagram(datagram, false))
                hold(datagram);
        });
        m_packetCounters.received += count;
        if (count < UdpSocket::batchSize)
            break;
    }
    m_packetSocket.flush();
    m_packetTime.observe(std::chrono::steady_clock::now() - begin);
    startProbes();
    m_reporter.scheduleReport();
}

void CookieEntryDaemon::startProbes()
{
    for (const ProbeRequest& request : m_steering.takeProbes(m_loop.now())) {
        probeTarget(m_loop, request, [this, request](ProbeOutcome outcome) { handleProbeOutcome(request, outcome); });
    }
}

void CookieEntryDaemon::handleProbeOutcome(const ProbeRequest& request, ProbeOutcome outcome)
{
    const bool changed = m_steering.handleProbeOutcome(request.target, outcome, m_loop.now());
    if (changed) {
        writeLog(LogLevel::Warning,
            outcome == ProbeOutcome::Connected ? ResultCode::TargetResponsive : ResultCode::TargetUnresponsive,
            outcome == ProbeOutcome::Refused ? "connection refused: nothing listens at the endpoint of the target"
                                             : "connection probe changed the target state",
            { { "target", request.target }, { "endpoint", request.endpoint.toString() } });
        for (const FlowReset& flowReset : m_steering.takeResets(request.target)) {
            reset(flowReset.packet, flowReset.decision);
            logDecision(flowReset.packet, flowReset.decision);
        }
        m_packetSocket.flush();
    }
    startProbes();
    if (outcome != ProbeOutcome::Connected)
        m_probeTimer.start(probeCheckInterval);
}

void CookieEntryDaemon::hold(std::span<const std::byte> datagram)
{
    const std::optional<FlowPacket> packet = m_adapter.codec.parse(datagram);
    if (!packet)
        return;
    ++m_packetCounters.held;
    if (!m_heldPackets.add(datagram, retransmissionKey(*packet), m_loop.now()))
        handleDatagram(datagram, true);
    if (!m_heldPackets.isEmpty())
        m_heldTimer.startAt(m_heldPackets.nextDeadline());
}

void CookieEntryDaemon::retryHeldPackets()
{
    m_heldPackets.retry(m_loop.now(), [this](std::span<const std::byte> datagram, bool isLastAttempt) {
        return handleDatagram(datagram, isLastAttempt);
    });
    m_packetSocket.flush();
    if (!m_heldPackets.isEmpty())
        m_heldTimer.startAt(m_heldPackets.nextDeadline());
}

bool CookieEntryDaemon::handleDatagram(std::span<const std::byte> datagram, bool isLastAttempt)
{
    const std::optional<FlowPacket> packet = m_adapter.codec.parse(datagram);
    if (!packet) {
        ++m_packetCounters.malformed;
        return true;
    }
    const SteeringDecision decision = m_steering.handlePacket(*packet, m_loop.now());
    switch (decision.action) {
    case SteeringAction::Forward:
        forward(*packet, datagram, decision);
        break;
    case SteeringAction::Reset:
        reset(*packet, decision);
        break;
    case SteeringAction::Hold:
        if (!isLastAttempt)
            return false;
        ++m_packetCounters.dropped;
        break;
    case SteeringAction::Drop:
        ++m_packetCounters.dropped;
        break;
    }
    if (decision.code != ResultCode::Ok)
        logDecision(*packet, decision);
    return true;
}

void CookieEntryDaemon::forward(
    const FlowPacket& packet, std::span<const std::byte> datagram, const SteeringDecision& decision)
{
    ++m_packetCounters.forwarded;
    const std::vector<std::byte> prefix = m_adapter.codec.targetPrefix(decision.targetNumber);
    if (packet.cookie == decision.cookie) {
        m_packetSocket.queue(decision.endpoint, prefix, datagram);
        return;
    }
    m_rewriteBuffer.assign(datagram.begin(), datagram.end());
    m_adapter.codec.writeCookie(m_rewriteBuffer, decision.cookie);
    m_packetSocket.queue(decision.endpoint, prefix, m_rewriteBuffer);
}

void CookieEntryDaemon::reset(const FlowPacket& packet, const SteeringDecision& decision)
{
    ++m_packetCounters.resets;
    const std::vector<std::byte> resetPacket = m_adapter.codec.makeReset(packet.flow, decision.resetSequence);
    m_packetSocket.queue(toEndpoint(packet.flow.clientAddress, m_packetEndpoint.port), {}, resetPacket);
}

void CookieEntryDaemon::logDecision(const FlowPacket& packet, const SteeringDecision& decision) const
{
    const bool isPlacement = decision.code == ResultCode::FlowPlaced;
    std::array<char, 16> cost {};
    std::snprintf(cost.data(), cost.size(), "%.2f", decision.cost);
    writeLog(isPlacement ? LogLevel::Info : LogLevel::Warning, decision.code, "steering decision",
        { { "flow", describeFlow(packet.flow) }, { "route", std::string(decision.route) },
            { "service", std::string(decision.service) }, { "target", std::string(decision.target) },
            { "cost", cost.data() }, { "candidates", std::to_string(decision.candidates) },
            { "copy", std::to_string(decision.retransmission) },
            { "version", std::to_string(m_steering.documentVersion()) },
            { "view_age_ms", std::to_string(m_controlClient.viewAge().count()) } });
}

void CookieEntryDaemon::stop()
{
    if (m_stopping) {
        m_loop.stop();
        return;
    }
    m_stopping = true;
    const Duration forwarding
        = std::min(maxForwardingTime, toDuration(m_settings.grace_seconds() * forwardingFraction));
    writeLog(LogLevel::Info, ResultCode::Ok, "stopping",
        { { "flows", std::to_string(m_steering.flowCount()) }, { "forwards_ms", std::to_string(forwarding.count()) } });
    m_stopTimer.start(forwarding);
}

}
