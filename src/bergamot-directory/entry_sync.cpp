#include "bergamot-directory/entry_sync.h"

#include "bergamotroute/evacuation.h"

#include <algorithm>
#include <xxhash.h>

namespace bergamotroute {

namespace {

    constexpr const char* syncPath = "/rpc/entry";
    constexpr unsigned statusOk = 200;
    constexpr unsigned statusBadRequest = 400;
    /// Delay that combines updates in quick succession into one response.
    constexpr Duration coalescingDelay { 15 };
    constexpr Duration maxLongPollTime { 5000 };
    constexpr Duration deadlineCheck { 100 };
    /// Time without contact to a quorum after which this host reports itself as isolated, because another control host
    /// may have newer data.
    constexpr Duration isolatedAfter { 1200 };
    constexpr Duration maxHostAge { 5000 };
    /// Maximum number of targets in one answer. A target takes about 70 bytes, so that the answer takes about 0.1 s on
    /// a link of 2 Mbit/s. A registry of thousands of targets in one answer would take longer than the call may.
    constexpr std::size_t maxTargetsPerAnswer = 400;
    /// Maximum time after the start for which entry hosts that have just started wait until this host knows whether an
    /// order in its log is in force; several elections.
    constexpr Duration maxOrderWait { 3000 };

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

EntrySync::EntrySync(EventLoop& loop, const QuorumHost& quorum, const TargetRegistry& registry,
    const DataCentreReturns& returns, DirectoryReplicator& replicator)
    : m_loop(loop)
    , m_quorum(quorum)
    , m_registry(registry)
    , m_returns(returns)
    , m_replicator(replicator)
    , m_startTime(loop.now())
    , m_updateTimer(loop, [this] { respondToPending(false); })
    , m_deadlineTimer(loop, [this] { respondToPending(false); })
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
    m_replicator.recordEntryHost(request.sender());
    if (hasUpdate(request) || request.wait_ms() == 0) {
        respond(request, reply);
        return;
    }
    const TimePoint deadline = m_loop.now() + std::min(maxLongPollTime, Duration(request.wait_ms()));
    m_pendingCalls.push_back({ std::move(request), reply, deadline });
    m_deadlineTimer.start(deadlineCheck);
}

bool EntrySync::mayLackOrder(const schema::EntrySyncRequest& request) const
{
    return request.document_version() == 0 && m_loop.now() - m_startTime < maxOrderWait
        && m_quorum.log().hasUncommittedDataCentreChange();
}

bool EntrySync::hasUpdate(const schema::EntrySyncRequest& request) const
{
    return request.seen_epoch() != m_replicator.epoch() || request.seen_change() < m_registry.lastEvent()
        || request.document_version() < m_quorum.log().configuration().document().version()
        || request.data_centres_revision() < m_quorum.log().configuration().data_centres_revision();
}

bool EntrySync::hasSameRegistry(const schema::EntrySyncRequest& request) const
{
    return request.registry_digest() != 0 && request.registry_digest() == m_registry.digest(m_loop.now());
}

void EntrySync::addTargets(schema::EntrySyncAnswer& response, const schema::EntrySyncRequest& request) const
{
    response.set_epoch(m_replicator.epoch());
    const bool isKnown = request.seen_epoch() == m_replicator.epoch();
    if (!isKnown && hasSameRegistry(request)) {
        response.set_change(m_registry.lastEvent());
        return;
    }
    EventBatch batch = m_registry.nextEvents(isKnown ? request.seen_change() : 0, maxTargetsPerAnswer, m_loop.now());
    response.set_complete(!isKnown);
    response.set_change(batch.lastEvent);
    response.set_more(batch.lastEvent < m_registry.lastEvent());
    for (schema::TargetRecord& record : batch.records)
        *response.add_targets() = std::move(record);
}

void EntrySync::respond(const schema::EntrySyncRequest& request, const RpcReply& reply)
{
    schema::EntrySyncAnswer response;
    addTargets(response, request);
    const schema::Document& document = m_quorum.log().configuration().document();
    // Without a document the entry host is not ready, so it places no flow by an older list.
    const bool lacksOrder = mayLackOrder(request);
    if (document.version() > request.document_version() && !lacksOrder)
        response.set_routing_table(document.routing_table());
    if (auto list = findNewerList(m_quorum.log().configuration(), request.data_centres_revision())) {
        m_returns.addTo(*list, request.data_centres_revision(), m_loop.now());
        *response.mutable_stopped_data_centres() = std::move(*list);
    }
    const auto entryHosts = m_replicator.entryHosts(maxHostAge);
    response.set_entry_hosts_fingerprint(fingerprintOf(entryHosts));
    if (response.entry_hosts_fingerprint() != request.seen_entry_hosts()) {
        for (const schema::EntryHostRecord& host : entryHosts)
            *response.add_entry_hosts() = host;
    }
    for (const schema::ControlHostRecord& host : m_replicator.controlHosts(maxHostAge))
        *response.add_control_hosts() = host;
    response.set_isolated(lacksOrder || !m_quorum.hasRecentQuorum(isolatedAfter) || !m_replicator.isWarmedUp());
    reply.send(statusOk, response.SerializeAsString());
}

void EntrySync::notify()
{
    if (!m_pendingCalls.empty())
        m_updateTimer.start(coalescingDelay);
}

void EntrySync::respondToPending(bool all)
{
    const TimePoint now = m_loop.now();
    std::vector<PendingCall> due;
    std::erase_if(m_pendingCalls, [&](PendingCall& call) {
        if (!all && now < call.deadline && !hasUpdate(call.request))
            return false;
        due.push_back(std::move(call));
        return true;
    });
    for (const PendingCall& call : due)
        respond(call.request, call.reply);
    if (!m_pendingCalls.empty())
        m_deadlineTimer.start(deadlineCheck);
}

}
