#include "control_daemon.h"

#include "libbergamotio/json_schema.h"
#include "libbergamotio/log.h"

namespace bergamotroute {

namespace {

    /// Longest time for which a graceful stop waits for answers to pending commands.
    constexpr Duration stopGrace { 3500 };
    constexpr Duration longestConfigurationWait { 20'000 };
    constexpr unsigned statusOk = 200;
    constexpr unsigned statusBadRequest = 400;

    QuorumHostOptions makeOptions(const schema::ControlHostSettings& settings)
    {
        QuorumHostOptions options;
        options.quorum.host = settings.host();
        options.quorum.dataCentre = settings.data_centre();
        options.quorum.heartbeatInterval = Duration(settings.heartbeat_ms());
        options.quorum.electionTimeout = Duration(settings.election_timeout_ms());
        options.quorum.snapshotEntries = settings.snapshot_entries();
        options.quorum.resultLimits.count = settings.remembered_requests();
        options.quorum.resultLimits.ageMs = std::uint64_t { settings.remembered_seconds() } * 1000;
        options.bootstrapName = settings.host();
        options.dataFolder = settings.data_folder();
        options.rpcEndpoint = settings.rpc_listen();
        if (settings.join())
            return options;
        for (const schema::ControlPeerSettings& member : settings.initial_members())
            options.initialMembers.push_back({ member.host(), member.rpc_endpoint() });
        return options;
    }

}

ControlDaemon::ControlDaemon(EventLoop& loop, schema::ControlHostSettings settings)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_quorum(loop, makeOptions(m_settings))
    , m_rpc(loop)
    , m_http(loop)
    , m_watchers(loop)
    , m_stopTimer(loop, [this] { m_loop.stop(); })
{
    m_quorum.configurationAccepted().connect(
        [this] { m_watchers.revisionAccepted(m_quorum.log().configuration().revision()); });
    m_quorum.eventHandled().connect([this] { afterEvent(); });
}

std::error_code ControlDaemon::start()
{
    if (const std::error_code error = m_quorum.open())
        return error;
    if (const std::error_code error = openListeners())
        return error;
    m_quorum.serve(m_rpc);
    writeLog(LogLevel::Info, ResultCode::Ok, "started",
        { { "identity", m_quorum.identity() }, { "rpc", m_settings.rpc_listen() },
            { "operators", m_settings.operators().listen() } });
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

void ControlDaemon::afterEvent()
{
    if (m_stopping && m_quorum.pendingCommands() == 0)
        m_loop.stop();
}

void ControlDaemon::handleConfigurationCall(const std::string& body, const RpcReply& reply)
{
    schema::ConfigurationRequest request;
    if (!request.ParseFromString(body)) {
        reply.send(statusBadRequest, {});
        return;
    }
    const std::uint64_t have = request.have_revision();
    if (m_quorum.log().configuration().revision() > have || request.wait_ms() == 0) {
        sendConfiguration(reply, have);
        return;
    }
    const Duration wait = std::min(Duration(request.wait_ms()), longestConfigurationWait);
    m_watchers.add(have, wait, [this, reply, have] { sendConfiguration(reply, have); });
}

void ControlDaemon::sendConfiguration(const RpcReply& reply, std::uint64_t haveRevision)
{
    const schema::Configuration& configuration = m_quorum.log().configuration();
    schema::ConfigurationAnswer result;
    result.set_revision(configuration.revision());
    result.set_committed(true);
    if (configuration.revision() > haveRevision && haveRevision > 0 && m_quorum.log().hasHistorySince(haveRevision)) {
        for (schema::LogEntry& entry : m_quorum.log().history(haveRevision))
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
    writeLog(LogLevel::Info, ResultCode::Ok, "stops", { { "pending", std::to_string(m_quorum.pendingCommands()) } });
    m_watchers.fireAll();
    m_stopTimer.start(stopGrace);
    afterEvent();
}

void ControlDaemon::logState()
{
    writeLog(
        LogLevel::Info, ResultCode::Ok, "state", { { "state", toJson(m_quorum.log().dump(m_loop.now()), false) } });
}

}
