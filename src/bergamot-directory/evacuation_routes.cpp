#include "bergamot-directory/evacuation_routes.h"

#include "libbergamotio/log.h"
#include "libbergamotio/metrics.h"

#include <algorithm>
#include <json/json.h>

namespace bergamotroute {

namespace {

    constexpr const char* jsonType = "application/json";
    constexpr std::string_view toolPath = "/evacuations";
    /// Entry hosts that were not heard for this time do not count as responsive; several of their long polls.
    constexpr Duration maxEntryHostAge { 5000 };

    Json::Value toJsonValue(const EvacuationStatus& status, const EvacuationSummary& summary)
    {
        Json::Value value(Json::objectValue);
        value["data_centre"] = status.dataCentre;
        value["since_ms"] = Json::UInt64(status.sinceMs);
        value["ordered_by"] = status.orderedBy;
        value["revision"] = Json::UInt64(status.revision);
        value["acknowledged_hosts"] = Json::UInt64(status.acknowledgedHosts);
        value["entry_hosts"] = Json::UInt64(summary.entryHosts);
        return value;
    }

    Json::Value toJsonValue(const EvacuationSummary& summary)
    {
        Json::Value value(Json::objectValue);
        value["revision"] = Json::UInt64(summary.revision);
        value["entry_hosts"] = Json::UInt64(summary.entryHosts);
        value["acknowledged_hosts"] = Json::UInt64(summary.acknowledgedHosts);
        value["open_flows"] = Json::UInt64(summary.openFlows);
        value["evacuations"] = Json::Value(Json::arrayValue);
        for (const EvacuationStatus& status : summary.evacuations)
            value["evacuations"].append(toJsonValue(status, summary));
        return value;
    }

