#pragma once

/// @file
/// Answers entry hosts: the document in force, what has changed in the registry, and other hosts. A call without news
/// waits for them.

#include "bergamot-directory/directory_exchange.h"
#include "libbergamotio/quorum_host.h"

namespace bergamotroute {

class EntrySync {
public:
    EntrySync(EventLoop& loop, const QuorumHost& quorum, const TargetRegistry& registry, DirectoryExchange& exchange);

    void serve(RpcServer& server);

    /// Answers the calls that wait, because the document or a target has changed.
    void notify();

    /// Answers all calls that wait, because the process stops.
    void finish() { answerWaiting(true); }

    std::size_t waitingCalls() const { return m_waiting.size(); }

private:
    struct Waiting {
        schema::EntrySyncRequest request;
        RpcReply reply;
        TimePoint deadline;
    };

    void handleCall(const std::string& body, const RpcReply& reply);
    bool hasNews(const schema::EntrySyncRequest& request) const;
    void answer(const schema::EntrySyncRequest& request, const RpcReply& reply);
    void answerWaiting(bool all);

    EventLoop& m_loop;
    const QuorumHost& m_quorum;
    const TargetRegistry& m_registry;
    DirectoryExchange& m_exchange;
    std::vector<Waiting> m_waiting;
    Timer m_newsTimer;
    Timer m_deadlineTimer;
};

}
