#include "control_daemon.h"

#include "libbergamotio/json_schema.h"

#include <charconv>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace bergamotroute {

namespace {

    constexpr Duration watchWait { 20'000 };
    constexpr const char* jsonType = "application/json";
    constexpr const char* leaseHeader = "Bergamot-Lease";

    /// Codes of an attempt that was not entered into the log.
    bool isUnavailable(std::uint32_t code)
    {
        const auto result = static_cast<ResultCode>(code);
        return result == ResultCode::NotLeader || result == ResultCode::NoQuorum || result == ResultCode::StorageFailed
            || result == ResultCode::IdentityRetired;
    }

    HttpStatus statusOf(const schema::CommandResult& result)
    {
        if (result.outcome() == schema::OUTCOME_ACCEPTED)
            return HttpStatus::Ok;
        if (result.outcome() == schema::OUTCOME_NOT_ACCEPTED)
            return HttpStatus::Conflict;
        return isUnavailable(result.code()) ? HttpStatus::ServiceUnavailable : HttpStatus::GatewayTimeout;
    }

    std::uint64_t toNumber(const std::string& text)
    {
        std::uint64_t value = 0;
        std::from_chars(text.data(), text.data() + text.size(), value);
        return value;
    }

}

void ControlDaemon::setRoutes()
{
    const auto add = [this](const char* method, const char* path, HttpAccess access, auto handler) {
        m_http.route(
            method, path, access, [this, handler](const ExchangePointer& exchange) { (this->*handler)(exchange); });
    };
    add("POST", "/v1/command", HttpAccess::Token, &ControlDaemon::handleCommand);
    add("GET", "/v1/configuration", HttpAccess::Token, &ControlDaemon::handleConfiguration);
    add("GET", "/v1/request", HttpAccess::Token, &ControlDaemon::handleRequest);
    add("GET", "/v1/history", HttpAccess::Token, &ControlDaemon::handleHistory);
    add("GET", "/v1/watch", HttpAccess::Token, &ControlDaemon::handleWatch);
    add("GET", "/v1/health", HttpAccess::Open, &ControlDaemon::handleHealth);
    m_http.route("GET", "/v1/state", HttpAccess::Token, [this](const ExchangePointer& exchange) {
        exchange->reply(HttpStatus::Ok, toJson(m_quorum.log().dump(m_loop.now()), false), jsonType);
    });
    m_http.route("GET", "/metrics", HttpAccess::Open, [this](const ExchangePointer& exchange) {
        exchange->reply(HttpStatus::Ok, metrics(), "text/plain; version=0.0.4");
    });
}

void ControlDaemon::handleCommand(const ExchangePointer& exchange)
{
    schema::Command command;
    if (const InputError error = parseJsonMessage(exchange->body(), "body", command)) {
        ++m_refusedCommands;
        exchange->reply(HttpStatus::BadRequest,
            toJson(rejectedResult({}, ResultCode::CommandMalformed, error.message, 0), false), jsonType);
        return;
    }
    m_quorum.submit(
        command, [this, exchange](const schema::CommandResult& result) { answerCommand(exchange, result); });
}

void ControlDaemon::answerCommand(const ExchangePointer& exchange, const schema::CommandResult& result)
{
    const HttpStatus status = statusOf(result);
    ++(status == HttpStatus::Ok              ? m_acceptedCommands
            : status == HttpStatus::Conflict ? m_refusedCommands
                                             : m_unknownCommands);
    exchange->reply(status, toJson(result, false), jsonType);
}

void ControlDaemon::handleConfiguration(const ExchangePointer& exchange)
{
    const bool valid = m_quorum.log().isLeaseValid(m_loop.now());
    if (!valid && exchange->query("stale") != "1") {
        const std::string text = "the lease is not valid here; leader: " + m_quorum.log().leader();
        exchange->reply(HttpStatus::ServiceUnavailable,
            toJson(
                rejectedResult({}, ResultCode::LeaseExpired, text, m_quorum.log().configuration().revision()), false),
            jsonType);
        return;
    }
    exchange->addHeader(leaseHeader, valid ? "valid" : "expired");
    exchange->reply(HttpStatus::Ok, toJson(m_quorum.log().configuration(), false), jsonType);
}

void ControlDaemon::handleRequest(const ExchangePointer& exchange)
{
    const std::string id = exchange->query("id");
    if (const schema::RememberedResult* known = m_quorum.log().findResult(id)) {
        exchange->reply(HttpStatus::Ok, toJson(known->result(), false), jsonType);
        return;
    }
    schema::CommandResult unknown = rejectedResult(id, ResultCode::UnknownRequest,
        "not remembered on this control host", m_quorum.log().configuration().revision());
    unknown.set_outcome(schema::OUTCOME_UNKNOWN);
    exchange->reply(HttpStatus::NotFound, toJson(unknown, false), jsonType);
}

void ControlDaemon::handleHistory(const ExchangePointer& exchange)
{
    std::string body = "{\"entries\":[";
    const char* separator = "";
    for (const schema::LogEntry& entry : m_quorum.log().history(toNumber(exchange->query("since")))) {
        body += separator + toJson(entry, false);
        separator = ",";
    }
    exchange->reply(HttpStatus::Ok, body + "]}", jsonType);
}

void ControlDaemon::handleWatch(const ExchangePointer& exchange)
{
    const std::uint64_t since = toNumber(exchange->query("since"));
    const auto sendCurrent = [this, exchange] {
        exchange->addHeader(leaseHeader, m_quorum.log().isLeaseValid(m_loop.now()) ? "valid" : "expired");
        exchange->reply(HttpStatus::Ok, toJson(m_quorum.log().configuration(), false), jsonType);
    };
    if (m_quorum.log().configuration().revision() > since)
        sendCurrent();
    else
        m_watchers.add(since, watchWait, sendCurrent);
}

void ControlDaemon::handleHealth(const ExchangePointer& exchange)
{
    const bool ready = m_quorum.log().isInitialized() && m_quorum.log().role() != QuorumRole::Stopped
        && !m_quorum.log().leader().empty();
    exchange->reply(ready ? HttpStatus::Ok : HttpStatus::ServiceUnavailable,
        ready ? "{\"status\":\"ok\"}" : "{\"status\":\"not ready\"}", jsonType);
}

std::string ControlDaemon::metrics()
{
    prometheus::Registry registry;
    const auto gauge = [&registry](const std::string& name, const std::string& help, double value) {
        prometheus::BuildGauge().Name("bergamot_control_" + name).Help(help).Register(registry).Add({}).Set(value);
    };
    const auto counter = [&registry](const std::string& name, const std::string& help, std::uint64_t value) {
        prometheus::BuildCounter()
            .Name("bergamot_control_" + name)
            .Help(help)
            .Register(registry)
            .Add({})
            .Increment(static_cast<double>(value));
    };
    const schema::ControlHostState state = m_quorum.log().dump(m_loop.now());
    gauge("revision", "Revision of the configuration.", static_cast<double>(m_quorum.log().configuration().revision()));
    gauge("term", "Term of the quorum log.", static_cast<double>(state.term()));
    gauge("commit_index", "Last committed entry.", static_cast<double>(state.commit_index()));
    gauge("last_index", "Last entry.", static_cast<double>(state.last_index()));
    gauge("lease_valid", "1 while this host leads with a valid lease.", state.lease_valid() ? 1 : 0);
    gauge("storage_failed", "1 after a failed write or sync.", state.storage_failed() ? 1 : 0);
    gauge("remembered_requests", "Remembered answers.", static_cast<double>(state.remembered_requests()));
    gauge("log_bytes", "Bytes of the log file.", static_cast<double>(m_quorum.storage().logBytes()));
    gauge("waiting_watchers", "Calls that wait for a newer revision.", static_cast<double>(m_watchers.size()));
    gauge("rpc_connections", "Open RPC connections to this host.", static_cast<double>(m_rpc.connectionCount()));
    counter("commands_accepted_total", "Commands answered as accepted.", m_acceptedCommands);
    counter("commands_not_accepted_total", "Commands answered as not accepted.", m_refusedCommands);
    counter("commands_unknown_total", "Commands answered as unknown or not entered.", m_unknownCommands);
    counter("messages_sent_total", "Messages sent to control hosts.", m_quorum.links().sentMessages());
    counter("messages_failed_total", "Messages to control hosts that were not delivered.",
        m_quorum.links().failedMessages());
    counter(
        "probes_failed_total", "Connections closed because a probe had no answer.", m_quorum.links().failedProbes());
    return prometheus::TextSerializer().Serialize(registry.Collect());
}

}
