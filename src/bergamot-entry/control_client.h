#pragma once

/// @file
/// Keeps an entry host up to date: calls one control host after another, and goes to another one when it fails.

#include "bergamotroute/control_selector.h"
#include "libbergamotio/event_loop.h"
#include "libbergamotio/rpc_client_pool.h"

#include "directory.pb.h"

#include <functional>
#include <string>

namespace bergamotroute {

class ControlClient {
public:
    using Handler = std::function<void(const schema::EntrySyncAnswer& response)>;

    /// @param self record of this host.
    /// @param handler gets each answer before the next call is made.
    ControlClient(EventLoop& loop, schema::EntryHostRecord self, Handler handler);

    /// Adds a control host.
    void addControlHost(const std::string& endpoint, const std::string& dataCentre);

    /// Begins to call.
    void start();

    /// Version that the host holds, sent with each call.
    void setDocumentVersion(std::uint64_t version) { m_documentVersion = version; }

    /// @return time since the last answer of a control host that hears from a majority.
    Duration viewAge() const { return m_loop.now() - m_lastQuorumResponse; }

    bool hasQuorumResponse() const { return m_hasQuorumResponse; }
    std::uint64_t failedCalls() const { return m_failedCalls; }

private:
    void call();
    void handleResult(const std::string& endpoint, const RpcResult& result);
    void handleFailure(const std::string& endpoint, const std::string& reason);

    EventLoop& m_loop;
    schema::EntryHostRecord m_self;
    Handler m_handler;
    RpcClientPool m_clients;
    ControlSelector m_selector;
    std::uint64_t m_documentVersion = 0;
    std::uint64_t m_seenEpoch = 0;
    std::uint64_t m_seenChange = 0;
    std::uint64_t m_seenEntryHosts = 0;
    TimePoint m_lastQuorumResponse;
    bool m_hasQuorumResponse = false;
    bool m_isConnected = false;
    std::uint64_t m_failedCalls = 0;
    Timer m_callTimer;
};

}
