/// @file
/// HTTP interfaces of bergamotd: operators and announcements (docs/design.md, "Operators").

#include "bergamotd/entry_daemon.h"
#include "libbergamotio/json_schema.h"
#include "libbergamotio/log.h"
#include "libbergamotio/metrics.h"

#include <algorithm>
#include <prometheus/registry.h>

namespace bergamotroute {

namespace {

    void addCounter(schema::EntryHostState& state, const std::string& name, std::uint64_t value)
    {
        schema::CounterState* counter = state.add_counters();
        counter->set_name(name);
        counter->set_value(value);
    }

    HttpStatus announcementStatus(std::uint32_t code)
    {
        switch (static_cast<ResultCode>(code)) {
        case ResultCode::Ok:
            return HttpStatus::Ok;
        case ResultCode::AnnouncementForbiddenNetwork:
            return HttpStatus::Forbidden;
        case ResultCode::AnnouncementUnknownService:
            return HttpStatus::NotFound;
        case ResultCode::AnnouncementAddressClaimed:
        case ResultCode::AnnouncementQuarantined:
        case ResultCode::AnnouncementStale:
            return HttpStatus::Conflict;
        default:
            return HttpStatus::BadRequest;
        }
    }

}

void EntryDaemon::addRoutes()
{
    using Exchange = std::shared_ptr<HttpExchange>;
    m_operators.route("GET", "/v1/state", HttpAccess::Token,
        [this](const Exchange& exchange) { exchange->replyJson(HttpStatus::Ok, state()); });
    m_operators.route("GET", "/v1/health", HttpAccess::Open, [this](const Exchange& exchange) {
        const bool ready = m_host.configuration().revision() > 0;
        exchange->reply(ready ? HttpStatus::Ok : HttpStatus::ServiceUnavailable,
            ready ? "{\"status\":\"ok\"}\n" : "{\"status\":\"not ready\"}\n", "application/json");
    });
    m_operators.route("GET", "/metrics", HttpAccess::Open,
        [this](const Exchange& exchange) { exchange->reply(HttpStatus::Ok, metricsText()); });
    m_operators.route("POST", "/v1/leave", HttpAccess::Token, [this](const Exchange& exchange) {
        exchange->reply(HttpStatus::Accepted, "{\"status\":\"leaving\"}\n", "application/json");
        leave();
    });
    m_announce.route(
        "POST", "/v1/announce", HttpAccess::Open, [this](const Exchange& exchange) { handleAnnounce(exchange); });
}

void EntryDaemon::handleAnnounce(const std::shared_ptr<HttpExchange>& exchange)
{
    schema::Announcement announcement;
    schema::AnnouncementResult result;
    if (const InputError error = parseJsonMessage(exchange->body(), "announcement", announcement)) {
        result.set_code(static_cast<std::uint32_t>(ResultCode::AnnouncementMalformed));
        result.set_message(error.message);
    } else {
        result = m_host.handleAnnouncement(announcement, exchange->source(), m_loop.now());
        finishRound();
    }
    if (result.code() != 0)
        writeLog(LogLevel::Warning, static_cast<ResultCode>(result.code()), "announcement refused",
            { { "source", exchange->source().toString() }, { "detail", result.message() } });
    exchange->replyJson(announcementStatus(result.code()), result);
}

schema::EntryHostState EntryDaemon::state() const
{
    schema::EntryHostState result = m_host.dump(m_loop.now());
    addCounter(result, "fabric_packets", m_traffic.fabricPackets);
    addCounter(result, "dropped_packets", m_traffic.droppedPackets);
    addCounter(result, "forwarded_packets", m_traffic.forwardedPackets);
    addCounter(result, "relayed_packets", m_traffic.relayedPackets);
    addCounter(result, "received_relays", m_traffic.receivedRelays);
    addCounter(result, "caller_packets", m_traffic.callerPackets);
    addCounter(result, "control_bytes_sent", m_traffic.controlBytesSent);
    addCounter(result, "control_bytes_received", m_traffic.controlBytesReceived);
    addCounter(result, "malformed_peer_datagrams", m_traffic.malformedPeerDatagrams);
    addCounter(result, "send_errors", m_fabric.sendErrors() + m_peers.sendErrors());
    std::sort(result.mutable_counters()->begin(), result.mutable_counters()->end(),
        [](const schema::CounterState& a, const schema::CounterState& b) { return a.name() < b.name(); });
    return result;
}

std::string EntryDaemon::metricsText() const
{
    prometheus::Registry registry;
    const schema::EntryHostState current = state();
    for (const schema::CounterState& counter : current.counters())
        setGauge(registry, "bergamotd_" + counter.name(), "Counter of the state dump.",
            static_cast<double>(counter.value()));
    setGauge(registry, "bergamotd_configuration_revision", "Revision in force.",
        static_cast<double>(current.configuration_revision()));
    setGauge(registry, "bergamotd_cached_flows", "Flows in the flow cache.", current.cached_flows());
    setGauge(registry, "bergamotd_pinned_flows", "Pinned records.", current.pinned_flows());
    return serializeMetrics(registry);
}

void EntryDaemon::logState()
{
    writeLog(LogLevel::Info, ResultCode::Ok, "state dump", { { "state", toJson(state(), false) } });
}

}
