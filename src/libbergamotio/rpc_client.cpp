#include "libbergamotio/rpc_client.h"

#include "bergamotroute/result_code.h"
#include "libbergamotio/log.h"
#include "libbergamotio/socket_address.h"

#include <algorithm>
#include <charconv>
#include <event2/bufferevent.h>
#include <utility>

namespace bergamotroute {

RpcClient::RpcClient(EventLoop& loop, const Endpoint& endpoint, RpcClientOptions options)
    : m_loop(loop)
    , m_endpoint(endpoint)
    , m_options(options)
    , m_backoff(options.backoffMin)
    , m_deadlineTimer(loop, [this] { expireCalls(); })
    , m_probeTimer(loop, [this] { probe(); })
    , m_reconnectTimer(loop, [this] { endBackoff(); })
{
}

RpcClient::~RpcClient() = default;

void RpcClient::call(std::string path, std::string body, Duration deadline, Callback callback)
{
    const std::uint64_t id = m_nextId++;
    Call& added = m_calls[id];
    added.path = std::move(path);
    added.body = std::move(body);
    added.deadline = m_loop.now() + deadline;
    added.callback = std::move(callback);
    if (m_state == State::Idle)
        connect();
    else if (m_state == State::Connected)
        sendCall(id);
    else if (m_state == State::Backoff && m_options.failsFast)
        added.deadline = m_loop.now();
    scheduleDeadline();
}

void RpcClient::open(std::function<void(bool isOpen)> handler)
{
    m_openHandler = std::move(handler);
    if (m_state == State::Connected) {
        reportOpen(true);
        return;
    }
    if (m_state == State::Connecting)
        return;
    m_reconnectTimer.stop();
    connect();
}

void RpcClient::cancelOpen()
{
    m_openHandler = {};
    if (m_state != State::Connecting || !m_calls.empty())
        return;
    m_transport.reset();
    m_probeTimer.stop();
    m_state = State::Idle;
}

void RpcClient::reportOpen(bool isOpen)
{
    if (const auto handler = std::exchange(m_openHandler, {}))
        handler(isOpen);
}

void RpcClient::connect()
{
    m_state = State::Connecting;
    bufferevent* stream = bufferevent_socket_new(m_loop.base(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    m_transport = std::make_unique<Http2Transport>(stream, Http2Side::Client, *this);
    const SocketAddress address = toSocketAddress(m_endpoint);
    // A connection that opens neither nor fails is closed by the probe timer.
    m_probeOpen = true;
    m_probeTimer.start(m_options.connectTimeout);
    if (bufferevent_socket_connect(stream, const_cast<sockaddr*>(address.get()), static_cast<int>(address.length)) != 0)
        closeConnection();
}

void RpcClient::endBackoff()
{
    if (m_calls.empty())
        m_state = State::Idle;
    else
        connect();
}

void RpcClient::connected()
{
    m_state = State::Connected;
    m_probeOpen = false;
    m_probeTimer.start(m_options.probeInterval);
    sendWaiting();
    reportOpen(true);
}

void RpcClient::sendWaiting()
{
    std::vector<std::uint64_t> unsent;
    for (const auto& [id, waitingCall] : m_calls) {
        if (waitingCall.stream == 0)
            unsent.push_back(id);
    }
    for (const std::uint64_t id : unsent)
        sendCall(id);
}

void RpcClient::sendCall(std::uint64_t id)
{
    Call& sent = m_calls[id];
    const Http2Transport::Headers headers { { ":method", "POST" }, { ":scheme", "http" },
        { ":authority", m_endpoint.toString() }, { ":path", sent.path }, { "content-type", "application/x-protobuf" } };
    const std::int32_t stream = m_transport->submitRequest(headers, std::move(sent.body));
    if (stream < 0) {
        // The connection has used up its stream numbers; the next call opens another one.
        sent.deadline = m_loop.now();
        return;
    }
    sent.stream = stream;
    sent.sentAt = m_loop.now();
    m_streams[stream] = id;
}

RpcClient::Call* RpcClient::callOf(std::int32_t stream)
{
    const auto found = m_streams.find(stream);
    return found == m_streams.end() ? nullptr : &m_calls[found->second];
}

void RpcClient::headerReceived(std::int32_t stream, std::string_view name, std::string_view value)
{
    m_lastReceived = m_loop.now();
    Call* target = callOf(stream);
    if (target && name == ":status")
        std::from_chars(value.data(), value.data() + value.size(), target->result.status);
}

void RpcClient::dataReceived(std::int32_t stream, std::string_view bytes)
{
    if (Call* target = callOf(stream))
        target->result.body.append(bytes);
}

void RpcClient::messageEnded(std::int32_t stream)
{
    // The peer answers, so a later failure starts with the shortest pause again.
    m_backoff = m_options.backoffMin;
    if (const auto found = m_streams.find(stream); found != m_streams.end())
        finish(found->second, {});
}

void RpcClient::streamClosed(std::int32_t stream)
{
    if (const auto found = m_streams.find(stream); found != m_streams.end())
        finish(found->second, ResultCode::ConnectionLost);
}

void RpcClient::finish(std::uint64_t id, std::error_code error)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    Call ended = std::move(found->second);
    m_calls.erase(found);
    m_streams.erase(ended.stream);
    ended.result.error = error;
    scheduleDeadline();
    ended.callback(ended.result);
}

void RpcClient::expireCalls()
{
    const TimePoint now = m_loop.now();
    std::vector<std::pair<std::uint64_t, std::int32_t>> expired;
    bool isSilent = false;
    for (const auto& [id, waitingCall] : m_calls) {
        if (waitingCall.deadline > now)
            continue;
        expired.emplace_back(id, waitingCall.stream);
        isSilent = isSilent || (waitingCall.stream != 0 && m_lastReceived <= waitingCall.sentAt);
    }
    for (const auto& [id, stream] : expired) {
        finish(id, ResultCode::DeadlineExceeded);
        if (stream != 0 && m_transport)
            m_transport->resetStream(stream);
    }
    // Nothing came since a call that has expired: the connection may have gone silent for good while new ones work.
    if (isSilent && m_state == State::Connected)
        closeConnection();
    scheduleDeadline();
}

void RpcClient::scheduleDeadline()
{
    TimePoint next = noDeadline;
    for (const auto& [id, waitingCall] : m_calls)
        next = std::min(next, waitingCall.deadline);
    m_deadlineTimer.startAt(next);
}

void RpcClient::probe()
{
    if (m_probeOpen) {
        ++m_failedProbes;
        if (m_state == State::Connected)
            writeLog(LogLevel::Warning, ResultCode::StreamProbeFailed, "connection closed",
                { { "peer", m_endpoint.toString() } });
        closeConnection();
        return;
    }
    m_probeOpen = true;
    m_probeTimer.start(m_options.probeTimeout);
    m_transport->ping();
}

void RpcClient::pingAcknowledged()
{
    m_lastReceived = m_loop.now();
    m_probeOpen = false;
    m_probeTimer.start(m_options.probeInterval);
}

void RpcClient::disconnected() { closeConnection(); }

void RpcClient::closeConnection()
{
    m_transport.reset();
    m_probeTimer.stop();
    m_state = State::Backoff;
    m_reconnectTimer.start(m_backoff);
    m_backoff = std::min(m_backoff * 2, m_options.backoffMax);
    // Calls that were sent may have run. Calls that were not sent wait for the next connection or their deadline.
    std::vector<std::uint64_t> lost;
    for (const auto& [id, call] : m_calls) {
        if (call.stream != 0 || m_options.failsFast)
            lost.push_back(id);
    }
    m_streams.clear();
    for (const std::uint64_t id : lost)
        finish(id, ResultCode::ConnectionLost);
    reportOpen(false);
}

}
