#include "control_daemon.h"

#include "libbergamotio/json_schema.h"
#include "libbergamotio/log.h"

#include <random>

namespace bergamotroute {

namespace {

    /// Longest time for which a graceful stop waits for answers to pending commands.
    constexpr Duration stopGrace { 3500 };
    constexpr Duration longestConfigurationWait { 20'000 };
    constexpr unsigned statusOk = 200;
    constexpr unsigned statusBadRequest = 400;

    std::uint64_t randomNumber()
    {
        std::random_device source;
        return (static_cast<std::uint64_t>(source()) << 32) | source();
    }

    QuorumOptions makeOptions(const schema::ControlHostSettings& settings, const std::string& identity)
    {
        QuorumOptions options;
        options.identity = identity;
        options.host = settings.host();
        options.dataCentre = settings.data_centre();
        options.heartbeatInterval = Duration(settings.heartbeat_ms());
        options.electionTimeout = Duration(settings.election_timeout_ms());
        options.snapshotEntries = settings.snapshot_entries();
        options.memory.count = settings.remembered_requests();
        options.memory.ageMs = std::uint64_t { settings.remembered_seconds() } * 1000;
        options.seed = randomNumber();
        return options;
    }

}

ControlDaemon::ControlDaemon(EventLoop& loop, schema::ControlHostSettings settings)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_links(loop, m_settings.rpc_listen())
    , m_rpc(loop)
    , m_http(loop)
    , m_watchers(loop)
    , m_syncTimer(loop, [this] { syncStorage(); })
    , m_advanceTimer(loop, [this] { advance(); })
    , m_bootstrapTimer(loop, [this] { advanceBootstrap(); })
    , m_stopTimer(loop, [this] { m_loop.stop(); })
{
}

std::error_code ControlDaemon::start()
{
    if (const std::error_code error = openStorage())
        return error;
    if (const std::error_code error = openListeners())
        return error;
    startBootstrap();
    afterEvent();
    writeLog(LogLevel::Info, ResultCode::Ok, "started",
        { { "identity", m_identity }, { "rpc", m_settings.rpc_listen() },
            { "operators", m_settings.operators().listen() } });
    return {};
}

std::error_code ControlDaemon::openStorage()
{
    StoredLog stored;
    const StorageReport report = m_storage.open(m_settings.data_folder(), stored);
    if (report.error) {
        writeLog(LogLevel::Error, static_cast<ResultCode>(report.error.value()), report.detail);
        return report.error;
    }
    if (report.tornRecordCut)
        writeLog(LogLevel::Warning, ResultCode::LogTornRecordCut, report.detail);
    m_identity = stored.hardState.identity();
    m_log = std::make_unique<QuorumLog>(makeOptions(m_settings, m_identity), std::move(stored), *this, m_loop.now());
    return {};
}

std::error_code ControlDaemon::openListeners()
{
    std::error_code error;
    const Endpoint rpcEndpoint = Endpoint::parse(m_settings.rpc_listen(), error);
    if (error || (error = m_rpc.listen(rpcEndpoint))) {
        writeLog(LogLevel::Error, ResultCode::AddressUnavailable, "cannot listen on " + m_settings.rpc_listen());
        return error;
    }
    m_rpc.handle(
        "/rpc/control", [this](const std::string& body, const RpcReply& reply) { handleControlCall(body, reply); });
    m_rpc.handle("/rpc/configuration",
        [this](const std::string& body, const RpcReply& reply) { handleConfigurationCall(body, reply); });
    const std::string& tokenFile = m_settings.operators().token_file();
    if (!tokenFile.empty())
        m_http.setToken(readToken(tokenFile, error));
    if (error) {
        writeLog(LogLevel::Error, ResultCode::SettingsUnreadable, "cannot read the token file " + tokenFile);
        return error;
    }
    setRoutes();
    const Endpoint operators = Endpoint::parse(m_settings.operators().listen(), error);
    if (error || (error = m_http.listen(operators)))
        writeLog(
            LogLevel::Error, ResultCode::AddressUnavailable, "cannot listen on " + m_settings.operators().listen());
    return error;
}

void ControlDaemon::startBootstrap()
{
    if (m_log->isFormed() || m_settings.join())
        return;
    BootstrapOptions options;
    options.identity = m_identity;
    options.host = m_settings.host();
    options.seed = randomNumber();
    for (const schema::ControlPeerSettings& member : m_settings.initial_members())
        options.members.push_back({ member.host(), member.rpc_endpoint() });
    m_bootstrap.emplace(std::move(options));
    m_bootstrapTimer.startAt(m_bootstrap->nextDeadline());
}

void ControlDaemon::advanceBootstrap()
{
    if (m_log->isFormed())
        return;
    for (const std::string& endpoint : m_bootstrap->advance(m_loop.now())) {
        m_links.askIdentity(endpoint, [this, endpoint](const schema::IdentityAnswer& identityAnswer) {
            if (const auto snapshot = m_bootstrap->handleAnswer(endpoint, identityAnswer)) {
                writeLog(LogLevel::Info, ResultCode::Ok, "forms the first quorum");
                m_log->form(*snapshot, m_loop.now());
                afterEvent();
            }
            if (m_bootstrap->isRefused())
                writeLog(LogLevel::Warning, ResultCode::MemberUnknown,
                    "an initial member has a log already; add this host as a new member (docs/CONTROL_HOSTS.md)",
                    { { "identity", m_identity } });
        });
    }
    m_bootstrapTimer.startAt(m_bootstrap->nextDeadline());
}

void ControlDaemon::advance()
{
    m_log->advance(m_loop.now());
    afterEvent();
}

void ControlDaemon::afterEvent()
{
    for (const schema::ControlMember& member : m_log->members())
        m_links.learn(member.identity(), member.rpc_endpoint());
    m_advanceTimer.startAt(m_log->nextDeadline());
    if (std::exchange(m_revisionChanged, false))
        m_watchers.revisionAccepted(m_log->configuration().revision());
    if (m_stopping && m_commands.empty())
        m_loop.stop();
}

void ControlDaemon::persist(const PersistRequest& request)
{
    m_storage.add(request);
    m_lastPersist = request.id;
    // The sync runs after the other events of this turn of the loop, so that they share it.
    m_syncTimer.start(Duration(0));
}

void ControlDaemon::syncStorage()
{
    const std::uint64_t last = m_lastPersist;
    const std::error_code error = m_storage.sync();
    m_log->handlePersisted(last, !error, m_loop.now());
    afterEvent();
}

void ControlDaemon::send(const schema::ControlMessage& message) { m_links.send(message); }

void ControlDaemon::configurationChanged(const schema::Configuration&) { m_revisionChanged = true; }

void ControlDaemon::logEvent(ResultCode code, std::string_view detail)
{
    const bool isFailure = code == ResultCode::StorageFailed || code == ResultCode::IdentityRetired;
    writeLog(isFailure ? LogLevel::Error : LogLevel::Info, code, detail);
}

void ControlDaemon::handleControlCall(const std::string& body, const RpcReply& reply)
{
    schema::ControlMessage message;
    if (!message.ParseFromString(body)) {
        reply.send(statusBadRequest, {});
        return;
    }
    if (message.has_identity_request()) {
        schema::ControlMessage identityMessage;
        identityMessage.mutable_identity_answer()->set_identity(m_identity);
        identityMessage.mutable_identity_answer()->set_host(m_settings.host());
        identityMessage.mutable_identity_answer()->set_formed(m_log->isFormed());
        reply.send(statusOk, identityMessage.SerializeAsString());
        return;
    }
    m_links.learn(message.from(), message.reply_endpoint());
    m_log->handleMessage(message, m_loop.now());
    reply.send(statusOk, {});
    afterEvent();
}

void ControlDaemon::handleConfigurationCall(const std::string& body, const RpcReply& reply)
{
    schema::ConfigurationRequest request;
    if (!request.ParseFromString(body)) {
        reply.send(statusBadRequest, {});
        return;
    }
    const std::uint64_t have = request.have_revision();
    if (m_log->configuration().revision() > have || request.wait_ms() == 0) {
        sendConfiguration(reply, have);
        return;
    }
    const Duration wait = std::min(Duration(request.wait_ms()), longestConfigurationWait);
    m_watchers.add(have, wait, [this, reply, have] { sendConfiguration(reply, have); });
}

void ControlDaemon::sendConfiguration(const RpcReply& reply, std::uint64_t haveRevision)
{
    const schema::Configuration& configuration = m_log->configuration();
    schema::ConfigurationAnswer result;
    result.set_revision(configuration.revision());
    result.set_committed(true);
    if (configuration.revision() > haveRevision && haveRevision > 0 && m_log->hasHistorySince(haveRevision)) {
        for (schema::LogEntry& entry : m_log->history(haveRevision))
            *result.add_entries() = std::move(entry);
    } else if (configuration.revision() > haveRevision) {
        *result.mutable_configuration() = configuration;
    }
    reply.send(statusOk, result.SerializeAsString());
}

void ControlDaemon::stop()
{
    if (m_stopping) {
        m_loop.stop();
        return;
    }
    m_stopping = true;
    writeLog(LogLevel::Info, ResultCode::Ok, "stops", { { "pending", std::to_string(m_commands.size()) } });
    m_watchers.fireAll();
    m_stopTimer.start(stopGrace);
    afterEvent();
}

void ControlDaemon::logState()
{
    writeLog(LogLevel::Info, ResultCode::Ok, "state", { { "state", toJson(m_log->dump(m_loop.now()), false) } });
}

}
