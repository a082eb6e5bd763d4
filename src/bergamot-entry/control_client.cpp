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
    constexpr Duration connectTimeout { 150 };
    constexpr Duration maxBackoff { 100 };
    /// Delay after a failed call; prevents a busy loop when no control host is reachable.
    constexpr Duration retryDelay { 40 };
    /// Delay between calls to a control host that is isolated, i.e. not in contact with a majority.
    constexpr Duration isolatedRetryDelay { 200 };

    RpcClientOptions makeOptions()
    {
        RpcClientOptions options;
        options.probeTimeout = connectTimeout;
        options.backoffMax = maxBackoff;
        options.failsFast = true;
        return options;
    }

}

ControlClient::ControlClient(EventLoop& loop, schema::EntryHostRecord self, Handler handler)
    : m_loop(loop)
    , m_self(std::move(self))
    , m_handler(std::move(handler))
    , m_clients(loop, makeOptions())
    , m_selector(m_self.host(), m_self.data_centre())
    , m_lastQuorumResponse(loop.now())
    , m_callTimer(loop, [this] { call(); })
{
}

void ControlClient::addControlHost(const std::string& endpoint, const std::string& dataCentre)
{
    m_selector.addCandidate(endpoint, dataCentre);
}

void ControlClient::start() { m_callTimer.start(Duration(0)); }

void ControlClient::call()
{
    const std::string endpoint = m_selector.choose(m_loop.now());
    RpcClient* client = endpoint.empty() ? nullptr : m_clients.clientFor(endpoint);
    if (!client) {
        m_callTimer.start(longPollTimeout);
        return;
    }
    schema::EntrySyncRequest request;
    *request.mutable_sender() = m_self;
    request.set_document_version(m_documentVersion);
    request.set_seen_epoch(m_seenEpoch);
    request.set_seen_change(m_seenChange);
    request.set_seen_entry_hosts(m_seenEntryHosts);
    request.set_wait_ms(static_cast<std::uint32_t>(longPollTimeout.count()));
    client->call(syncPath, request.SerializeAsString(), callTimeout,
        [this, endpoint](const RpcResult& result) { handleResult(endpoint, result); });
}

void ControlClient::handleFailure(const std::string& endpoint, const std::string& reason)
{
    ++m_failedCalls;
    m_selector.recordFailure(endpoint, m_loop.now());
    if (std::exchange(m_isConnected, false))
        writeLog(LogLevel::Warning, ResultCode::ControlHostLost, "lost contact with the control host",
            { { "endpoint", endpoint }, { "reason", reason }, { "version", std::to_string(m_documentVersion) } });
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
    m_hasQuorumResponse = m_hasQuorumResponse || !response.isolated();
    if (!response.isolated())
        m_lastQuorumResponse = m_loop.now();
    m_seenEpoch = response.epoch();
    m_seenChange = response.change();
    m_seenEntryHosts = response.entry_hosts_fingerprint();
    for (const schema::ControlHostRecord& host : response.control_hosts())
        m_selector.addCandidate(host.rpc_endpoint(), host.data_centre());
    m_handler(response);
    m_callTimer.start(response.isolated() ? isolatedRetryDelay : Duration(0));
}

}
