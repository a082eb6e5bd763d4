#include "bergamotroute/routing_record.h"

#include <algorithm>
#include <cmath>

namespace bergamotroute {

namespace {

    std::uint32_t indexOf(const RoutingDocument& document, std::string_view service)
    {
        const auto found = std::find(document.services.begin(), document.services.end(), service);
        return static_cast<std::uint32_t>(found - document.services.begin());
    }

    void writeRoute(const RoutingDocument& document, const Route& route, schema::RouteRecord& record)
    {
        record.set_name(route.name);
        record.set_address(route.address);
        record.set_port(route.port);
        record.set_kind(static_cast<std::uint32_t>(route.kind));
        record.set_timeout_ms(static_cast<std::uint32_t>(route.timeout.count()));
        record.set_objective_ms(static_cast<std::uint32_t>(route.latencyObjective.count()));
        record.set_priority(route.priority);
        for (const WeightedService& weighted : route.services) {
            record.add_services(indexOf(document, weighted.service));
            record.add_weights(weighted.weight);
        }
    }

    void writeSlowStarts(const RoutingDocument& document, schema::RoutingTable& table)
    {
        for (const auto& [service, slowStart] : document.slowStarts) {
            schema::SlowStartRecord& record = *table.add_slow_starts();
            record.set_service(indexOf(document, service));
            record.set_duration_ms(static_cast<std::uint32_t>(slowStart.duration.count()));
            record.set_rate(slowStart.rate);
        }
    }

    bool readSlowStarts(const schema::RoutingTable& table, RoutingDocument& document)
    {
        for (const schema::SlowStartRecord& record : table.slow_starts()) {
            const bool isValid = record.service() < static_cast<std::uint32_t>(table.services_size())
                && std::isfinite(record.rate()) && record.rate() >= 0;
            if (!isValid)
                return false;
            const std::string& service = table.services(static_cast<int>(record.service()));
            document.slowStarts[service] = { Duration(record.duration_ms()), record.rate() };
        }
        return true;
    }

    bool readServices(const schema::RoutingTable& table, const schema::RouteRecord& record, Route& route)
    {
        if (record.services_size() == 0 || record.services_size() != record.weights_size())
            return false;
        for (int i = 0; i < record.services_size(); ++i) {
            if (record.services(i) >= static_cast<std::uint32_t>(table.services_size()))
                return false;
            route.services.push_back({ table.services(static_cast<int>(record.services(i))), record.weights(i) });
        }
        return true;
    }

    bool readRoute(const schema::RoutingTable& table, const schema::RouteRecord& record, Route& route)
    {
        if (record.kind() > static_cast<std::uint32_t>(RequestKind::Upload) || record.port() > UINT16_MAX)
            return false;
        route.name = record.name();
        route.address = record.address();
        route.port = static_cast<std::uint16_t>(record.port());
        route.kind = static_cast<RequestKind>(record.kind());
        route.timeout = Duration(record.timeout_ms());
        route.latencyObjective = Duration(record.objective_ms());
        route.priority = record.priority();
        return readServices(table, record, route);
    }

}

schema::RoutingTable toProto(const RoutingDocument& document)
{
    schema::RoutingTable table;
    table.set_version(document.version);
    for (const std::string& service : document.services)
        table.add_services(service);
    for (const Route& route : document.routes)
        writeRoute(document, route, *table.add_routes());
    table.set_idle_timeout_ms(static_cast<std::uint32_t>(document.idleTimeout.count()));
    writeSlowStarts(document, table);
    return table;
}

std::optional<RoutingDocument> fromProto(const schema::RoutingTable& table)
{
    RoutingDocument document;
    document.version = table.version();
    document.services.assign(table.services().begin(), table.services().end());
    document.routes.reserve(static_cast<std::size_t>(table.routes_size()));
    for (const schema::RouteRecord& record : table.routes()) {
        if (!readRoute(table, record, document.routes.emplace_back()))
            return std::nullopt;
    }
    document.idleTimeout = Duration(table.idle_timeout_ms());
    if (!readSlowStarts(table, document))
        return std::nullopt;
    return document;
}

}
