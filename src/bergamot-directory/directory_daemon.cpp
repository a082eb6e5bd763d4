#include "bergamot-directory/directory_daemon.h"

#include "libbergamotio/log.h"
#include "libbergamotio/process_time.h"

#include <algorithm>
#include <random>

namespace bergamotroute {

namespace {

    /// Interval of the periodic checks: silent targets, quorum members, contact with the quorum.
    constexpr Duration checkInterval { 250 };
    /// A target is silent after this many heartbeat intervals without a heartbeat.
    constexpr unsigned silentIntervals = 4;
    constexpr Duration quorumTimeout { 1200 };
    /// Events within this time are combined into one write of the registry.
    constexpr Duration saveDelay { 300 };
    /// Hosts that were not seen for this time are not considered for quorum membership.
    constexpr Duration maxMemberAge { 60'000 };
    /// Time during which a stopping process still responds to calls that have already arrived.
    constexpr Duration stopGrace { 300 };
    /// Time for which a stopping process waits until another member has its vote; well inside the time that a platform
    /// gives a process to end.
    constexpr Duration votePassTimeout { 1500 };
    /// Log entries contain whole documents, so a snapshot is taken after few of them.
    constexpr std::uint32_t snapshotEntries = 10;

    std::string rpcEndpoint(const std::string& address, std::uint32_t port)
    {
        return address + ':' + std::to_string(port);
    }

    /// @return RPC endpoints of the seeds; only their addresses are configured, all hosts use the same internal port.
    std::vector<std::string> seedEndpoints(const schema::DirectorySettings& settings)
    {
        std::vector<std::string> endpoints;
        for (const std::string& seed : settings.seeds())
            endpoints.push_back(rpcEndpoint(seed.substr(0, seed.rfind(':')), settings.internal_port()));
        return endpoints;
    }

    QuorumHostOptions makeOptions(const schema::DirectorySettings& settings)
    {
        QuorumHostOptions options;
        options.rpcEndpoint = rpcEndpoint(settings.address(), settings.internal_port());
        options.quorum.host = settings.host();
        options.quorum.dataCentre = settings.data_centre();
        options.quorum.heartbeatInterval = Duration(settings.heartbeat_ms());
        options.quorum.electionTimeout = Duration(settings.election_timeout_ms());
        options.quorum.snapshotEntries = snapshotEntries;
        // Seeds are configured by endpoint, so they do not know each other's names.
        options.bootstrapName = options.rpcEndpoint;
        options.dataFolder = settings.data_folder();
        options.recovers = true;
        const std::vector<std::string> seeds = seedEndpoints(settings);
        const bool isSeed = std::find(seeds.begin(), seeds.end(), options.rpcEndpoint) != seeds.end();
        if (!settings.bootstrap() || !isSeed)
            return options;
        for (const std::string& seed : seeds)
            options.initialMembers.push_back({ seed, seed });
        return options;
    }

    schema::ControlHostRecord makeRecord(const schema::DirectorySettings& settings)
    {
        schema::ControlHostRecord record;
        record.set_host(settings.host());
        record.set_data_centre(settings.data_centre());
        record.set_rpc_endpoint(rpcEndpoint(settings.address(), settings.internal_port()));
        record.set_operator_endpoint(settings.operator_listen());
        return record;
    }

    RegistryOptions makeRegistryOptions(const schema::DirectorySettings& settings)
    {
        RegistryOptions options;
        options.heartbeatInterval = Duration(settings.target_heartbeat_ms());
        options.silentAfter = options.heartbeatInterval * silentIntervals;
        return options;
    }

    ResultCode resultCodeFor(TargetEvent event)
    {
        switch (event) {
        case TargetEvent::Draining:
            return ResultCode::TargetDraining;
        case TargetEvent::Gone:
            return ResultCode::TargetGone;
        case TargetEvent::Silent:
            return ResultCode::TargetSilent;
        case TargetEvent::Heard:
        case TargetEvent::Updated:
            return ResultCode::TargetHeard;
        case TargetEvent::Unnamed:
            return ResultCode::TargetUnnamed;
        default:
            return ResultCode::TargetFound;
        }
    }

}

DirectoryDaemon::DirectoryDaemon(EventLoop& loop, schema::DirectorySettings settings, const OperatorProtocol& protocol)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_protocol(protocol)
    , m_registry(makeRegistryOptions(m_settings))
    , m_registryStore(m_settings.data_folder())
    , m_quorum(loop, makeOptions(m_settings))
    , m_replicator(loop, m_registry, makeRecord(m_settings))
    , m_entrySync(loop, m_quorum, m_registry, m_returns, m_replicator)
    , m_evacuations(loop, m_quorum, m_replicator, m_registry, m_settings, m_protocol)
    , m_rpcServer(loop)
    , m_operatorServer(loop)
    , m_metricsServer(loop)
    , m_documentTime(m_histograms, "bergamot_directory_document_seconds",
          "Time from submitting a document to the quorum until its outcome is known.")
    , m_readTime(m_histograms, "bergamot_directory_read_seconds", "Time from a read to its confirmation by a majority.")
    , m_leaveTime(m_histograms, "bergamot_directory_leave_seconds",
          "Time until a drain or leave is replicated to the other control hosts.")
    , m_memberTimer(loop, [this] { changeMembers(); })
    , m_checkTimer(loop, [this] { runChecks(); })
    , m_saveTimer(loop, [this] { saveRegistry(); })
    , m_stopTimer(loop, [this] { finishStop(); })
{
    m_replicator.onHostStopping([this] { m_memberTimer.start(Duration(0)); });
    // Before the first document no target is to be used.
    m_registry.setServices({});
    m_registry.setObserver(
        [this](const RegisteredTarget& target, TargetEvent event) { handleTargetEvent(target, event); });
    m_quorum.configurationAccepted().connect([this] {
        const schema::Document& document = m_quorum.log().configuration().document();
        writeLog(LogLevel::Info, ResultCode::DocumentInForce, "document in force",
            { { "version", std::to_string(document.version()) } });
        m_evacuations.handleConfiguration();
        m_returns.update(m_quorum.log().configuration(), m_loop.now());
        applyDocument();
        m_entrySync.notify();
    });
}

std::error_code DirectoryDaemon::start()
{
    if (const std::error_code error = m_quorum.open())
        return error;
    if (const std::error_code error = openListeners())
        return error;
    m_replicator.setIdentity(m_quorum.identity());
    applyDocument();
    loadRegistry();
    m_returns.update(m_quorum.log().configuration(), m_loop.now());
    addSeeds(m_settings);
    m_quorum.serve(m_rpcServer);
    m_replicator.serve(m_rpcServer);
    m_entrySync.serve(m_rpcServer);
    m_checkTimer.start(checkInterval);
    writeLog(LogLevel::Info, ResultCode::Ok, "started",
        { { "identity", m_quorum.identity() }, { "operators", m_settings.operator_listen() },
            { "cpu_ms", std::to_string(processorTime().count()) },
            { "version", std::to_string(m_quorum.log().configuration().document().version()) } });
    return {};
}

void DirectoryDaemon::applyDocument()
{
    schema::RoutingTable table;
    const schema::Document& document = m_quorum.log().configuration().document();
    // Without a document, as while the storage recovers, the last known slow starts stay in force.
    if (document.version() == 0 || !table.ParseFromString(document.routing_table()))
        return;
    m_registry.setServices({ table.services().begin(), table.services().end() });
    const bool hasRate = table.slow_starts_size() > 0;
    m_registry.setSlowStartEvents(hasRate);
    std::uint32_t longest = 0;
    for (const schema::SlowStartRecord& slowStart : table.slow_starts())
        longest = std::max(longest, slowStart.duration_ms());
    m_returns.setMemory(hasRate ? Duration(longest) + Duration(m_settings.target_heartbeat_ms()) : Duration(0));
}

void DirectoryDaemon::loadRegistry()
{
    schema::SavedDirectory saved = m_registryStore.load();
    for (schema::TargetRecord& record : *saved.mutable_targets()) {
        // The downtime of this process is unknown, so the age starts at 0; a target that is down soon becomes silent.
        record.set_age_ms(0);
        record.set_leave_age_ms(0);
        m_registry.merge(record, false, m_loop.now());
    }
    m_returns.restore(saved.settled_returns_revision());
}

void DirectoryDaemon::scheduleSave() { m_saveTimer.start(saveDelay); }

void DirectoryDaemon::saveRegistry()
{
    schema::SavedDirectory saved;
    for (schema::TargetRecord& record : m_registry.changesSince(0, m_loop.now()))
        *saved.add_targets() = std::move(record);
    saved.set_settled_returns_revision(m_returns.settledRevision());
    m_registryStore.save(saved);
}

std::error_code DirectoryDaemon::openListeners()
{
    std::error_code error;
    const auto listen = [&error](auto& server, const std::string& text) {
        const Endpoint endpoint = Endpoint::parse(text, error);
        if (error || (error = server.listen(endpoint)))
            writeLog(LogLevel::Error, ResultCode::AddressUnavailable, "cannot listen on " + text);
        return !error;
    };
    if (!listen(m_rpcServer, rpcEndpoint(m_settings.address(), m_settings.internal_port())))
        return error;
    const auto add = [this](const char* method, const std::string& path, auto handler) {
        m_operatorServer.route(method, path, HttpAccess::Open,
            [this, handler](const ExchangePointer& exchange) { (this->*handler)(exchange); });
    };
    add("PUT", m_protocol.documentPath(), &DirectoryDaemon::putDocument);
    add("GET", m_protocol.documentPath(), &DirectoryDaemon::getDocument);
    add("PUT", m_protocol.targetPathPrefix(), &DirectoryDaemon::putTarget);
    add("DELETE", m_protocol.targetPathPrefix(), &DirectoryDaemon::deleteTarget);
    m_evacuations.serveOperators(m_operatorServer);
    if (!listen(m_operatorServer, m_settings.operator_listen()))
        return error;
    if (m_settings.metrics_port() == 0)
        return {};
    m_metricsServer.route("GET", "/metrics", HttpAccess::Open, [this](const ExchangePointer& exchange) {
        exchange->reply(HttpStatus::Ok, metrics(), "text/plain; version=0.0.4");
    });
    m_evacuations.serveTool(m_metricsServer);
    listen(m_metricsServer, rpcEndpoint(m_settings.address(), m_settings.metrics_port()));
    return error;
}

void DirectoryDaemon::addSeeds(const schema::DirectorySettings& settings)
{
    for (const std::string& endpoint : seedEndpoints(settings))
        m_replicator.addSeed(endpoint);
}

void DirectoryDaemon::reload(const schema::DirectorySettings& settings)
{
    addSeeds(settings);
    writeLog(LogLevel::Info, ResultCode::SettingsReloaded, "settings reloaded",
        { { "seeds", std::to_string(settings.seeds_size()) } });
}

void DirectoryDaemon::handleTargetEvent(const RegisteredTarget& target, TargetEvent event)
{
    const schema::TargetRecord& record = target.record;
    writeLog(LogLevel::Info, resultCodeFor(event), "target event",
        { { "target", record.id() }, { "service", record.service() }, { "endpoint", record.endpoint() },
            { "phase", schema::TargetPhase_Name(record.phase()) }, { "born_ms", std::to_string(record.born_ms()) },
            { "sequence", std::to_string(record.sequence()) },
            { "age_ms", std::to_string((m_loop.now() - target.lastHeartbeat).count()) } });
    m_entrySync.notify();
    m_replicator.requestRound();
    scheduleSave();
}

void DirectoryDaemon::updateContact()
{
    // A host that has just started may lack earlier incarnations that the others know.
    const bool hasMajority = m_quorum.hasRecentQuorum(quorumTimeout) && m_replicator.isWarmedUp();
    if (!hasMajority)
        m_registry.setContact(ControlContact::None);
    else
        m_registry.setContact(m_replicator.hearsAllControlHosts() ? ControlContact::All : ControlContact::Majority);
}

void DirectoryDaemon::runChecks()
{
    updateContact();
    m_registry.advance(m_loop.now());
    m_replicator.setIdentity(m_quorum.identity());
    changeMembers();
    logQuorumContact();
    m_evacuations.advance();
    if (m_returns.advance(m_loop.now()))
        scheduleSave();
    m_checkTimer.start(checkInterval);
}

void DirectoryDaemon::logQuorumContact()
{
    const bool hasQuorum = m_quorum.hasRecentQuorum(quorumTimeout);
    if (std::exchange(m_hadQuorum, hasQuorum) == hasQuorum)
        return;
    writeLog(hasQuorum ? LogLevel::Info : LogLevel::Warning,
        hasQuorum ? ResultCode::ControlHostCurrent : ResultCode::ControlHostIsolated,
        hasQuorum ? "in contact with a majority" : "lost contact with the majority",
        { { "leader", m_quorum.log().leader() }, { "term", std::to_string(m_quorum.log().term()) } });
}

std::vector<AnnouncedControlHost> DirectoryDaemon::announcedControlHosts(TimePoint now) const
{
    std::vector<AnnouncedControlHost> announced;
    for (const schema::ControlHostRecord& record : m_replicator.controlHosts(maxMemberAge)) {
        if (record.identity().empty())
            continue;
        // Members answer the heartbeats of the quorum more often than they announce themselves.
        const Duration announcedAge(record.age_ms());
        const Duration age
            = std::min(announcedAge, m_quorum.log().timeSinceAnswer(record.identity(), now).value_or(announcedAge));
        announced.push_back(
            { record.identity(), record.host(), record.rpc_endpoint(), record.data_centre(), age, record.stopping() });
    }
    return announced;
}

void DirectoryDaemon::changeMembers()
{
    const TimePoint now = m_loop.now();
    if (m_quorum.log().role() != QuorumRole::Leader || !m_quorum.log().isLeaseValid(now)) {
        m_memberPolicy.reset();
        return;
    }
    if (m_memberChangePending)
        return;
    const auto step = m_memberPolicy.advance(
        m_quorum.log().members(), announcedControlHosts(now), m_quorum.identity(), now, m_quorum.log().lostVoters());
    if (!step)
        return;
    static std::mt19937_64 random { std::random_device()() };
    schema::Command command;
    command.set_request_id("member-" + std::to_string(random()));
    *command.add_changes() = step->change;
    m_memberChangePending = true;
    writeLog(
        LogLevel::Info, ResultCode::MemberChanged, step->reason, { { "change", step->change.ShortDebugString() } });
    m_quorum.submit(command, [this, change = step->change](const schema::CommandResult& result) {
        m_memberChangePending = false;
        if (result.outcome() == schema::OUTCOME_ACCEPTED) {
            // Not from here, because the log is still at work on this change.
            m_memberTimer.start(Duration(0));
            return;
        }
        m_memberPolicy.handleRefusal(change, m_loop.now());
        writeLog(LogLevel::Warning, static_cast<ResultCode>(result.code()), "membership change was not accepted",
            { { "detail", result.message() } });
    });
}

void DirectoryDaemon::stop()
{
    if (m_stopping) {
        m_loop.stop();
        return;
    }
    m_stopping = true;
    writeLog(LogLevel::Info, ResultCode::Ok, "stopping", { { "pending", std::to_string(m_quorum.pendingCommands()) } });
    m_replicator.announceStop();
    m_memberTimer.start(Duration(0));
    m_entrySync.respondToAll();
    m_stopDeadline = m_loop.now() + votePassTimeout;
    m_stopTimer.start(stopGrace);
}

bool DirectoryDaemon::canPassVote() const
{
    const std::vector<schema::ControlMember>& members = m_quorum.log().members();
    const auto voters = std::count_if(
        members.begin(), members.end(), [](const schema::ControlMember& member) { return member.voter(); });
    const bool hasOtherMember = static_cast<std::size_t>(voters) < members.size();
    return m_quorum.isVoter() && (hasOtherMember || static_cast<std::size_t>(voters) > fewestVoters);
}

void DirectoryDaemon::finishStop()
{
    constexpr Duration repeat { 50 };
    if (canPassVote() && m_loop.now() < m_stopDeadline)
        m_stopTimer.start(repeat);
    else
        m_loop.stop();
}

}
