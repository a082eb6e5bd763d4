#include "bergamotd/entry_daemon.h"

#include "bergamotd/peer_header.h"
#include "libbergamotio/http_client.h"
#include "libbergamotio/json_schema.h"
#include "libbergamotio/log.h"

#include <algorithm>
#include <random>

namespace bergamotroute {

namespace {

    /// IPv4 and UDP headers, which count as control traffic.
    constexpr std::size_t datagramOverhead = 28;
    constexpr unsigned mostBatchesPerTurn = 16;

    Endpoint parseEndpoint(const std::string& text)
    {
        std::error_code error;
        return Endpoint::parse(text, error);
    }

    std::vector<schema::PeerSettings> sortedPeers(const schema::EntryHostSettings& settings)
    {
        std::vector<schema::PeerSettings> peers(settings.peers().begin(), settings.peers().end());
        std::sort(peers.begin(), peers.end(), [](const auto& a, const auto& b) { return a.host() < b.host(); });
        return peers;
    }

    /// Milliseconds since the epoch in the upper bits, so that a restarted host has a higher incarnation.
    std::uint64_t makeIncarnation(const Clock& clock)
    {
        constexpr unsigned randomBits = 16;
        return (clock.wallMilliseconds() << randomBits) | (std::random_device()() & ((1u << randomBits) - 1));
    }

