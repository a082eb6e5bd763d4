#include "bergamot-entry/control_client.h"

#include "libbergamotio/log.h"

namespace bergamotroute {

namespace {

    constexpr const char* syncPath = "/rpc/entry";
    /// Maximum time for which a control host may hold a call without updates. Short, because a hung call is detected
    /// only after it, and two control hosts that hang in succession must not delay updates beyond the propagation bound
    /// of 3 s.
    constexpr Duration longPollTimeout { 800 };
    constexpr Duration callTimeout { 1250 };
    /// Timeout for opening a connection; needed because a host without power does not even refuse it.
    constexpr Duration connectTimeout { 100 };
    constexpr Duration maxBackoff { 100 };
    /// Time after which a connection to the next control host is attempted: several round trips within a region.
    constexpr Duration attemptDelay { 30 };
    /// Time from a refused connection to the next one to the same host; its program starts within a fraction of a
    /// second after its machine.
    constexpr Duration refusedRetryDelay { 50 };
    /// Delay after a failed call; prevents a busy loop when no control host is reachable.
    constexpr Duration retryDelay { 20 };
    /// Delay between calls to a control host that is isolated, i.e. not in contact with a majority.
    constexpr Duration isolatedRetryDelay { 200 };

    RpcClientOptions makeOptions()
    {
        RpcClientOptions options;
        options.connectTimeout = connectTimeout;
        options.backoffMax = maxBackoff;
        options.failsFast = true;
        return options;
    }

}

ControlClient::ControlClient(
    EventLoop& loop, schema::EntryHostRecord self, Handler handler, std::function<std::uint64_t()> registryDigest)
    : m_loop(loop)
    , m_self(std::move(self))
    , m_handler(std::move(handler))
    , m_registryDigest(std::move(registryDigest))
    , m_clients(loop, makeOptions())
    , m_selector(m_self.host(), m_self.data_centre())
    , m_race(attemptDelay, refusedRetryDelay)
    , m_lastQuorumResponse(loop.now())
    , m_callTimer(loop, [this] { call(); })
    , m_raceTimer(loop, [this] { continueRace(); })
{
}

void ControlClient::addControlHost(const std::string& endpoint, const std::string& dataCentre)
{
    m_selector.addCandidate(endpoint, dataCentre);
    m_race.add(endpoint);
}

void ControlClient::setStoppedDataCentres(std::uint64_t revision, std::uint32_t openFlows)
{
    m_self.set_data_centres_revision(revision);
    m_self.set_flows_at_stopped(openFlows);
}

void ControlClient::start() { m_callTimer.start(Duration(0)); }

void ControlClient::call()
{
    // The rest of a registry that is sent in parts comes from the same control host.
    const std::string endpoint = std::exchange(m_hasMore, false) ? m_lastEndpoint : m_selector.usable();
    RpcClient* client = endpoint.empty() ? nullptr : m_clients.clientFor(endpoint);
    if (client && client->isConnected())
        send(endpoint, false);
    else
        startRace();
}

void ControlClient::startRace()
{
    std::vector<std::string> endpoints = m_selector.ranked(m_loop.now());
    m_untried = { endpoints.begin(), endpoints.end() };
    m_race.start(std::move(endpoints), m_loop.now());
    if (m_race.isRunning())
        continueRace();
    else
        m_callTimer.start(longPollTimeout);
}

void ControlClient::continueRace()
{
    if (const std::optional<std::string> due = m_race.takeDueAttempt(m_loop.now())) {
        const std::string& endpoint = *due;
        RpcClient* client = m_clients.clientFor(endpoint);
        if (client)
            client->open([this, endpoint](bool isOpen) { handleAttempt(endpoint, isOpen); });
        else
            handleAttempt(endpoint, false);
    }
    m_raceTimer.startAt(m_race.nextAttempt());
}

void ControlClient::handleAttempt(const std::string& endpoint, bool isOpen)
{
    if (isOpen) {
        const auto losers = m_race.recordConnected(endpoint);
        if (!losers)
            return;
        for (const std::string& loser : *losers)
            m_clients.clientFor(loser)->cancelOpen();
        m_raceTimer.stop();
        m_selector.select(endpoint);
        send(endpoint, true);
        return;
    }
    m_race.recordFailure(endpoint, m_loop.now());
    m_selector.recordFailure(endpoint, m_loop.now());
    if (m_untried.erase(endpoint) > 0 && m_untried.empty())
        recordLoss(endpoint, "no control host accepts a connection");
    // Not at once: the failed attempt may still be on the stack.
    m_raceTimer.startAt(m_race.nextAttempt());
}

void ControlClient::send(const std::string& endpoint, bool isNewConnection)
{
    schema::EntrySyncRequest request;
    *request.mutable_sender() = m_self;
    request.set_document_version(m_documentVersion);
    if (isNewConnection)
        request.set_registry_digest(m_registryDigest());
    request.set_seen_epoch(m_seen[endpoint].epoch);
    request.set_seen_change(m_seen[endpoint].change);
    request.set_seen_entry_hosts(m_seenEntryHosts);
    request.set_data_centres_revision(m_self.data_centres_revision());
    request.set_wait_ms(static_cast<std::uint32_t>(longPollTimeout.count()));
    m_clients.clientFor(endpoint)->call(syncPath, request.SerializeAsString(), callTimeout,
        [this, endpoint](const RpcResult& result) { handleResult(endpoint, result); });
}

void ControlClient::recordLoss(const std::string& endpoint, const std::string& reason)
{
    ++m_failedCalls;
    if (std::exchange(m_isConnected, false))
        writeLog(LogLevel::Warning, ResultCode::ControlHostLost, "lost contact with the control host",
            { { "endpoint", endpoint }, { "reason", reason }, { "version", std::to_string(m_documentVersion) } });
}

void ControlClient::handleFailure(const std::string& endpoint, const std::string& reason)
{
    m_selector.recordFailure(endpoint, m_loop.now());
    recordLoss(endpoint, reason);
    m_callTimer.start(retryDelay);
}

void ControlClient::handleResult(const std::string& endpoint, const RpcResult& result)
{
    schema::EntrySyncAnswer response;
    if (!result.succeeded()) {
        handleFailure(endpoint, result.error ? result.error.message() : "status " + std::to_string(result.status));
        return;
    }
    if (!response.ParseFromString(result.body)) {
        handleFailure(endpoint, "cannot parse the response");
        return;
    }
    m_selector.recordResponse(endpoint, response.isolated(), m_loop.now());
    if (!std::exchange(m_isConnected, true))
        writeLog(LogLevel::Info, ResultCode::ControlHostRegained, "connected to the control host",
            { { "endpoint", endpoint }, { "isolated", response.isolated() ? "true" : "false" },
                { "version", std::to_string(m_documentVersion) } });
    m_lastEndpoint = endpoint;
    m_hasMore = response.more();
    m_hasQuorumResponse = m_hasQuorumResponse || !response.isolated();
    if (!response.isolated())
        m_lastQuorumResponse = m_loop.now();
    m_seen[endpoint] = { response.epoch(), response.change() };
    m_seenEntryHosts = response.entry_hosts_fingerprint();
    for (const schema::ControlHostRecord& host : response.control_hosts())
        m_selector.addCandidate(host.rpc_endpoint(), host.data_centre());
    m_handler(response);
    m_callTimer.start(response.isolated() && !m_hasMore ? isolatedRetryDelay : Duration(0));
}

}
