#pragma once

/// @file
/// RPC client: HTTP/2 POST with protobuf bodies to one endpoint.

#include "bergamotroute/types.h"
#include "libbergamotio/event_loop.h"
#include "libbergamotio/http2_transport.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <system_error>

namespace bergamotroute {

/// Outcome of a call.
struct RpcResult {
    /// ResultCode::DeadlineExceeded or ConnectionLost; empty if an answer came.
    std::error_code error;
    unsigned status = 0;
    std::string body;

    bool succeeded() const { return !error && status == 200; }
};

/// Intervals of a client.
struct RpcClientOptions {
    /// Time between probes of an open connection.
    Duration probeInterval { 2000 };
    /// Time for the answer to a probe.
    Duration probeTimeout { 1000 };
    /// Time for opening a connection.
    Duration connectTimeout { 1000 };
    /// First and longest pause after a failed connection; the pause doubles in between.
    Duration backoffMin { 50 };
    Duration backoffMax { 2000 };
    /// End waiting calls with ConnectionLost when a connection cannot be opened, instead of at their deadline. For
    /// callers that have another endpoint to turn to.
    bool failsFast = false;
};

/// Calls one endpoint. Connects when the first call needs it and again after a loss. Each call ends by its deadline.
/// Callbacks come from the event loop and must not destroy the client.
class RpcClient final : public Http2Events {
public:
    using Callback = std::function<void(const RpcResult& result)>;

    RpcClient(EventLoop& loop, const Endpoint& endpoint, RpcClientOptions options = {});
    ~RpcClient() override;
    RpcClient(const RpcClient&) = delete;
    RpcClient& operator=(const RpcClient&) = delete;

    /// Sends a POST.
    /// @param deadline time from now after which the call ends with DeadlineExceeded.
    /// @param callback called exactly once, unless the client is destroyed before.
    void call(std::string path, std::string body, Duration deadline, Callback callback);

    /// Opens a connection without a call, also during the pause after a failed one.
    /// @param handler called once with true when the connection is open, or with false when the attempt has failed.
    /// Replaces the handler of an earlier attempt.
    void open(std::function<void(bool isOpen)> handler);

    /// Gives up an attempt of open(), unless calls wait for the connection; its handler is not called.
    void cancelOpen();

    /// @return true while a connection is open.
    bool isConnected() const { return m_state == State::Connected; }

    /// @return connections closed because a probe had no answer.
    std::uint64_t failedProbes() const { return m_failedProbes; }

private:
    enum class State {
        Idle,
        Connecting,
        Connected,
        Backoff,
    };

    struct Call {
        std::string path;
        std::string body;
        TimePoint deadline;
        TimePoint sentAt;
        Callback callback;
        std::int32_t stream = 0;
        RpcResult result;
    };

    void headerReceived(std::int32_t stream, std::string_view name, std::string_view value) override;
    void dataReceived(std::int32_t stream, std::string_view bytes) override;
    void messageEnded(std::int32_t stream) override;
    void streamClosed(std::int32_t stream) override;
    void pingAcknowledged() override;
    void connected() override;
    void disconnected() override;

    void connect();
    void endBackoff();
    void reportOpen(bool isOpen);
    void sendCall(std::uint64_t id);
    void sendWaiting();
    void finish(std::uint64_t id, std::error_code error);
    void expireCalls();
    void scheduleDeadline();
    void probe();
    void closeConnection();
    Call* callOf(std::int32_t stream);

    EventLoop& m_loop;
    Endpoint m_endpoint;
    RpcClientOptions m_options;
    State m_state = State::Idle;
    std::unique_ptr<Http2Transport> m_transport;
    std::map<std::uint64_t, Call> m_calls;
    std::map<std::int32_t, std::uint64_t> m_streams;
    std::uint64_t m_nextId = 1;
    Duration m_backoff;
    std::function<void(bool)> m_openHandler;
    bool m_probeOpen = false;
    TimePoint m_lastReceived;
    std::uint64_t m_failedProbes = 0;
    Timer m_deadlineTimer;
    Timer m_probeTimer;
    Timer m_reconnectTimer;
};

}