    EntryHostOptions toOptions(const schema::EntryHostSettings& settings, const Clock& clock)
    {
        EntryHostOptions options;
        options.host = settings.host();
        options.dataCentre = settings.data_centre();
        for (const schema::PeerSettings& peer : settings.peers())
            options.peers.push_back({ peer.host(), peer.data_centre() });
        options.incarnation = makeIncarnation(clock);
        options.seed = options.incarnation;
        options.flowCacheEntries = settings.flow_cache_entries();
        options.bucketsPerService = settings.buckets_per_service();
        options.heartbeatInterval = Duration(settings.heartbeat_ms());
        options.lease = Duration(settings.lease_ms());
        options.deadAfter = Duration(settings.dead_after_ms());
        options.healthInterval = Duration(settings.health_interval_ms());
        options.ramp = std::chrono::seconds(settings.ramp_seconds());
        options.quarantine = std::chrono::seconds(settings.quarantine_seconds());
        options.controlBytesPerSecond = settings.control_bytes_per_second();
        return options;
    }

}

EntryDaemon::EntryDaemon(EventLoop& loop, schema::EntryHostSettings settings)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_store(m_settings.data_folder())
    , m_peers(UdpSocket::messageBytes)
    , m_operators(loop)
    , m_announce(loop)
    , m_host(toOptions(m_settings, loop), *this, loop.now())
    , m_timer(loop, [this] {
        m_armedDeadline = noDeadline;
        m_host.advance(m_loop.now());
        finishRound();
    })
{
    for (const schema::PeerSettings& peer : sortedPeers(m_settings)) {
        m_peerIndexes[parseEndpoint(peer.endpoint())] = static_cast<HostIndex>(m_peerEndpoints.size());
        m_peerEndpoints.push_back(parseEndpoint(peer.endpoint()));
    }
    m_fabricReturn = parseEndpoint(m_settings.fabric_send());
}

std::error_code EntryDaemon::start(std::string& detail)
{
    if (const std::error_code error = openListeners(detail))
        return error;
    schema::Configuration saved;
    if (const std::error_code error = m_store.load(saved)) {
        writeLog(LogLevel::Error, ResultCode::LogDamaged, "saved configuration is damaged and is not used");
    } else if (saved.revision() > 0) {
        m_host.handleConfiguration(saved, m_loop.now());
    }
    if (const std::error_code error = startExchange()) {
        detail = m_settings.peer_listen();
        return error;
    }
    addRoutes();
    m_fabricWatch = std::make_unique<ReadWatch>(m_loop, m_fabric.descriptor(), [this] { receiveFabric(); });
    m_peerWatch = std::make_unique<ReadWatch>(m_loop, m_peers.descriptor(), [this] { receivePeers(); });
    m_timer.start(Duration(0));
    return {};
}

std::error_code EntryDaemon::openListeners(std::string& detail)
{
    std::error_code error;
    if (!m_settings.operators().token_file().empty()) {
        detail = m_settings.operators().token_file();
        m_operators.setToken(readToken(detail, error));
        if (error)
            return error;
    }
    detail = m_settings.fabric_listen();
    if ((error = m_fabric.open(parseEndpoint(detail))))
        return error;
    detail = m_settings.peer_listen();
    if ((error = m_peers.open(parseEndpoint(detail))))
        return error;
    detail = m_settings.operators().listen();
    if ((error = m_operators.listen(parseEndpoint(detail))))
        return error;
    detail = m_settings.announce_listen();
    return m_announce.listen(parseEndpoint(detail));
}

std::error_code EntryDaemon::startExchange()
{
    ConfigurationExchangeOptions options;
    options.host = m_settings.host();
    options.listen = parseEndpoint(m_settings.peer_listen());
    for (const std::string& endpoint : m_settings.control_endpoints())
        options.controlHosts.push_back(parseEndpoint(endpoint));
    for (const schema::PeerSettings& peer : m_settings.peers()) {
        if (peer.host() != m_settings.host())
            options.peers.push_back(parseEndpoint(peer.endpoint()));
    }
    m_exchange = std::make_unique<ConfigurationExchange>(
        m_loop, std::move(options), [this]() -> const schema::Configuration& { return m_host.configuration(); },
        [this](const schema::Configuration& configuration) { applyConfiguration(configuration); });
    return m_exchange->start();
}

ResultCode EntryDaemon::applyConfiguration(const schema::Configuration& configuration)
{
    if (configuration.revision() <= m_host.configuration().revision())
        return ResultCode::RevisionOlderRefused;
    if (m_store.save(configuration))
        writeLog(LogLevel::Error, ResultCode::StorageFailed, "configuration is in force but not kept on disk");
    const ResultCode code = m_host.handleConfiguration(configuration, m_loop.now());
    finishRound();
    m_exchange->revisionChanged();
    writeLog(LogLevel::Info, code, "configuration", { { "revision", std::to_string(configuration.revision()) } });
    return code;
}

void EntryDaemon::leave()
{
    writeLog(LogLevel::Info, ResultCode::HostLeft, "graceful leave begins");
    m_host.leave(m_loop.now());
    finishRound();
}

void EntryDaemon::receiveFabric()
{
    // Under load the next batch is there already; reading on saves a turn of the event loop for each batch. The limit
    // keeps timers and heartbeats running.
    for (unsigned batch = 0; batch < mostBatchesPerTurn; ++batch) {
        if (receiveFabricBatch() == 0)
            break;
        m_fabric.flush();
        m_peers.flush();
    }
    finishRound();
}

std::size_t EntryDaemon::receiveFabricBatch()
{
    const TimePoint now = m_loop.now();
    return m_fabric.receive([&](std::span<const std::byte> packet, const Endpoint& source) {
        ++m_traffic.fabricPackets;
        if (m_settings.fabric_send().empty())
            m_fabricReturn = source;
        if (m_host.handlePacket(packet, now) != ResultCode::Ok)
            ++m_traffic.droppedPackets;
    });
}

void EntryDaemon::receivePeers()
{
    m_peers.receive(
        [this](std::span<const std::byte> datagram, const Endpoint& source) { handlePeerDatagram(datagram, source); });
    finishRound();
}

void EntryDaemon::handlePeerDatagram(std::span<const std::byte> datagram, const Endpoint& source)
{
    const auto peer = m_peerIndexes.find(source);
    const std::optional<PeerHeader> header = PeerHeader::decode(datagram);
    if (peer == m_peerIndexes.end() || !header) {
        ++m_traffic.malformedPeerDatagrams;
        return;
    }
    const std::span<const std::byte> body = datagram.subspan(PeerHeader::size);
    if (header->kind != PeerHeader::messageKind) {
        ++m_traffic.receivedRelays;
        const auto kind = static_cast<RelayKind>(header->kind);
        if (m_host.handleRelayedPacket(peer->second, kind, header->target, body, m_loop.now()) != ResultCode::Ok)
            ++m_traffic.droppedPackets;
        return;
    }
    m_traffic.controlBytesReceived += datagram.size() + datagramOverhead;
    schema::PeerMessage message;
    if (message.ParseFromArray(body.data(), static_cast<int>(body.size())))
        m_host.handleMessage(message, m_loop.now());
    else
        ++m_traffic.malformedPeerDatagrams;
}

void EntryDaemon::finishRound()
{
    m_fabric.flush();
    m_peers.flush();
    if (m_host.hasLeft()) {
        writeLog(LogLevel::Info, ResultCode::HostLeft, "graceful leave is complete");
        m_loop.stop();
        return;
    }
    if (const TimePoint deadline = m_host.nextDeadline(); deadline != m_armedDeadline) {
        m_armedDeadline = deadline;
        m_timer.startAt(deadline);
    }
}

void EntryDaemon::forwardPacket(const Endpoint& target, std::span<const std::byte> packet)
{
    ++m_traffic.forwardedPackets;
    m_fabric.queue(target, {}, packet);
}

void EntryDaemon::relayPacket(HostIndex peer, RelayKind kind, TargetId target, std::span<const std::byte> packet)
{
    if (peer >= m_peerEndpoints.size())
        return;
    ++m_traffic.relayedPackets;
    const PeerHeader header { static_cast<std::uint8_t>(kind), target };
    m_peers.queue(m_peerEndpoints[peer], header.encode(), packet);
}

void EntryDaemon::sendToCaller(std::span<const std::byte> packet)
{
    if (m_fabricReturn.port == 0)
        return;
    ++m_traffic.callerPackets;
    m_fabric.queue(m_fabricReturn, {}, packet);
}

void EntryDaemon::sendMessage(HostIndex peer, const schema::PeerMessage& message)
{
    if (peer >= m_peerEndpoints.size())
        return;
    const std::string body = message.SerializeAsString();
    m_traffic.controlBytesSent += body.size() + PeerHeader::size + datagramOverhead;
    m_peers.queue(m_peerEndpoints[peer], PeerHeader {}.encode(), std::as_bytes(std::span(body)));
}

void EntryDaemon::startHealthCheck(TargetId target, std::string_view healthUrl, std::string_view loadUrl)
{
    const Duration timeout(m_settings.health_timeout_ms());
    if (!healthUrl.empty()) {
        sendHttpRequest(m_loop, "GET", std::string(healthUrl), "", timeout, [this, target](const HttpAnswer& answer) {
            m_host.handleHealthResult(target, answer.status == static_cast<int>(HttpStatus::Ok), m_loop.now());
            finishRound();
        });
    }
    if (!loadUrl.empty()) {
        sendHttpRequest(m_loop, "GET", std::string(loadUrl), "", timeout,
            [this, target](const HttpAnswer& answer) { handleLoadAnswer(target, answer.status, answer.body); });
    }
}

void EntryDaemon::handleLoadAnswer(TargetId target, int status, const std::string& body)
{
    schema::LoadReport report;
    if (status != static_cast<int>(HttpStatus::Ok) || parseJsonMessage(body, "load report", report))
        return;
    m_host.handleLoadReport(target, report, m_loop.now());
    finishRound();
}

void EntryDaemon::logEvent(ResultCode code, std::string_view detail) { writeLog(LogLevel::Info, code, detail); }

}
