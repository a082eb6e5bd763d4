#include "libbergamotio/quorum_host.h"

#include "libbergamotio/log.h"

#include <algorithm>
#include <filesystem>
#include <random>

namespace bergamotroute {

namespace {

    constexpr unsigned statusOk = 200;
    constexpr unsigned statusBadRequest = 400;
    /// Pause before a failed data folder is opened again.
    constexpr Duration recoverPause { 500 };
    /// The heartbeat that confirms a read must have a later time than the read; times have a resolution of 1 ms.
    constexpr Duration readHeartbeatDelay { 2 };
    /// A read without the answers of a majority ends after this time, well inside a caller's second.
    constexpr Duration readTimeout { 700 };

    std::uint64_t randomNumber()
    {
        std::random_device source;
        return (static_cast<std::uint64_t>(source()) << 32) | source();
    }

    std::string describeMembers(const std::vector<schema::ControlMember>& members)
    {
        std::string text;
        for (const schema::ControlMember& member : members) {
            constexpr std::size_t shownDigits = 8;
            text += (text.empty() ? "" : " ") + member.identity().substr(0, shownDigits) + '@' + member.rpc_endpoint()
                + (member.voter() ? "" : " (no vote)");
        }
        return text;
    }

}

QuorumHost::QuorumHost(EventLoop& loop, QuorumHostOptions options)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_links(loop, m_options.rpcEndpoint)
    , m_syncTimer(loop, [this] { syncStorage(); })
    , m_advanceTimer(loop, [this] { advance(); })
    , m_bootstrapTimer(loop, [this] { advanceBootstrap(); })
    , m_recoverTimer(loop, [this] { recover(); })
    , m_readTimer(loop, [this] { finishReads(); })
{
    m_links.identityReplaced().connect([this](const std::string& identity) { handleLostVoter(identity); });
}

std::error_code QuorumHost::open()
{
    const std::error_code error = openUsableStorage(StorageOpening::AtStart);
    if (error && m_options.recovers) {
        m_recoverTimer.start(recoverPause);
        return {};
    }
    return error;
}

std::error_code QuorumHost::openUsableStorage(StorageOpening opening)
{
    const std::error_code error = openStorage(opening);
    if (error != ResultCode::LogDamaged || !m_options.recovers)
        return error;
    discardStorage();
    return openStorage(opening);
}

void QuorumHost::logStorageReport(const StorageReport& report)
{
    if (report.error && report.detail != m_shownStorageFailure)
        writeLog(LogLevel::Error, static_cast<ResultCode>(report.error.value()), report.detail);
    else if (!report.error && report.tornRecordCut)
        writeLog(LogLevel::Warning, ResultCode::LogTornRecordCut, report.detail);
    m_shownStorageFailure = report.error ? report.detail : std::string();
}

std::error_code QuorumHost::openStorage(StorageOpening opening)
{
    StoredLog stored;
    // The folder's lock belongs to the former object.
    m_storage.reset();
    m_storage = std::make_unique<LogStorage>();
    const StorageReport report = m_storage->open(m_options.dataFolder, stored, opening);
    logStorageReport(report);
    if (report.error && m_log)
        return report.error;
    QuorumOptions options = m_options.quorum;
    // A member whose folder cannot be opened runs without an identity that others know, and takes no part.
    m_identity = report.error ? makeIdentity() : stored.hardState.identity();
    m_hasStoredIdentity = !report.error;
    options.identity = m_identity;
    options.seed = randomNumber();
    if (report.error)
        stored = {};
    m_identityRetired = false;
    // The requests of the new log are numbered anew.
    m_lastPersist = 0;
    m_log = std::make_unique<QuorumLog>(std::move(options), std::move(stored), *this, m_loop.now());
    return report.error;
}

void QuorumHost::discardStorage()
{
    writeLog(LogLevel::Warning, ResultCode::IdentityRetired, "discards the data folder and joins under a new identity",
        { { "identity", m_identity } });
    m_storage.reset();
    std::error_code error;
    for (const auto& entry : std::filesystem::directory_iterator(m_options.dataFolder, error))
        std::filesystem::remove(entry.path(), error);
    if (error)
        writeLog(LogLevel::Error, ResultCode::StorageFailed, error.message());
}

void QuorumHost::recover()
{
    if (m_identityRetired)
        discardStorage();
    if (const std::error_code error = openUsableStorage(StorageOpening::AfterFailure)) {
        const bool needsOperator = error == ResultCode::LogDamaged && !m_options.recovers;
        if (!needsOperator)
            m_recoverTimer.start(recoverPause);
        return;
    }
    writeLog(LogLevel::Info, ResultCode::StorageRecovered, "data folder opened", { { "identity", m_identity } });
    m_revisionChanged = true;
    if (!m_log->isInitialized())
        startBootstrap();
    afterEvent();
}

void QuorumHost::serve(RpcServer& server)
{
    server.handle("/rpc/control", [this](const std::string& body, const RpcReply& reply) { handleCall(body, reply); });
    if (!m_log->isInitialized())
        startBootstrap();
    afterEvent();
}

void QuorumHost::startBootstrap()
{
    if (m_options.initialMembers.empty())
        return;
    BootstrapOptions options;
    options.identity = m_identity;
    options.host = m_options.bootstrapName;
    options.seed = randomNumber();
    options.members = m_options.initialMembers;
    m_bootstrap.emplace(std::move(options));
    m_bootstrapTimer.startAt(m_bootstrap->nextDeadline());
}

void QuorumHost::advanceBootstrap()
{
    if (m_log->isInitialized())
        return;
    for (const std::string& endpoint : m_bootstrap->advance(m_loop.now())) {
        m_links.askIdentity(endpoint, [this, endpoint](const schema::IdentityAnswer& identityAnswer) {
            handleIdentity(endpoint, identityAnswer);
        });
    }
    m_bootstrapTimer.startAt(m_bootstrap->nextDeadline());
}

void QuorumHost::handleIdentity(const std::string& endpoint, const schema::IdentityAnswer& identityAnswer)
{
    const bool wasRefused = m_bootstrap->foundExistingLog();
    if (const auto snapshot = m_bootstrap->handleAnswer(endpoint, identityAnswer)) {
        writeLog(LogLevel::Info, ResultCode::Ok, "forms the first quorum");
        m_log->bootstrap(*snapshot, m_loop.now());
        afterEvent();
    }
    if (m_bootstrap->foundExistingLog() && !wasRefused)
        writeLog(LogLevel::Warning, ResultCode::MemberUnknown,
            "an initial member has a log already; this host must be added as a new member (docs/CONTROL_HOSTS.md)",
            { { "identity", m_identity } });
}

std::string QuorumHost::makeIdentityAnswer() const
{
    schema::ControlMessage message;
    schema::IdentityAnswer& identityAnswer = *message.mutable_identity_answer();
    identityAnswer.set_identity(m_identity);
    identityAnswer.set_host(m_options.bootstrapName);
    identityAnswer.set_formed(m_log->isInitialized());
    return message.SerializeAsString();
}

void QuorumHost::handleLostVoter(const std::string& identity)
{
    m_log->handleLostVoter(identity, m_loop.now());
    afterEvent();
}

void QuorumHost::handleCall(const std::string& body, const RpcReply& reply)
{
    schema::ControlMessage message;
    if (!message.ParseFromString(body)) {
        reply.send(statusBadRequest, {});
        return;
    }
    if (message.has_identity_request()) {
        reply.send(statusOk, makeIdentityAnswer());
        return;
    }
    m_links.learn(message.from(), message.reply_endpoint());
    m_log->handleMessage(message, m_loop.now());
    // An identity that is not stored ends with the process, and the one in the data folder may return.
    const bool isForFormerIdentity = m_hasStoredIdentity && message.to() != m_identity;
    reply.send(statusOk, isForFormerIdentity ? makeIdentityAnswer() : std::string());
    afterEvent();
}

void QuorumHost::submit(const schema::Command& command, AnswerHandler handler)
{
    const std::uint64_t token = m_nextToken++;
    m_answers.emplace(token, std::move(handler));
    m_log->handleCommand(token, command, m_loop.now(), m_loop.wallMilliseconds());
    afterEvent();
}

void QuorumHost::answer(std::uint64_t token, const schema::CommandResult& result)
{
    const auto found = m_answers.find(token);
    if (found == m_answers.end())
        return;
    const AnswerHandler handler = std::move(found->second);
    m_answers.erase(found);
    handler(result);
}

void QuorumHost::confirmRead(std::function<void(bool)> handler)
{
    if (m_log->role() != QuorumRole::Leader) {
        handler(false);
        return;
    }
    const TimePoint now = m_loop.now();
    m_reads.push_back({ now, now + readTimeout, std::move(handler) });
    m_readTimer.start(readHeartbeatDelay);
}

void QuorumHost::finishReads()
{
    const TimePoint now = m_loop.now();
    const bool needsHeartbeat = std::any_of(m_reads.begin(), m_reads.end(),
        [this](const PendingRead& read) { return !m_log->isLeadershipConfirmedAfter(read.arrived); });
    if (needsHeartbeat)
        m_log->sendHeartbeat(now);
    std::vector<PendingRead> open;
    std::vector<std::pair<std::function<void(bool)>, bool>> done;
    for (PendingRead& read : m_reads) {
        const bool confirmed = m_log->isLeadershipConfirmedAfter(read.arrived);
        const bool failed = m_log->role() != QuorumRole::Leader || now >= read.deadline;
        if (confirmed || failed)
            done.emplace_back(std::move(read.handler), confirmed);
        else
            open.push_back(std::move(read));
    }
    m_reads = std::move(open);
    if (!m_reads.empty()) {
        constexpr Duration repeat { 100 };
        m_readTimer.start(repeat);
    }
    for (const auto& [handler, confirmed] : done)
        handler(confirmed);
}

bool QuorumHost::hasRecentQuorum(Duration within) const { return m_log->hasQuorumContact(within, m_loop.now()); }

bool QuorumHost::isVoter() const
{
    const std::vector<schema::ControlMember>& members = m_log->members();
    return std::any_of(members.begin(), members.end(),
        [this](const schema::ControlMember& member) { return member.voter() && member.identity() == m_identity; });
}

void QuorumHost::advance()
{
    m_log->advance(m_loop.now());
    afterEvent();
}

void QuorumHost::afterEvent()
{
    for (const schema::ControlMember& member : m_log->members())
        m_links.learn(member.identity(), member.rpc_endpoint());
    m_advanceTimer.startAt(m_log->nextDeadline());
    if (!m_reads.empty() && m_log->isLeadershipConfirmedAfter(m_reads.front().arrived))
        m_readTimer.start(Duration(0));
    if (m_log->leader() != m_shownLeader) {
        m_shownLeader = m_log->leader();
        writeLog(LogLevel::Info, ResultCode::LeaderElected, m_shownLeader.empty() ? "no leader" : "leader",
            { { "leader", m_shownLeader }, { "self", m_identity }, { "term", std::to_string(m_log->term()) } });
    }
    if (std::string members = describeMembers(m_log->members()); members != m_shownMembers) {
        m_shownMembers = std::move(members);
        writeLog(LogLevel::Info, ResultCode::MemberChanged, "members in force", { { "members", m_shownMembers } });
    }
    if (std::exchange(m_revisionChanged, false))
        m_configurationAccepted.emit();
    m_eventHandled.emit();
}

void QuorumHost::persist(const PersistRequest& request)
{
    m_storage->add(request);
    m_lastPersist = request.id;
    // The sync runs after the other events of this turn of the loop, so that they share it.
    m_syncTimer.start(Duration(0));
}

void QuorumHost::syncStorage()
{
    const std::uint64_t last = m_lastPersist;
    const std::error_code error = m_storage->sync();
    m_log->handlePersisted(last, !error, m_loop.now());
    if (error)
        m_recoverTimer.start(recoverPause);
    afterEvent();
}

void QuorumHost::send(const schema::ControlMessage& message) { m_links.send(message); }

void QuorumHost::configurationChanged(const schema::Configuration&) { m_revisionChanged = true; }

void QuorumHost::logEvent(ResultCode code, std::string_view detail)
{
    const bool isFailure = code == ResultCode::StorageFailed || code == ResultCode::IdentityRetired;
    writeLog(isFailure ? LogLevel::Error : LogLevel::Info, code, detail);
    if (code == ResultCode::IdentityRetired && m_options.recovers) {
        m_identityRetired = true;
        m_recoverTimer.start(recoverPause);
    }
}

}
