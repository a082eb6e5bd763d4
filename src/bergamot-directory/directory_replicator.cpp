#include "bergamot-directory/directory_replicator.h"

#include "libbergamotio/log.h"

#include <algorithm>
#include <random>

namespace bergamotroute {

namespace {

    constexpr const char* exchangePath = "/rpc/directory";
    constexpr unsigned statusOk = 200;
    constexpr unsigned statusBadRequest = 400;
    /// Interval of periodic rounds when there are no events; several fit into the time after which a target is silent.
    constexpr Duration roundInterval { 500 };
    /// Delay that combines changes in quick succession into one message.
    constexpr Duration coalescingDelay { 5 };
    constexpr Duration callTimeout { 700 };
    constexpr Duration maxBackoff { 100 };
    /// A control host that has not responded for this time is not waited for.
    constexpr Duration peerTimeout { 1300 };
    /// Hosts that were not seen for this time are removed.
    constexpr Duration hostExpiry { 60'000 };
    /// A host that finds no other control host starts to serve alone after this time.
    constexpr Duration warmUpTimeout { 2500 };
    /// The list of entry hosts is sent only every this many rounds, because it rarely changes.
    constexpr std::uint64_t roundsPerHostList = 4;
    constexpr Duration maxEntryHostAge { 6000 };

    std::uint64_t randomEpoch()
    {
        std::random_device source;
        return (static_cast<std::uint64_t>(source()) << 32 | source()) | 1;
    }

    RpcClientOptions makeOptions()
    {
        RpcClientOptions options;
        options.backoffMax = maxBackoff;
        options.failsFast = true;
        return options;
    }

}

DirectoryReplicator::DirectoryReplicator(EventLoop& loop, TargetRegistry& registry, schema::ControlHostRecord self)
    : m_loop(loop)
    , m_registry(registry)
    , m_self(std::move(self))
    , m_epoch(randomEpoch())
    , m_startTime(loop.now())
    , m_clients(loop, makeOptions())
    , m_roundTimer(loop, [this] { round(); })
    , m_waiterTimer(loop, [this] { finishWaiters(); })
{
}

void DirectoryReplicator::serve(RpcServer& server)
{
    server.handle(exchangePath, [this](const std::string& body, const RpcReply& reply) { handleCall(body, reply); });
    m_roundTimer.start(Duration(0));
}

DirectoryReplicator::Peer* DirectoryReplicator::findOrAddPeer(const std::string& endpoint)
{
    if (endpoint == m_self.rpc_endpoint())
        return nullptr;
    const auto known = m_peers.find(endpoint);
    if (known != m_peers.end())
        return &known->second;
    RpcClient* client = m_clients.clientFor(endpoint);
    if (!client)
        return nullptr;
    Peer peer { .client = client, .digest = HeartbeatDigest(m_registry, m_epoch, m_digestCounters) };
    return &m_peers.emplace(endpoint, std::move(peer)).first->second;
}

void DirectoryReplicator::addSeed(const std::string& endpoint) { findOrAddPeer(endpoint); }

void DirectoryReplicator::announceStop()
{
    m_self.set_stopping(true);
    requestRound();
}

void DirectoryReplicator::requestRound()
{
    if (m_roundRequested)
        return;
    m_roundRequested = true;
    m_roundTimer.start(coalescingDelay);
}

void DirectoryReplicator::round()
{
    const TimePoint now = m_loop.now();
    if (!m_roundRequested)
        ++m_roundCount;
    m_roundRequested = false;
    m_controlHosts.expire(hostExpiry, now);
    m_entryHosts.expire(hostExpiry, now);
    for (auto& [endpoint, peer] : m_peers) {
        if (!peer.callPending)
            callPeer(endpoint, peer);
    }
    finishWaiters();
    m_roundTimer.start(roundInterval);
}

schema::DirectoryExchange DirectoryReplicator::makeMessage(Peer& peer)
{
    const TimePoint now = m_loop.now();
    schema::DirectoryExchange message;
    *message.mutable_sender() = m_self;
    peer.digest.fill(message, now);
    for (schema::ControlHostRecord& record : m_controlHosts.records(hostExpiry, now))
        *message.add_control_hosts() = std::move(record);
    if (m_roundCount % roundsPerHostList == 0 || !peer.digest.hasHeardPeer()) {
        for (schema::EntryHostRecord& record : m_entryHosts.records(maxEntryHostAge, now))
            *message.add_entry_hosts() = std::move(record);
    }
    return message;
}

void DirectoryReplicator::callPeer(const std::string& endpoint, Peer& peer)
{
    peer.callPending = true;
    peer.client->call(
        exchangePath, makeMessage(peer).SerializeAsString(), callTimeout, [this, endpoint](const RpcResult& result) {
            Peer& called = m_peers.at(endpoint);
            called.callPending = false;
            schema::DirectoryExchange response;
            if (!result.succeeded()) {
                ++m_failedCalls;
                return;
            }
            if (!response.ParseFromString(result.body)) {
                reportUnreadable(endpoint, result.body.size());
                return;
            }
            if (!called.hasResponded || m_loop.now() - called.lastResponse >= peerTimeout)
                writeLog(LogLevel::Info, ResultCode::ControlHostFound, "control host responds",
                    { { "peer", response.sender().host() }, { "endpoint", endpoint } });
            called.hasResponded = true;
            called.lastResponse = m_loop.now();
            applyMessage(response, called);
            finishWaiters();
            if (called.digest.acknowledgedChange() < m_registry.lastChange() && !m_waiters.empty())
                requestRound();
        });
}

void DirectoryReplicator::applyMessage(const schema::DirectoryExchange& message, Peer& peer)
{
    const TimePoint now = m_loop.now();
    peer.digest.apply(message, now);
    m_hasFullRegistry = m_hasFullRegistry || peer.digest.seenChange() > 0;
    m_controlHosts.merge(message.sender().identity(), message.sender(), now);
    for (const schema::ControlHostRecord& record : message.control_hosts()) {
        if (m_controlHosts.merge(record.identity(), record, now))
            findOrAddPeer(record.rpc_endpoint());
    }
    for (const schema::EntryHostRecord& record : message.entry_hosts())
        m_entryHosts.merge(record.host(), record, now);
    if (message.sender().stopping() && m_hostStopping)
        m_hostStopping();
}

void DirectoryReplicator::reportUnreadable(const std::string& sender, std::size_t bytes)
{
    ++m_unreadableMessages;
    writeLog(LogLevel::Warning, ResultCode::PeerMessageMalformed, "cannot parse a message of a control host",
        { { "peer", sender }, { "bytes", std::to_string(bytes) } });
}

void DirectoryReplicator::handleCall(const std::string& body, const RpcReply& reply)
{
    schema::DirectoryExchange message;
    const bool isReadable = message.ParseFromString(body);
    if (!isReadable)
        reportUnreadable({}, body.size());
    Peer* peer = isReadable ? findOrAddPeer(message.sender().rpc_endpoint()) : nullptr;
    if (!peer) {
        reply.send(statusBadRequest, {});
        return;
    }
    applyMessage(message, *peer);
    reply.send(statusOk, makeMessage(*peer).SerializeAsString());
}

bool DirectoryReplicator::isResponsive(const Peer& peer, TimePoint now) const
{
    return peer.hasResponded && now - peer.lastResponse < peerTimeout;
}

void DirectoryReplicator::whenReplicated(Duration timeout, std::function<void()> handler)
{
    m_waiters.push_back({ m_registry.lastChange(), m_loop.now() + timeout, std::move(handler) });
    m_waiterTimer.start(timeout);
    requestRound();
}

void DirectoryReplicator::finishWaiters()
{
    const TimePoint now = m_loop.now();
    std::vector<std::function<void()>> done;
    std::erase_if(m_waiters, [&](Waiter& waiter) {
        const bool isReplicated = std::all_of(m_peers.begin(), m_peers.end(), [&](const auto& item) {
            return !isResponsive(item.second, now) || item.second.digest.acknowledgedChange() >= waiter.change;
        });
        if (!isReplicated && now < waiter.deadline)
            return false;
        done.push_back(std::move(waiter.handler));
        return true;
    });
    for (const std::function<void()>& handler : done)
        handler();
}

void DirectoryReplicator::recordEntryHost(const schema::EntryHostRecord& record)
{
    m_entryHosts.merge(record.host(), record, m_loop.now());
}

std::vector<schema::ControlHostRecord> DirectoryReplicator::controlHosts(Duration maxAge) const
{
    std::vector<schema::ControlHostRecord> records = m_controlHosts.records(maxAge, m_loop.now());
    std::erase_if(records,
        [this](const schema::ControlHostRecord& record) { return record.rpc_endpoint() == m_self.rpc_endpoint(); });
    records.push_back(m_self);
    return records;
}

std::vector<schema::EntryHostRecord> DirectoryReplicator::entryHosts(Duration maxAge) const
{
    return m_entryHosts.records(maxAge, m_loop.now());
}

const schema::ControlHostRecord* DirectoryReplicator::findControlHost(const std::string& identity) const
{
    return identity == m_self.identity() ? &m_self : m_controlHosts.find(identity);
}

bool DirectoryReplicator::hearsAllControlHosts() const
{
    const TimePoint now = m_loop.now();
    const std::vector<schema::ControlHostRecord> records = m_controlHosts.records(hostExpiry, now);
    return std::all_of(records.begin(), records.end(), [this, now](const schema::ControlHostRecord& record) {
        if (record.stopping() || record.rpc_endpoint() == m_self.rpc_endpoint())
            return true;
        const auto peer = m_peers.find(record.rpc_endpoint());
        return peer != m_peers.end() && isResponsive(peer->second, now);
    });
}

bool DirectoryReplicator::isWarmedUp() const
{
    return m_hasFullRegistry || m_loop.now() - m_startTime >= warmUpTimeout;
}

}
