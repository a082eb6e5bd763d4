#pragma once

/// @file
/// Answers entry hosts: the document in force, what has changed in the registry, and other hosts. A call without news
/// waits for them.

#include "bergamot-directory/directory_replicator.h"
#include "libbergamotio/quorum_host.h"

namespace bergamotroute {

class EntrySync {
public:
    EntrySync(
        EventLoop& loop, const QuorumHost& quorum, const TargetRegistry& registry, DirectoryReplicator& replicator);

    void serve(RpcServer& server);

    /// Answers the calls that wait, because the document or a target has changed.
    void notify();

    /// Answers all calls that wait, because the process stops.
    void respondToAll() { respondToPending(true); }

    std::size_t pendingCallCount() const { return m_pendingCalls.size(); }

private:
    struct PendingCall {
        schema::EntrySyncRequest request;
        RpcReply reply;
        TimePoint deadline;
    };

    void handleCall(const std::string& body, const RpcReply& reply);
    bool hasUpdate(const schema::EntrySyncRequest& request) const;
    void respond(const schema::EntrySyncRequest& request, const RpcReply& reply);
    void respondToPending(bool all);

    EventLoop& m_loop;
    const QuorumHost& m_quorum;
    const TargetRegistry& m_registry;
    DirectoryReplicator& m_replicator;
    std::vector<PendingCall> m_pendingCalls;
    Timer m_updateTimer;
    Timer m_deadlineTimer;
};

}
