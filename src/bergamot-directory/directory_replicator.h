#pragma once

/// @file
/// Replicates the target registry and the lists of hosts between control hosts: each host sends its changes to all
/// others periodically, and immediately after an event.

#include "bergamotroute/heartbeat_digest.h"
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

/// Replicates the registry of one control host to its peers and merges theirs.
class DirectoryReplicator {
public:
    /// @param self record of this host; setIdentity() may change its identity later.
    DirectoryReplicator(EventLoop& loop, TargetRegistry& registry, schema::ControlHostRecord self);

    /// Registers the handler for calls from other control hosts and starts to call them.
    void serve(RpcServer& server);

    /// Adds an endpoint at which a control host may listen.
    /// @param endpoint ip:port of its RPC listener.
    void addSeed(const std::string& endpoint);

    void setIdentity(const std::string& identity) { m_self.set_identity(identity); }

    /// Tells the other control hosts that this one has been told to stop.
    void announceStop();

    /// Calls the handler when another control host says that it has been told to stop.
    void onHostStopping(std::function<void()> handler) { m_hostStopping = std::move(handler); }

    /// Sends changes now instead of in the next periodic round.
    void requestRound();

    /// Calls the handler once all responsive control hosts have acknowledged this host's changes so far, or after the
    /// timeout.
    void whenReplicated(Duration timeout, std::function<void()> handler);

    /// Records that an entry host has called this control host.
    void recordEntryHost(const schema::EntryHostRecord& record);

    /// @return control hosts last seen at most maxAge ago, including this one.
    std::vector<schema::ControlHostRecord> controlHosts(Duration maxAge) const;

    /// @return entry hosts last seen at most maxAge ago.
    std::vector<schema::EntryHostRecord> entryHosts(Duration maxAge) const;

    const schema::ControlHostRecord* findControlHost(const std::string& identity) const;

    /// @return true once another control host has sent its whole registry, or the warm-up time has passed without one.
    bool isWarmedUp() const;

    /// @return whether every control host that was heard of lately responds, except those that have been told to stop.
    bool hearsAllControlHosts() const;

    std::uint64_t epoch() const { return m_epoch; }
    std::uint64_t failedCalls() const { return m_failedCalls; }
    std::uint64_t unreadableMessages() const { return m_unreadableMessages; }
    const HeartbeatDigestCounters& digestCounters() const { return m_digestCounters; }

private:
    struct Peer {
        RpcClient* client = nullptr;
        HeartbeatDigest digest;
        bool callPending = false;
        /// Time of the last response; the peer counts as responsive for a while after it.
        TimePoint lastResponse {};
        bool hasResponded = false;
    };

    struct Waiter {
        std::uint64_t change = 0;
        TimePoint deadline;
        std::function<void()> handler;
    };

    void round();
    void callPeer(const std::string& endpoint, Peer& peer);
    schema::DirectoryExchange makeMessage(Peer& peer);
    void applyMessage(const schema::DirectoryExchange& message, Peer& peer);
    void handleCall(const std::string& body, const RpcReply& reply);
    /// @param sender endpoint of the host that sent the message; empty if it is not known.
    void reportUnreadable(const std::string& sender, std::size_t bytes);
    Peer* findOrAddPeer(const std::string& endpoint);
    bool isResponsive(const Peer& peer, TimePoint now) const;
    void finishWaiters();

    EventLoop& m_loop;
    TargetRegistry& m_registry;
    schema::ControlHostRecord m_self;
    std::uint64_t m_epoch;
    TimePoint m_startTime;
    RpcClientPool m_clients;
    HeartbeatDigestCounters m_digestCounters;
    std::map<std::string, Peer> m_peers;
    HostDirectory<schema::ControlHostRecord> m_controlHosts;
    HostDirectory<schema::EntryHostRecord> m_entryHosts;
    std::vector<Waiter> m_waiters;
    std::function<void()> m_hostStopping;
    std::uint64_t m_roundCount = 0;
    std::uint64_t m_failedCalls = 0;
    std::uint64_t m_unreadableMessages = 0;
    bool m_hasFullRegistry = false;
    Timer m_roundTimer;
    Timer m_waiterTimer;
    bool m_roundRequested = false;
};

}
