#include "bergamot-directory/entry_sync.h"

#include <algorithm>
#include <xxhash.h>

namespace bergamotroute {

namespace {

    constexpr const char* syncPath = "/rpc/entry";
    constexpr unsigned statusOk = 200;
    constexpr unsigned statusBadRequest = 400;
    /// News that come together share an answer.
    constexpr Duration coalescingDelay { 15 };
    constexpr Duration longestWait { 5000 };
    constexpr Duration deadlineCheck { 100 };
    /// Silence of the quorum after which this host says that another one may know more.
    constexpr Duration isolatedAfter { 1200 };
    constexpr Duration hostWithin { 5000 };

    std::uint64_t fingerprintOf(const std::vector<schema::EntryHostRecord>& hosts)
    {
        std::uint64_t sum = 1;
        for (const schema::EntryHostRecord& host : hosts) {
            const std::string text = host.host() + host.peer_endpoint();
            sum += XXH3_64bits(text.data(), text.size());
        }
        return sum;
    }

}

EntrySync::EntrySync(
    EventLoop& loop, const QuorumHost& quorum, const TargetRegistry& registry, DirectoryExchange& exchange)
    : m_loop(loop)
    , m_quorum(quorum)
    , m_registry(registry)
    , m_exchange(exchange)
    , m_newsTimer(loop, [this] { answerWaiting(false); })
    , m_deadlineTimer(loop, [this] { answerWaiting(false); })
{
}

void EntrySync::serve(RpcServer& server)
{
    server.handle(syncPath, [this](const std::string& body, const RpcReply& reply) { handleCall(body, reply); });
}

void EntrySync::handleCall(const std::string& body, const RpcReply& reply)
{
    schema::EntrySyncRequest request;
    if (!request.ParseFromString(body)) {
        reply.send(statusBadRequest, {});
        return;
    }
    m_exchange.noteEntryHost(request.sender());
    if (hasNews(request) || request.wait_ms() == 0) {
        answer(request, reply);
        return;
    }
    const TimePoint deadline = m_loop.now() + std::min(longestWait, Duration(request.wait_ms()));
    m_waiting.push_back({ std::move(request), reply, deadline });
    m_deadlineTimer.start(deadlineCheck);
}

bool EntrySync::hasNews(const schema::EntrySyncRequest& request) const
{
    return request.seen_epoch() != m_exchange.epoch() || request.seen_change() < m_registry.lastEvent()
        || request.document_version() < m_quorum.log().configuration().document().version();
}

void EntrySync::answer(const schema::EntrySyncRequest& request, const RpcReply& reply)
{
    const TimePoint now = m_loop.now();
    const bool isKnown = request.seen_epoch() == m_exchange.epoch();
    schema::EntrySyncAnswer result;
    result.set_epoch(m_exchange.epoch());
    result.set_change(m_registry.lastEvent());
    result.set_complete(!isKnown);
    for (schema::TargetRecord& record : m_registry.eventsSince(isKnown ? request.seen_change() : 0, now))
        *result.add_targets() = std::move(record);
    const schema::Document& document = m_quorum.log().configuration().document();
    if (document.version() > request.document_version())
        result.set_routing_table(document.routing_table());
    const auto entryHosts = m_exchange.entryHosts(hostWithin);
    result.set_entry_hosts_fingerprint(fingerprintOf(entryHosts));
    if (result.entry_hosts_fingerprint() != request.seen_entry_hosts()) {
        for (const schema::EntryHostRecord& host : entryHosts)
            *result.add_entry_hosts() = host;
    }
    for (const schema::ControlHostRecord& host : m_exchange.controlHosts(hostWithin))
        *result.add_control_hosts() = host;
    result.set_isolated(!m_quorum.hasRecentQuorum(isolatedAfter) || !m_exchange.isWarm());
    reply.send(statusOk, result.SerializeAsString());
}

void EntrySync::notify()
{
    if (!m_waiting.empty())
        m_newsTimer.start(coalescingDelay);
}

void EntrySync::answerWaiting(bool all)
{
    const TimePoint now = m_loop.now();
    std::vector<Waiting> due;
    std::erase_if(m_waiting, [&](Waiting& call) {
        if (!all && now < call.deadline && !hasNews(call.request))
            return false;
        due.push_back(std::move(call));
        return true;
    });
    for (const Waiting& call : due)
        answer(call.request, call.reply);
    if (!m_waiting.empty())
        m_deadlineTimer.start(deadlineCheck);
}

}
