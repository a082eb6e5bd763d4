#include "bergamot-entry/cookie_entry_daemon.h"

#include "bergamot-entry/flow_endpoint.h"
#include "bergamotroute/evacuation.h"
#include "bergamotroute/routing_record.h"
#include "libbergamotio/log.h"
#include "libbergamotio/metrics.h"
#include "libbergamotio/process_time.h"

#include <algorithm>
#include <prometheus/registry.h>

namespace bergamotroute {

namespace {

    constexpr Duration checkInterval { 250 };
    /// Fraction of the grace period during which a stopping host keeps forwarding.
    constexpr double forwardingFraction = 0.75;
    constexpr Duration maxForwardingTime { 4500 };
    constexpr double bytesPerMegabit = 1e6 / 8;

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

    double linkBytesPerSecond(const schema::CookieEntrySettings& settings)
    {
        return settings.link_mbps() * bytesPerMegabit;
    }

    CookieSteeringOptions makeOptions(const schema::CookieEntrySettings& settings, TargetNumberFunction targetNumber)
    {
        CookieSteeringOptions options;
        options.host = settings.host();
        options.dataCentre = settings.data_centre();
        options.targetNumberOf = targetNumber;
        options.maxFlowAge = toDuration(settings.longest_flow_seconds());
        options.linkBytesPerSecond = linkBytesPerSecond(settings);
        options.slowStartFactor = settings.slow_start_factor();
        options.slowStartAllowance = settings.slow_start_allowance();
        options.targetHeartbeat = Duration(settings.target_heartbeat_ms());
        options.learnCapacity = settings.learn_capacity();
        options.hostsPerGroup = settings.hosts_per_target_group();
        return options;
    }

