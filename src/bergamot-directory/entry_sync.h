#pragma once

/// @file
/// Serves the long poll of entry hosts: the document in force, the stopped data centres, registry changes, and the
/// lists of other hosts. A call for which there is no update waits until there is one or its wait time has passed.

#include "bergamot-directory/directory_replicator.h"
#include "bergamotroute/data_centre_returns.h"
#include "libbergamotio/quorum_host.h"

namespace bergamotroute {

class EntrySync {
public:
    /// All arguments must outlive the object.
    EntrySync(EventLoop& loop, const QuorumHost& quorum, const TargetRegistry& registry,
        const DataCentreReturns& returns, DirectoryReplicator& replicator);

    void serve(RpcServer& server);

    /// Responds to the pending calls for which there is an update; call it when the document, the stopped data
    /// centres or a target has changed.
    void notify();

    /// Responds to all pending calls; call it when the process stops.
    void respondToAll() { respondToPending(true); }

    std::size_t pendingCallCount() const { return m_pendingCalls.size(); }

private:
    struct PendingCall {
        schema::EntrySyncRequest request;
        RpcReply reply;
        TimePoint deadline;
    };

    void handleCall(const std::string& body, const RpcReply& reply);
    /// @return true if the entry host has just started and this host may lack an evacuation that was acknowledged.
    bool mayLackOrder(const schema::EntrySyncRequest& request) const;
    bool hasUpdate(const schema::EntrySyncRequest& request) const;
    /// @return true if the entry host has the same targets from another control host.
    bool hasSameRegistry(const schema::EntrySyncRequest& request) const;
    void addTargets(schema::EntrySyncAnswer& response, const schema::EntrySyncRequest& request) const;
    void respond(const schema::EntrySyncRequest& request, const RpcReply& reply);
    void respondToPending(bool all);

    EventLoop& m_loop;
    const QuorumHost& m_quorum;
    const TargetRegistry& m_registry;
    const DataCentreReturns& m_returns;
    DirectoryReplicator& m_replicator;
    TimePoint m_startTime;
    std::vector<PendingCall> m_pendingCalls;
    Timer m_updateTimer;
    Timer m_deadlineTimer;
};

}
