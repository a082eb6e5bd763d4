#include "bergamot-directory/directory_exchange.h"

#include "libbergamotio/log.h"

#include <algorithm>
#include <random>

namespace bergamotroute {

namespace {

    constexpr const char* exchangePath = "/rpc/directory";
    constexpr unsigned statusOk = 200;
    constexpr unsigned statusBadRequest = 400;
    /// Time between rounds without events; several fit into the time after which a target counts as silent.
    constexpr Duration roundInterval { 500 };
    /// Changes that come together share a message.
    constexpr Duration coalescingDelay { 5 };
    constexpr Duration callDeadline { 700 };
    constexpr Duration longestBackoff { 100 };
    /// A control host that has not answered for this time is not waited for.
    constexpr Duration runningWithin { 1300 };
    /// Hosts that were not heard for this time are forgotten.
    constexpr Duration forgetAfter { 60'000 };
    /// A host that finds no other control host serves alone after this time.
    constexpr Duration warmUp { 2500 };
    /// Rounds between lists of entry hosts, which change seldom.
    constexpr std::uint64_t roundsPerHostList = 4;
    constexpr Duration entryHostWithin { 6000 };

    std::uint64_t randomEpoch()
    {
        std::random_device source;
        return (static_cast<std::uint64_t>(source()) << 32 | source()) | 1;
    }

    RpcClientOptions makeOptions()
    {
        RpcClientOptions options;
        options.backoffMax = longestBackoff;
        options.failsFast = true;
        return options;
    }

}

DirectoryExchange::DirectoryExchange(EventLoop& loop, TargetRegistry& registry, schema::ControlHostRecord self)
    : m_loop(loop)
    , m_registry(registry)
    , m_self(std::move(self))
    , m_epoch(randomEpoch())
    , m_started(loop.now())
    , m_clients(loop, makeOptions())
    , m_roundTimer(loop, [this] { round(); })
    , m_waiterTimer(loop, [this] { finishWaiters(); })
{
}

void DirectoryExchange::serve(RpcServer& server)
{
    server.handle(exchangePath, [this](const std::string& body, const RpcReply& reply) { handleCall(body, reply); });
    m_roundTimer.start(Duration(0));
}

DirectoryExchange::Peer* DirectoryExchange::peerAt(const std::string& endpoint)
{
    if (endpoint == m_self.rpc_endpoint())
        return nullptr;
    const auto known = m_peers.find(endpoint);
    if (known != m_peers.end())
        return &known->second;
    RpcClient* client = m_clients.clientFor(endpoint);
    if (!client)
        return nullptr;
    Peer& added = m_peers[endpoint];
    added.client = client;
    return &added;
}

void DirectoryExchange::addSeed(const std::string& endpoint) { peerAt(endpoint); }

void DirectoryExchange::sendSoon()
{
    if (m_soon)
        return;
    m_soon = true;
    m_roundTimer.start(coalescingDelay);
}

void DirectoryExchange::round()
{
    const TimePoint now = m_loop.now();
    if (!m_soon)
        ++m_rounds;
    m_soon = false;
    m_controlHosts.expire(forgetAfter, now);
    m_entryHosts.expire(forgetAfter, now);
    for (auto& [endpoint, peer] : m_peers) {
        if (!peer.callOpen)
            callPeer(endpoint, peer);
    }
    finishWaiters();
    m_roundTimer.start(roundInterval);
}

schema::DirectoryExchange DirectoryExchange::makeMessage(const Peer& peer)
{
    const TimePoint now = m_loop.now();
    schema::DirectoryExchange message;
    *message.mutable_sender() = m_self;
    message.set_sender_epoch(m_epoch);
    message.set_sender_change(m_registry.lastChange());
    message.set_seen_epoch(peer.seenEpoch);
    message.set_seen_change(peer.seenChange);
    for (schema::TargetRecord& record : m_registry.changesSince(peer.acknowledged, now))
        *message.add_targets() = std::move(record);
    for (schema::ControlHostRecord& record : m_controlHosts.records(forgetAfter, now))
        *message.add_control_hosts() = std::move(record);
    if (m_rounds % roundsPerHostList == 0 || peer.seenEpoch == 0) {
        for (schema::EntryHostRecord& record : m_entryHosts.records(entryHostWithin, now))
            *message.add_entry_hosts() = std::move(record);
    }
    return message;
}

void DirectoryExchange::callPeer(const std::string& endpoint, Peer& peer)
{
    peer.callOpen = true;
    peer.client->call(
        exchangePath, makeMessage(peer).SerializeAsString(), callDeadline, [this, endpoint](const RpcResult& result) {
            Peer& called = m_peers.at(endpoint);
            called.callOpen = false;
            schema::DirectoryExchange answer;
            if (!result.succeeded() || !answer.ParseFromString(result.body)) {
                ++m_failedCalls;
                return;
            }
            if (!called.answered || m_loop.now() - called.lastAnswer >= runningWithin)
                writeLog(LogLevel::Info, ResultCode::ControlHostFound, "control host answers",
                    { { "peer", answer.sender().host() }, { "endpoint", endpoint } });
            called.answered = true;
            called.lastAnswer = m_loop.now();
            take(answer, called);
            finishWaiters();
            if (called.acknowledged < m_registry.lastChange() && !m_waiters.empty())
                sendSoon();
        });
}

void DirectoryExchange::take(const schema::DirectoryExchange& message, Peer& peer)
{
    const TimePoint now = m_loop.now();
    // Another epoch means that the peer has started anew and knows nothing of what this host sent before.
    peer.acknowledged = message.seen_epoch() == m_epoch ? message.seen_change() : 0;
    for (const schema::TargetRecord& record : message.targets())
        m_registry.merge(record, false, now);
    peer.seenEpoch = message.sender_epoch();
    peer.seenChange = message.sender_change();
    m_hasFullRegistry = m_hasFullRegistry || message.sender_change() > 0;
    m_controlHosts.merge(message.sender().identity(), message.sender(), now);
    for (const schema::ControlHostRecord& record : message.control_hosts()) {
        if (m_controlHosts.merge(record.identity(), record, now))
            peerAt(record.rpc_endpoint());
    }
    for (const schema::EntryHostRecord& record : message.entry_hosts())
        m_entryHosts.merge(record.host(), record, now);
}

void DirectoryExchange::handleCall(const std::string& body, const RpcReply& reply)
{
    schema::DirectoryExchange message;
    Peer* peer = message.ParseFromString(body) ? peerAt(message.sender().rpc_endpoint()) : nullptr;
    if (!peer) {
        reply.send(statusBadRequest, {});
        return;
    }
    take(message, *peer);
    reply.send(statusOk, makeMessage(*peer).SerializeAsString());
}

bool DirectoryExchange::isRunning(const Peer& peer, TimePoint now) const
{
    return peer.answered && now - peer.lastAnswer < runningWithin;
}

void DirectoryExchange::whenSpread(Duration limit, std::function<void()> handler)
{
    m_waiters.push_back({ m_registry.lastChange(), m_loop.now() + limit, std::move(handler) });
    m_waiterTimer.start(limit);
    sendSoon();
}

void DirectoryExchange::finishWaiters()
{
    const TimePoint now = m_loop.now();
    std::vector<std::function<void()>> done;
    std::erase_if(m_waiters, [&](Waiter& waiter) {
        const bool isSpread = std::all_of(m_peers.begin(), m_peers.end(), [&](const auto& item) {
            return !isRunning(item.second, now) || item.second.acknowledged >= waiter.change;
        });
        if (!isSpread && now < waiter.deadline)
            return false;
        done.push_back(std::move(waiter.handler));
        return true;
    });
    for (const std::function<void()>& handler : done)
        handler();
}

void DirectoryExchange::noteEntryHost(const schema::EntryHostRecord& record)
{
    m_entryHosts.merge(record.host(), record, m_loop.now());
}

std::vector<schema::ControlHostRecord> DirectoryExchange::controlHosts(Duration within) const
{
    std::vector<schema::ControlHostRecord> records = m_controlHosts.records(within, m_loop.now());
    std::erase_if(records,
        [this](const schema::ControlHostRecord& record) { return record.rpc_endpoint() == m_self.rpc_endpoint(); });
    records.push_back(m_self);
    return records;
}

std::vector<schema::EntryHostRecord> DirectoryExchange::entryHosts(Duration within) const
{
    return m_entryHosts.records(within, m_loop.now());
}

const schema::ControlHostRecord* DirectoryExchange::findControlHost(const std::string& identity) const
{
    return identity == m_self.identity() ? &m_self : m_controlHosts.find(identity);
}

bool DirectoryExchange::isWarm() const { return m_hasFullRegistry || m_loop.now() - m_started >= warmUp; }

}
