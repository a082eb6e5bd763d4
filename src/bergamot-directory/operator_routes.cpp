/// @file
/// HTTP request handlers for operators and targets, and the metrics of the control host.

#include "bergamot-directory/directory_daemon.h"
#include "bergamotroute/routing_record.h"
#include "libbergamotio/log.h"
#include "libbergamotio/metrics.h"

#include <algorithm>
#include <prometheus/registry.h>
#include <xxhash.h>

namespace bergamotroute {

namespace {

    /// Maximum wait for replication to the other control hosts before a drain or leave is acknowledged; below the
    /// timeout of a target, which waits for 1 s.
    constexpr Duration replicationTimeout { 600 };
    constexpr const char* jsonType = "application/json";

    const char* describeLeave(TargetEvent event)
    {
        switch (event) {
        case TargetEvent::Gone:
            return "target has left";
        case TargetEvent::LeavePending:
            return "leave waits for evidence of its incarnation";
        default:
            return "leave of an incarnation that does not run";
        }
    }

    std::string targetIdFromPath(const HttpExchange& exchange)
    {
        return exchange.path().substr(exchange.path().rfind('/') + 1);
    }

}

void DirectoryDaemon::replyError(const ExchangePointer& exchange, HttpStatus status, std::string_view message)
{
    exchange->reply(status, m_protocol.errorResponse(message), jsonType);
}

void DirectoryDaemon::putDocument(const ExchangePointer& exchange)
{
    std::string fault;
    const std::optional<RoutingDocument> document = m_protocol.documentReader().read(exchange->body(), fault);
    if (!document) {
        ++m_counters.documentsRefused;
        writeLog(LogLevel::Warning, ResultCode::DocumentMalformed, "document rejected",
            { { "fault", fault }, { "bytes", std::to_string(exchange->body().size()) } });
        replyError(exchange, HttpStatus::BadRequest, fault);
        return;
    }
    const std::uint64_t currentVersion = m_quorum.log().configuration().document().version();
    if (document->version <= currentVersion) {
        // A version that this host has applied is committed, so it can acknowledge without contacting other hosts.
        ++m_counters.documentsOvertaken;
        writeLog(LogLevel::Info, ResultCode::DocumentOvertaken,
            "ignoring a document that is not newer than the version in force",
            { { "version", std::to_string(document->version) }, { "in_force", std::to_string(currentVersion) } });
        exchange->reply(HttpStatus::Ok, "{}", jsonType);
        return;
    }
    if (m_quorum.log().role() != QuorumRole::Leader) {
        redirectToLeader(exchange);
        return;
    }
    submitDocument(exchange, *document);
}

void DirectoryDaemon::submitDocument(const ExchangePointer& exchange, const RoutingDocument& routing)
{
    const std::uint64_t version = routing.version;
    schema::Command command;
    const std::uint64_t hash = XXH3_64bits(exchange->body().data(), exchange->body().size());
    // The request ID is derived from the document, so a retried call is applied as one command.
    command.set_request_id("document-" + std::to_string(version) + '-' + std::to_string(hash));
    schema::Document& document = *command.add_changes()->mutable_put_document();
    document.set_version(version);
    document.set_content(exchange->body());
    document.set_routing_table(toProto(routing).SerializeAsString());
    const TimePoint begin = m_loop.now();
    m_quorum.submit(command, [this, exchange, version, begin](const schema::CommandResult& result) {
        m_documentTime.observe(m_loop.now() - begin);
        replyToDocument(exchange, version, result);
    });
}

void DirectoryDaemon::replyToDocument(
    const ExchangePointer& exchange, std::uint64_t version, const schema::CommandResult& result)
{
    const bool accepted = result.outcome() == schema::OUTCOME_ACCEPTED;
    ++(accepted ? m_counters.documentsAccepted : m_counters.documentsUnknown);
    writeLog(accepted ? LogLevel::Info : LogLevel::Warning, static_cast<ResultCode>(result.code()),
        accepted ? "document accepted" : "outcome of the document is unknown",
        { { "version", std::to_string(version) }, { "term", std::to_string(m_quorum.log().term()) },
            { "detail", result.message() } });
    if (accepted)
        exchange->reply(HttpStatus::Ok, "{}", jsonType);
    else
        replyError(exchange, HttpStatus::ServiceUnavailable, result.message());
}

void DirectoryDaemon::redirectToLeader(const ExchangePointer& exchange)
{
    const schema::ControlHostRecord* leader = findOtherLeader(m_quorum, m_replicator);
    if (!leader) {
        replyError(exchange, HttpStatus::ServiceUnavailable, "no known leader");
        return;
    }
    ++m_counters.redirects;
    exchange->addHeader("Location", "http://" + leader->operator_endpoint() + exchange->path());
    replyError(exchange, HttpStatus::TemporaryRedirect, "another control host is the leader");
}

void DirectoryDaemon::getDocument(const ExchangePointer& exchange)
{
    if (m_quorum.log().role() != QuorumRole::Leader) {
        redirectToLeader(exchange);
        return;
    }
    const TimePoint begin = m_loop.now();
    m_quorum.confirmRead([this, exchange, begin](bool confirmed) {
        m_readTime.observe(m_loop.now() - begin);
        const schema::Document& document = m_quorum.log().configuration().document();
        if (!confirmed || document.version() == 0) {
            ++m_counters.readsRefused;
            writeLog(LogLevel::Warning, ResultCode::NoQuorum, "read rejected",
                { { "confirmed", confirmed ? "true" : "false" }, { "version", std::to_string(document.version()) } });
            replyError(exchange, HttpStatus::ServiceUnavailable, "cannot determine the newest document");
            return;
        }
        ++m_counters.reads;
        exchange->reply(HttpStatus::Ok, document.content(), jsonType);
    });
}

void DirectoryDaemon::putTarget(const ExchangePointer& exchange)
{
    std::string fault;
    const std::string id = targetIdFromPath(*exchange);
    const std::optional<schema::TargetRecord> heartbeat = m_protocol.readHeartbeat(id, exchange->body(), fault);
    if (!heartbeat) {
        ++m_counters.heartbeatsRefused;
        writeLog(LogLevel::Warning, ResultCode::AnnouncementMalformed, "heartbeat rejected",
            { { "target", id }, { "fault", fault } });
        replyError(exchange, HttpStatus::BadRequest, fault);
        return;
    }
    ++m_counters.heartbeats;
    const TargetEvent event = m_registry.merge(*heartbeat, true, m_loop.now());
    if (event == TargetEvent::Draining || event == TargetEvent::Gone || event == TargetEvent::Unnamed)
        acknowledgeWhenReplicated(exchange, replicationTimeout);
    else
        exchange->reply(HttpStatus::Ok, m_protocol.heartbeatResponse(), jsonType);
}

void DirectoryDaemon::deleteTarget(const ExchangePointer& exchange)
{
    const std::string id = targetIdFromPath(*exchange);
    const std::optional<std::uint64_t> startTimeMs = m_protocol.readLeave(exchange->body());
    if (!startTimeMs) {
        ++m_counters.leavesRefused;
        writeLog(LogLevel::Warning, ResultCode::AnnouncementMalformed, "leave request rejected", { { "target", id } });
        replyError(exchange, HttpStatus::BadRequest, "the leave request cannot be read");
        return;
    }
    ++m_counters.leaves;
    updateContact();
    const TargetEvent event = m_registry.leave(id, *startTimeMs, m_loop.now());
    writeLog(LogLevel::Info, ResultCode::TargetLeave, describeLeave(event),
        { { "target", id }, { "born_ms", std::to_string(*startTimeMs) } });
    scheduleSave();
    acknowledgeWhenReplicated(exchange, leaveReplicationTimeout);
}

void DirectoryDaemon::acknowledgeWhenReplicated(const ExchangePointer& exchange, Duration timeout)
{
    const TimePoint begin = m_loop.now();
    m_replicator.whenReplicated(timeout, [this, exchange, begin] {
        m_leaveTime.observe(m_loop.now() - begin);
        exchange->reply(HttpStatus::Ok, m_protocol.heartbeatResponse(), jsonType);
    });
}

std::string DirectoryDaemon::metrics() const
{
    prometheus::Registry registry;
    const auto add = [&registry](const std::string& name, const std::string& help, double value) {
        setGauge(registry, "bergamot_directory_" + name, help, value);
    };
    add("heartbeats_total", "Accepted target heartbeats.", static_cast<double>(m_counters.heartbeats));
    add("heartbeats_refused_total", "Rejected heartbeats that do not describe a valid target.",
        static_cast<double>(m_counters.heartbeatsRefused));
    add("leaves_total", "Leave requests from targets.", static_cast<double>(m_counters.leaves));
    add("leaves_refused_total", "Rejected leave requests that cannot be read.",
        static_cast<double>(m_counters.leavesRefused));
    const LeaveCounters& leaves = m_registry.leaveCounters();
    add("leaves_without_start_total", "Leaves without a start time, judged by the target's heartbeats.",
        static_cast<double>(leaves.received));
    add("leaves_contradicted_total", "Leaves without a start time after which the target sent heartbeats.",
        static_cast<double>(leaves.contradicted));
    add("leaves_confirmed_total", "Leaves without a start time that ended a target.",
        static_cast<double>(leaves.confirmed));
    add("documents_accepted_total", "Documents accepted by the quorum.",
        static_cast<double>(m_counters.documentsAccepted));
    add("documents_overtaken_total",
        "Documents acknowledged without effect because the version in force was not older.",
        static_cast<double>(m_counters.documentsOvertaken));
    add("documents_refused_total", "Documents rejected as invalid.", static_cast<double>(m_counters.documentsRefused));
    add("documents_unknown_total", "Documents whose outcome is unknown.",
        static_cast<double>(m_counters.documentsUnknown));
    add("redirects_total", "Calls redirected to the leader.", static_cast<double>(m_counters.redirects));
    add("reads_total", "Successful reads of the document.", static_cast<double>(m_counters.reads));
    add("reads_refused_total", "Reads rejected because the newest version could not be determined.",
        static_cast<double>(m_counters.readsRefused));
    add("document_version", "Version of the document in force on this host.",
        static_cast<double>(m_quorum.log().configuration().document().version()));
    add("term", "Current term of the quorum.", static_cast<double>(m_quorum.log().term()));
    add("leads", "1 if this host is the leader.", m_quorum.log().role() == QuorumRole::Leader ? 1 : 0);
    add("members", "Members of the quorum.", static_cast<double>(m_quorum.log().members().size()));
    add("votes", "1 if this host is a member of the quorum that votes.", m_quorum.isVoter() ? 1 : 0);
    add("lost_voters", "Voters whose address answers under another identity; they do not count.",
        static_cast<double>(m_quorum.log().lostVoters().size()));
    add("elections_by_half_total", "Elections won with half of the voters, because another voter's log is gone.",
        static_cast<double>(m_quorum.log().electionsByHalf()));
    add("targets", "Targets in the registry.", static_cast<double>(m_registry.targetCount()));
    add("unnamed_targets", "Targets that are not used, because no document has named their service.",
        static_cast<double>(m_registry.unnamedCount()));
    add("waiting_entry_calls", "Pending long polls of entry hosts.",
        static_cast<double>(m_entrySync.pendingCallCount()));
    add("failed_exchanges_total", "Failed registry exchanges with control hosts.",
        static_cast<double>(m_replicator.failedCalls()));
    add("unreadable_exchanges_total", "Messages of control hosts that could not be parsed.",
        static_cast<double>(m_replicator.unreadableMessages()));
    add("unreadable_targets_total", "Target records ignored because they name no target.",
        static_cast<double>(m_registry.unreadableRecords()));
    add("foreign_targets_total",
        "Target records ignored because they name the ID of a target to use, and a service that no document names.",
        static_cast<double>(m_registry.foreignRecords()));
    const HeartbeatDigestCounters& digest = m_replicator.digestCounters();
    add("target_records_sent_total", "Whole target records sent to control hosts.",
        static_cast<double>(digest.recordsSent));
    add("target_refreshes_sent_total", "Heartbeats sent to control hosts in short form.",
        static_cast<double>(digest.refreshesSent));
    add("target_refreshes_ignored_total", "Short heartbeats from control hosts whose content is not known here.",
        static_cast<double>(digest.refreshesIgnored));
    add("log_lines_dropped_total", "Log lines dropped because the log reader was too slow.",
        static_cast<double>(logCounters().dropped));
    add("log_lines_suppressed_total", "Log lines suppressed by the rate limit of their result code.",
        static_cast<double>(logCounters().suppressed));
    m_evacuations.addMetrics(registry);
    return serializeMetrics(registry) + serializeMetrics(m_histograms);
}

}