    std::string serialize(const Json::Value& value)
    {
        Json::StreamWriterBuilder writer;
        writer["indentation"] = "";
        return Json::writeString(writer, value) + '\n';
    }

}

const schema::ControlHostRecord* findOtherLeader(const QuorumHost& quorum, const DirectoryReplicator& replicator)
{
    const schema::ControlHostRecord* leader = replicator.findControlHost(quorum.log().leader());
    return leader && leader->identity() != quorum.identity() ? leader : nullptr;
}

EvacuationRoutes::EvacuationRoutes(EventLoop& loop, QuorumHost& quorum, DirectoryReplicator& replicator,
    const TargetRegistry& registry, const schema::DirectorySettings& settings, const OperatorProtocol& protocol)
    : m_loop(loop)
    , m_quorum(quorum)
    , m_replicator(replicator)
    , m_registry(registry)
    , m_settings(settings)
    , m_protocol(protocol)
    , m_random(std::random_device()())
{
}

void EvacuationRoutes::serveOperators(HttpServer& server)
{
    const std::string prefix = m_protocol.evacuationPathPrefix();
    const auto add = [this, &server, &prefix](const char* method, bool stops) {
        server.route(method, prefix, HttpAccess::Open,
            [this, stops](const ExchangePointer& exchange) { handleRequest(exchange, Caller::Operator, stops); });
    };
    add("POST", true);
    add("DELETE", false);
}

void EvacuationRoutes::serveTool(HttpServer& server)
{
    const std::string path(toolPath);
    server.route("GET", path, HttpAccess::Open, [this](const ExchangePointer& exchange) { listEvacuations(exchange); });
    const auto add = [this, &server, &path](const char* method, bool stops) {
        server.route(method, path + '/', HttpAccess::Open,
            [this, stops](const ExchangePointer& exchange) { handleRequest(exchange, Caller::Tool, stops); });
    };
    add("POST", true);
    add("DELETE", false);
}

std::optional<std::string> EvacuationRoutes::readDataCentre(const HttpExchange& exchange, Caller caller) const
{
    const std::string path = exchange.decodedPath();
    if (caller == Caller::Operator)
        return m_protocol.readEvacuatedDataCentre(path);
    const std::string name = path.substr(std::min(path.size(), toolPath.size() + 1));
    return name.empty() ? std::nullopt : std::optional(name);
}

std::set<std::string> EvacuationRoutes::servingDataCentres() const
{
    std::set<std::string> names;
    m_registry.visitTargets([&names](const RegisteredTarget& target) {
        if (target.record.phase() != schema::TARGET_GONE)
            names.insert(target.record.data_centre());
    });
    return names;
}

bool EvacuationRoutes::isKnown(const std::string& dataCentre) const
{
    if (dataCentre.empty())
        return false;
    const auto& configured = m_settings.data_centres();
    if (std::find(configured.begin(), configured.end(), dataCentre) != configured.end())
        return true;
    // An accepted order is acknowledged again also by a host whose settings do not name the data centre.
    if (namesOf(m_quorum.log().configuration()).contains(dataCentre))
        return true;
    bool isTargets = false;
    m_registry.visitTargets([&isTargets, &dataCentre](const RegisteredTarget& target) {
        isTargets = isTargets || target.record.data_centre() == dataCentre;
    });
    const auto hosts = m_replicator.entryHosts(Duration::max());
    return isTargets || std::any_of(hosts.begin(), hosts.end(), [&dataCentre](const schema::EntryHostRecord& host) {
        return host.data_centre() == dataCentre;
    });
}

void EvacuationRoutes::handleRequest(const ExchangePointer& exchange, Caller caller, bool stops)
{
    if (m_quorum.log().role() != QuorumRole::Leader) {
        replyNotLeader(exchange, caller);
        return;
    }
    const EvacuationRequest request { readDataCentre(*exchange, caller).value_or(""), stops,
        exchange->source().toString(), m_loop.wallMilliseconds() };
    if (isKnown(request.dataCentre))
        submit(exchange, caller, request);
    else
        rejectIfUnknown(exchange, caller, request);
}

void EvacuationRoutes::rejectIfUnknown(const ExchangePointer& exchange, Caller caller, const EvacuationRequest& request)
{
    m_quorum.confirmRead([this, exchange, caller, request](bool confirmed) {
        if (!confirmed) {
            replyError(exchange, caller, HttpStatus::ServiceUnavailable, ResultCode::NoQuorum,
                "cannot determine the newest state");
            return;
        }
        if (isKnown(request.dataCentre)) {
            submit(exchange, caller, request);
            return;
        }
        ++m_counters.refused;
        const std::string message = "unknown data centre \"" + request.dataCentre + '"';
        writeLog(LogLevel::Warning, ResultCode::DataCentreUnknown, message,
            { { "evacuated", request.dataCentre }, { "caller", request.caller },
                { "stops", request.stops ? "true" : "false" } });
        replyError(exchange, caller, HttpStatus::BadRequest, ResultCode::DataCentreUnknown, message);
    });
}

void EvacuationRoutes::submit(const ExchangePointer& exchange, Caller caller, const EvacuationRequest& request)
{
    // A caller that has given up may have sent the opposite request to another host since.
    if (exchange->hasClientLeft()) {
        ++m_counters.dropped;
        writeLog(LogLevel::Warning, ResultCode::ConnectionLost, "evacuation call dropped: its caller has gone",
            { { "evacuated", request.dataCentre }, { "stops", request.stops ? "true" : "false" } });
        return;
    }
    const std::string requestId = "evacuation-" + m_quorum.identity() + '-' + std::to_string(m_random());
    m_quorum.submit(makeEvacuationCommand(request, requestId),
        [this, exchange, caller, request](
            const schema::CommandResult& result) { replyToRequest(exchange, caller, request, result); });
}

void EvacuationRoutes::replyToRequest(const ExchangePointer& exchange, Caller caller, const EvacuationRequest& request,
    const schema::CommandResult& result)
{
    const bool accepted = result.outcome() == schema::OUTCOME_ACCEPTED;
    const bool changed
        = accepted && hasChangedDataCentre(m_quorum.log().configuration(), request.dataCentre, result.revision());
    ++(changed ? m_counters.accepted : accepted ? m_counters.repeated : m_counters.unknown);
    const ResultCode code = !accepted ? static_cast<ResultCode>(result.code())
        : !changed                    ? ResultCode::EvacuationRepeated
        : request.stops               ? ResultCode::EvacuationOrdered
                                      : ResultCode::EvacuationEnded;
    writeLog(accepted ? LogLevel::Info : LogLevel::Warning, code,
        accepted ? "evacuation call accepted" : "outcome of the evacuation call is unknown",
        { { "evacuated", request.dataCentre }, { "stops", request.stops ? "true" : "false" },
            { "caller", request.caller }, { "revision", std::to_string(result.revision()) },
            { "detail", result.message() } });
    if (!accepted)
        replyError(exchange, caller, HttpStatus::ServiceUnavailable, code, result.message());
    else if (caller == Caller::Operator)
        exchange->reply(HttpStatus::Ok, m_protocol.evacuationResponse(), jsonType);
    else
        exchange->replyJson(HttpStatus::Ok, result);
}

void EvacuationRoutes::replyNotLeader(const ExchangePointer& exchange, Caller caller)
{
    const schema::ControlHostRecord* leader = findOtherLeader(m_quorum, m_replicator);
    if (!leader) {
        replyError(exchange, caller, HttpStatus::ServiceUnavailable, ResultCode::NoQuorum, "no known leader");
        return;
    }
    HttpStatus status = HttpStatus::ServiceUnavailable;
    // The tool calls another port, which only the leader's own settings tell; it tries the other hosts itself.
    if (caller == Caller::Operator) {
        status = HttpStatus::TemporaryRedirect;
        exchange->addHeader("Location", "http://" + leader->operator_endpoint() + exchange->path());
    }
    replyError(exchange, caller, status, ResultCode::NotLeader, "control host " + leader->host() + " is the leader");
}

void EvacuationRoutes::replyError(
    const ExchangePointer& exchange, Caller caller, HttpStatus status, ResultCode code, std::string_view message) const
{
    if (caller == Caller::Operator)
        exchange->reply(status, m_protocol.errorResponse(message), jsonType);
    else
        exchange->replyError(status, code, message);
}

void EvacuationRoutes::listEvacuations(const ExchangePointer& exchange)
{
    if (m_quorum.log().role() != QuorumRole::Leader) {
        replyNotLeader(exchange, Caller::Tool);
        return;
    }
    m_quorum.confirmRead([this, exchange](bool confirmed) {
        if (confirmed)
            exchange->reply(HttpStatus::Ok, serialize(toJsonValue(summarize())), jsonType);
        else
            exchange->replyError(
                HttpStatus::ServiceUnavailable, ResultCode::NoQuorum, "cannot determine the newest state");
    });
}

EvacuationSummary EvacuationRoutes::summarize() const
{
    return summarizeEvacuations(m_quorum.log().configuration(), m_replicator.entryHosts(maxEntryHostAge));
}

void EvacuationRoutes::handleConfiguration()
{
    const schema::Configuration& configuration = m_quorum.log().configuration();
    if (configuration.data_centres_revision() <= m_loggedRevision)
        return;
    m_loggedRevision = configuration.data_centres_revision();
    writeLog(LogLevel::Info, ResultCode::EvacuationApplied, "list of evacuated data centres in force",
        { { "revision", std::to_string(m_loggedRevision) },
            { "evacuated", describe(listStoppedDataCentres(configuration)) } });
}

void EvacuationRoutes::advance()
{
    const schema::Configuration& configuration = m_quorum.log().configuration();
    if (configuration.data_centres_revision() == 0)
        return;
    const bool allStopped = areAllStopped(configuration, servingDataCentres());
    if (allStopped && !m_warnedOfAll)
        writeLog(LogLevel::Warning, ResultCode::EvacuationOfAll,
            "all data centres with targets are evacuated; new flows are refused",
            { { "revision", std::to_string(configuration.data_centres_revision()) } });
    m_warnedOfAll = allStopped;
    if (m_quorum.log().role() != QuorumRole::Leader)
        return;
    const EvacuationSummary summary = summarize();
    if (m_acknowledgements.isNewlyAcknowledged(summary))
        writeLog(LogLevel::Info, ResultCode::EvacuationAcknowledged, "all responsive entry hosts have applied the list",
            { { "revision", std::to_string(summary.revision) }, { "entry_hosts", std::to_string(summary.entryHosts) },
                { "open_flows", std::to_string(summary.openFlows) } });
}

void EvacuationRoutes::addMetrics(prometheus::Registry& registry) const
{
    const auto add = [&registry](const std::string& name, const std::string& help, double value) {
        setGauge(registry, "bergamot_directory_" + name, help, value);
    };
    const EvacuationSummary summary = summarize();
    add("evacuation_calls_accepted_total", "Orders and withdrawals of evacuations accepted by the quorum.",
        static_cast<double>(m_counters.accepted));
    add("evacuation_calls_repeated_total", "Orders and withdrawals acknowledged without effect.",
        static_cast<double>(m_counters.repeated));
    add("evacuation_calls_refused_total", "Orders and withdrawals for unknown data centres.",
        static_cast<double>(m_counters.refused));
    add("evacuation_calls_unknown_total", "Orders and withdrawals whose outcome is unknown.",
        static_cast<double>(m_counters.unknown));
    add("evacuation_calls_dropped_total", "Orders and withdrawals whose caller had already closed the connection.",
        static_cast<double>(m_counters.dropped));
    add("data_centres_evacuated", "Data centres that are evacuated.", static_cast<double>(summary.evacuations.size()));
    add("data_centres_revision", "Revision of the list of evacuated data centres.",
        static_cast<double>(summary.revision));
    add("all_data_centres_evacuated",
        "1 if all data centres with targets are evacuated, so that new flows are refused.",
        areAllStopped(m_quorum.log().configuration(), servingDataCentres()) ? 1 : 0);
    add("entry_hosts_unacknowledged",
        "Responsive entry hosts that have not applied the list of evacuated data centres.",
        static_cast<double>(summary.entryHosts - summary.acknowledgedHosts));
    add("flows_at_evacuated", "Open flows to targets of evacuated data centres, on all responsive entry hosts.",
        static_cast<double>(summary.openFlows));
}

}
