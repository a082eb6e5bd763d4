#pragma once

/// @file
/// Keeps the registries of the control hosts alike: each sends its changes to all others, at once after an event.

#include "bergamotroute/host_directory.h"
#include "bergamotroute/target_registry.h"
#include "libbergamotio/event_loop.h"
#include "libbergamotio/rpc_client_pool.h"
#include "libbergamotio/rpc_server.h"

#include "directory.pb.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace bergamotroute {

/// One control host's part of the exchange.
class DirectoryExchange {
public:
    /// @param self record of this host; its identity may change.
    DirectoryExchange(EventLoop& loop, TargetRegistry& registry, schema::ControlHostRecord self);

    /// Handles calls of other control hosts and begins to call them.
    void serve(RpcServer& server);

    /// Adds a place where a control host may listen.
    /// @param endpoint ip:port of its RPC listener.
    void addSeed(const std::string& endpoint);

    void setIdentity(const std::string& identity) { m_self.set_identity(identity); }

    /// Sends changes now rather than with the next round.
    void sendSoon();

    /// Calls the handler once all control hosts that answer have this host's changes so far, or after the limit.
    void whenSpread(Duration limit, std::function<void()> handler);

    /// Notes an entry host that called this control host.
    void noteEntryHost(const schema::EntryHostRecord& record);

    /// @return control hosts heard within a time, this one included.
    std::vector<schema::ControlHostRecord> controlHosts(Duration within) const;

    /// @return entry hosts heard within a time.
    std::vector<schema::EntryHostRecord> entryHosts(Duration within) const;

    const schema::ControlHostRecord* findControlHost(const std::string& identity) const;

    /// @return true once another control host has given its whole registry, or none has answered for a while.
    bool isWarm() const;

    std::uint64_t epoch() const { return m_epoch; }
    std::uint64_t failedCalls() const { return m_failedCalls; }

private:
    struct Peer {
        RpcClient* client = nullptr;
        bool callOpen = false;
        /// Last answer; the host counts as running for a while after it.
        TimePoint lastAnswer {};
        bool answered = false;
        /// What the peer has of this host, and this host of the peer.
        std::uint64_t acknowledged = 0;
        std::uint64_t seenEpoch = 0;
        std::uint64_t seenChange = 0;
    };

    struct Waiter {
        std::uint64_t change = 0;
        TimePoint deadline;
        std::function<void()> handler;
    };

    void round();
    void callPeer(const std::string& endpoint, Peer& peer);
    schema::DirectoryExchange makeMessage(const Peer& peer);
    void take(const schema::DirectoryExchange& message, Peer& peer);
    void handleCall(const std::string& body, const RpcReply& reply);
    Peer* peerAt(const std::string& endpoint);
    bool isRunning(const Peer& peer, TimePoint now) const;
    void finishWaiters();

    EventLoop& m_loop;
    TargetRegistry& m_registry;
    schema::ControlHostRecord m_self;
    std::uint64_t m_epoch;
    TimePoint m_started;
    RpcClientPool m_clients;
    std::map<std::string, Peer> m_peers;
    HostDirectory<schema::ControlHostRecord> m_controlHosts;
    HostDirectory<schema::EntryHostRecord> m_entryHosts;
    std::vector<Waiter> m_waiters;
    std::uint64_t m_rounds = 0;
    std::uint64_t m_failedCalls = 0;
    bool m_hasFullRegistry = false;
    Timer m_roundTimer;
    Timer m_waiterTimer;
    bool m_soon = false;
};

}