    RegistryOptions makeRegistryOptions(const schema::CookieEntrySettings& settings)
    {
        RegistryOptions options;
        // Control hosts decide which targets are silent; this replica must never decide on its own.
        options.silenceFromRecords = true;
        options.purgeAfter = 2 * toDuration(settings.longest_flow_seconds());
        options.slowStartEvents = settings.slow_start_factor() > 0 || settings.slow_start_allowance() > 0;
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
    , m_controlClient(
          loop, makeRecord(m_settings),
          [this](const schema::EntrySyncAnswer& response) { handleSyncResponse(response); },
          [this] { return m_registry.digest(m_loop.now()); })
    , m_readinessServer(loop)
    , m_metricsServer(loop)
    , m_packets(loop, m_steering, m_adapter.codec, linkBytesPerSecond(m_settings), m_histograms)
    , m_reporter(loop, m_steering, linkBytesPerSecond(m_settings))
    , m_checkTimer(loop,
          [this] {
              m_steering.advance(m_loop.now());
              m_registry.advance(m_loop.now());
              reportStoppedDataCentres();
              m_checkTimer.start(checkInterval);
          })
    , m_stopTimer(loop, [this] { end(); })
{
    m_steering.setRegistryLoaded(false);
    // Control hosts mark the targets to use; those of earlier versions do not, and the document decides.
    m_registry.setServices({});
    m_registry.setObserver(
        [this](const RegisteredTarget& target, TargetEvent event) { handleTargetEvent(target, event); });
    m_packets.setDecisionObserver(
        [this](const FlowPacket& packet, const SteeringDecision& decision) { logDecision(packet, decision); });
    m_packets.setBatchObserver([this] { m_reporter.scheduleReport(); });
    m_packets.setOtherTraffic([this] { return m_reporter.traffic(); });
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
    error = m_packets.open(parseEndpoint(m_settings.packet_listen()));
    if (!check(m_settings.packet_listen()))
        return error;
    error = m_reporter.open(parseEndpoint(peerText));
    if (!check(peerText))
        return error;
    m_readinessServer.route(
        "GET", m_adapter.readinessPath, HttpAccess::Open, [this](const std::shared_ptr<HttpExchange>& exchange) {
            exchange->reply(isReady() ? HttpStatus::Ok : HttpStatus::ServiceUnavailable, "{}", "application/json");
        });
    error = m_readinessServer.listen(parseEndpoint(m_settings.readiness_listen()));
    if (!check(m_settings.readiness_listen()) || m_settings.metrics_port() == 0)
        return error;
    addPages();
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
    // Before the targets and the held packets, which must not be placed by an older list.
    if (response.has_stopped_data_centres())
        applyStoppedDataCentres(response.stopped_data_centres());
    for (const schema::TargetRecord& record : response.targets())
        m_registry.merge(record, false, m_loop.now());
    const bool isComplete = !response.more() && m_registry.targetCount() > 0;
    m_isRegistryLoaded = m_isRegistryLoaded || isComplete;
    m_steering.setRegistryLoaded(m_isRegistryLoaded);
    if (response.entry_hosts_size() > 0)
        applyEntryHosts(response);
    if (!response.isolated())
        m_steering.refreshView(m_loop.now());
    m_packets.retryHeldPackets();
    if (!m_wasReady && isReady()) {
        m_wasReady = true;
        writeLog(LogLevel::Info, ResultCode::Ok, "ready",
            { { "version", std::to_string(m_steering.documentVersion()) },
                { "targets", std::to_string(m_registry.targetCount()) } });
    }
}

void CookieEntryDaemon::applyEntryHosts(const schema::EntrySyncAnswer& response)
{
    std::vector<EntryHostLocation> locations;
    for (const schema::EntryHostRecord& host : response.entry_hosts())
        locations.push_back({ host.host(), host.data_centre() });
    m_steering.setEntryHosts(locations);
    LoadReportPeers peers;
    for (const schema::EntryHostRecord& host : response.entry_hosts()) {
        if (host.host() == m_settings.host())
            continue;
        const Endpoint peer = parseEndpoint(host.peer_endpoint());
        if (m_steering.isGroupMember({ host.host(), host.data_centre() }))
            peers.group.push_back(peer);
        else if (host.data_centre() == m_settings.data_centre())
            peers.otherLocal.push_back(peer);
        else
            peers.remote.push_back(peer);
    }
    m_reporter.setPeers(std::move(peers));
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
    m_registry.setServices({ table.services().begin(), table.services().end() });
    m_controlClient.setDocumentVersion(version);
    writeLog(LogLevel::Info, ResultCode::DocumentInForce, "document in force",
        { { "version", std::to_string(version) }, { "former_version", std::to_string(previousVersion) },
            { "routes", std::to_string(count) } });
}

void CookieEntryDaemon::applyStoppedDataCentres(const schema::StoppedDataCentres& list)
{
    if (!m_steering.setStoppedDataCentres(list, m_loop.now()))
        return;
    reportStoppedDataCentres();
    const StoppedDataCentreState state = m_steering.stoppedDataCentres();
    writeLog(LogLevel::Info, ResultCode::EvacuationApplied, "list of evacuated data centres applied",
        { { "revision", std::to_string(state.revision) }, { "evacuated", describe(list) },
            { "returned_ms", describeReturned(list) }, { "targets", std::to_string(state.targets) },
            { "open_flows", std::to_string(state.openFlows) } });
}

void CookieEntryDaemon::reportStoppedDataCentres()
{
    const StoppedDataCentreState state = m_steering.stoppedDataCentres();
    m_controlClient.setStoppedDataCentres(state.revision, state.openFlows);
}

void CookieEntryDaemon::handleTargetEvent(const RegisteredTarget& target, TargetEvent event)
{
    if (event == TargetEvent::Unnamed)
        return;
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
    return !m_stopping && m_steering.documentVersion() > 0 && m_isRegistryLoaded;
}

void CookieEntryDaemon::logDecision(const FlowPacket& packet, const SteeringDecision& decision) const
{
    const bool isRoutine = decision.code == ResultCode::FlowPlaced || decision.code == ResultCode::FlowWaiting;
    std::array<char, 16> cost {};
    std::snprintf(cost.data(), cost.size(), "%.2f", decision.cost);
    writeLog(isRoutine ? LogLevel::Info : LogLevel::Warning, decision.code, "steering decision",
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
        end();
        return;
    }
    m_stopping = true;
    const Duration forwarding
        = std::min(maxForwardingTime, toDuration(m_settings.grace_seconds() * forwardingFraction));
    writeLog(LogLevel::Info, ResultCode::Ok, "stopping",
        { { "flows", std::to_string(m_steering.flowCount()) }, { "forwards_ms", std::to_string(forwarding.count()) } });
    m_stopTimer.start(forwarding);
}

void CookieEntryDaemon::end()
{
    m_packets.sendAll();
    m_loop.stop();
}

}
