/// @file
/// Pages of the entry host for operators, served beside the metrics.

#include "bergamot-entry/cookie_entry_daemon.h"
#include "libbergamotio/json_schema.h"

#include <algorithm>

namespace bergamotroute {

namespace {

    /// @return an IPv4 address in host byte order.
    std::uint32_t toNumber(const IpAddress& address)
    {
        std::uint32_t number = 0;
        for (std::size_t i = 12; i < address.bytes.size(); ++i)
            number = (number << 8) | address.bytes[i];
        return number;
    }

    /// Reads the parameters address, port and client (address:port; optional) of a query.
    std::optional<FlowId> readFlow(const HttpExchange& exchange)
    {
        const std::string client = exchange.query("client").empty() ? "0.0.0.0:0" : exchange.query("client");
        std::error_code serviceError;
        std::error_code clientError;
        const Endpoint service
            = Endpoint::parse(exchange.query("address") + ':' + exchange.query("port"), serviceError);
        const Endpoint caller = Endpoint::parse(client, clientError);
        if (serviceError || clientError || !service.address.isV4() || !caller.address.isV4())
            return std::nullopt;
        return FlowId { toNumber(caller.address), toNumber(service.address), caller.port, service.port };
    }

    void replyJson(HttpExchange& exchange, const google::protobuf::Message& message)
    {
        exchange.reply(HttpStatus::Ok, toJson(message, false), "application/json");
    }

}

void CookieEntryDaemon::addPages()
{
    using Exchange = std::shared_ptr<HttpExchange>;
    m_metricsServer.route("GET", "/metrics", HttpAccess::Open,
        [this](const Exchange& exchange) { exchange->reply(HttpStatus::Ok, metrics(), "text/plain; version=0.0.4"); });
    m_metricsServer.route("GET", "/targets", HttpAccess::Open,
        [this](const Exchange& exchange) { replyJson(*exchange, m_steering.targetCapacities(m_loop.now())); });
    m_metricsServer.route("GET", "/where", HttpAccess::Open, [this](const Exchange& exchange) {
        const std::optional<FlowId> flow = readFlow(*exchange);
        if (!flow) {
            exchange->reply(
                HttpStatus::BadRequest, R"({"error":"address, port or client is malformed"})", "application/json");
            return;
        }
        schema::PlacementExplanation explanation = m_steering.explainPlacement(*flow, m_loop.now());
        explanation.set_view_age_ms(static_cast<std::uint32_t>(m_controlClient.viewAge().count()));
        replyJson(*exchange, explanation);
    });
}

}
