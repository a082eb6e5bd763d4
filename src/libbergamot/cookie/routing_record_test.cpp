/// @file
/// Guards against a routing document with many routes whose transfer over a small link takes as long as a restart, and
/// against routing tables that would make an entry host send flows to a service that the document does not list, or
/// lose the limit on targets in slow start.

#include "bergamotroute/routing_record.h"

#include <cmath>
#include <doctest/doctest.h>
#include <limits>

using namespace bergamotroute;

namespace {

RoutingDocument makeDocument(std::uint32_t routes)
{
    RoutingDocument document;
    document.version = 1'234;
    document.services = { "orders", "manifests" };
    document.idleTimeout = Duration(15'000);
    document.slowStarts["manifests"] = { Duration(2500), 0.75 };
    for (std::uint32_t i = 0; i < routes; ++i) {
        Route route;
        route.name = "r-" + std::to_string(1'000'000 + i);
        route.address = 0xc6120001 + i / 100;
        route.port = static_cast<std::uint16_t>(8000 + i % 100);
        route.kind = static_cast<RequestKind>(i % 4);
        route.timeout = Duration(3000);
        route.latencyObjective = Duration(200);
        route.priority = i % 2;
        route.services = { { "manifests", 10 } };
        if (i % 2 == 0)
            route.services.push_back({ "orders", 90 });
        document.routes.push_back(route);
    }
    return document;
}

}

TEST_CASE("a routing document is unchanged after conversion to a message and back")
{
    const RoutingDocument document = makeDocument(6);
    const auto copy = fromProto(toProto(document));
    REQUIRE(copy);
    CHECK(copy->version == document.version);
    CHECK(copy->services == document.services);
    CHECK(copy->idleTimeout == document.idleTimeout);
    REQUIRE(copy->slowStarts.size() == 1);
    CHECK(copy->slowStarts.at("manifests").duration == Duration(2500));
    CHECK(copy->slowStarts.at("manifests").rate == 0.75);
    REQUIRE(copy->routes.size() == document.routes.size());
    for (std::size_t i = 0; i < document.routes.size(); ++i) {
        const Route& route = document.routes[i];
        const Route& read = copy->routes[i];
        CHECK(read.name == route.name);
        CHECK(read.address == route.address);
        CHECK(read.port == route.port);
        CHECK(read.kind == route.kind);
        CHECK(read.timeout == route.timeout);
        CHECK(read.latencyObjective == route.latencyObjective);
        CHECK(read.priority == route.priority);
        REQUIRE(read.services.size() == route.services.size());
        CHECK(read.services[0].service == route.services[0].service);
        CHECK(read.services[0].weight == route.services[0].weight);
    }
}

TEST_CASE("the message of 1,400 routes crosses a link of 3.1 Mbit/s within a quarter of a second")
{
    constexpr std::size_t bytesInQuarterSecond = 3'100'000 / 8 / 4;
    CHECK(toProto(makeDocument(1400)).ByteSizeLong() <= bytesInQuarterSecond);
}

TEST_CASE("a document without a rate in slow start has the same message as before that field existed")
{
    RoutingDocument document = makeDocument(2);
    document.slowStarts.clear();
    schema::RoutingTable table = toProto(makeDocument(2));
    table.clear_slow_starts();
    CHECK(toProto(document).SerializeAsString() == table.SerializeAsString());
}

TEST_CASE("a message is rejected if a slow start has no listed service or no valid rate")
{
    const schema::RoutingTable table = toProto(makeDocument(1));
    schema::RoutingTable changed = table;
    changed.mutable_slow_starts(0)->set_service(2);
    CHECK_FALSE(fromProto(changed));
    for (const double rate : { -1.0, std::numeric_limits<double>::quiet_NaN(), HUGE_VAL }) {
        changed = table;
        changed.mutable_slow_starts(0)->set_rate(rate);
        CHECK_FALSE(fromProto(changed));
    }
}

TEST_CASE("a message is rejected if a route has no listed service, no weights, or an invalid kind or port")
{
    const schema::RoutingTable table = toProto(makeDocument(1));
    schema::RoutingTable changed = table;
    changed.mutable_routes(0)->set_services(0, 2);
    CHECK_FALSE(fromProto(changed));
    changed = table;
    changed.mutable_routes(0)->clear_weights();
    CHECK_FALSE(fromProto(changed));
    changed = table;
    changed.mutable_routes(0)->clear_services();
    changed.mutable_routes(0)->clear_weights();
    CHECK_FALSE(fromProto(changed));
    changed = table;
    changed.mutable_routes(0)->set_kind(static_cast<std::uint32_t>(RequestKind::Upload) + 1);
    CHECK_FALSE(fromProto(changed));
    changed = table;
    changed.mutable_routes(0)->set_port(65'536);
    CHECK_FALSE(fromProto(changed));
}

TEST_CASE("a routing table with a name that is no UTF-8 is read")
{
    // Guards against a document that an earlier version accepted and that no entry host can put into force.
    RoutingDocument document = makeDocument(2);
    document.routes[0].name = "\xff\xfe";
    schema::RoutingTable table;
    REQUIRE(table.ParseFromString(toProto(document).SerializeAsString()));
    const std::optional<RoutingDocument> read = fromProto(table);
    REQUIRE(read.has_value());
    CHECK(read->routes[0].name == "\xff\xfe");
}
