/// @file
/// Stand-in of the platform's fabric: callers connect to service addresses on loopback, packets are sprayed over the
/// entry hosts, answers come back from the backend servers.

#include "libbergamotio/http_server.h"
#include "libbergamotio/json_schema.h"
#include "standins/common/sprayer.h"
#include "standins/fabric/service_sockets.h"

#include <csignal>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>

DEFINE_string(configuration, "", "Configuration in JSON; its services are opened.");
DEFINE_string(local, "", "Address and UDP port for answers of backend servers.");
DEFINE_string(entry_hosts, "", "Fabric listeners of the entry hosts, separated by commas.");
DEFINE_string(control, "", "Address and port of the HTTP listener that changes the entry hosts; empty opens none.");
DEFINE_uint64(seed, 1, "Seed of the spraying and of the faults.");
DEFINE_uint32(drop_percent, 0, "Share of packets that are lost.");
DEFINE_uint32(duplicate_percent, 0, "Share of packets that are sent twice.");
DEFINE_uint32(delay_percent, 0, "Share of packets that are delayed and so reordered.");
DEFINE_uint32(delay_ms, 20, "Longest delay.");

namespace {

using namespace bergamotroute;

int fail(const std::string& message)
{
    std::cerr << "bergamot-fabric: " << message << '\n';
    return 1;
}

std::vector<Endpoint> parseEndpoints(const std::string& text, std::error_code& error)
{
    std::vector<Endpoint> result;
    std::istringstream items(text);
    for (std::string item; std::getline(items, item, ',') && !error;)
        result.push_back(Endpoint::parse(item, error));
    return result;
}

/// POST /entry_hosts?set=LIST replaces the entry hosts, as a platform does that has noticed a dead one.
std::error_code openControl(HttpServer& server, Sprayer& sprayer)
{
    server.route("POST", "/entry_hosts", HttpAccess::Open, [&sprayer](const std::shared_ptr<HttpExchange>& exchange) {
        std::error_code error;
        const std::vector<Endpoint> hosts = parseEndpoints(exchange->query("set"), error);
        if (!error)
            sprayer.setHosts(hosts);
        exchange->reply(error ? HttpStatus::BadRequest : HttpStatus::Ok, error ? "bad list\n" : "ok\n");
    });
    std::error_code error;
    const Endpoint local = Endpoint::parse(FLAGS_control, error);
    return error ? error : server.listen(local);
}

}

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    schema::Configuration configuration;
    if (const InputError error = loadJsonMessage(FLAGS_configuration, configuration))
        return fail(error.message);
    std::error_code error;
    const Endpoint local = Endpoint::parse(FLAGS_local, error);
    const std::vector<Endpoint> hosts = parseEndpoints(FLAGS_entry_hosts, error);
    if (error)
        return fail("bad endpoint");
    EventLoop loop;
    Sprayer* sprayerPointer = nullptr;
    const auto send = [&](std::span<const std::byte> packet) { sprayerPointer->send(packet); };
    PacketPort port(loop, FLAGS_seed, send);
    const SprayFaults faults { FLAGS_drop_percent, FLAGS_duplicate_percent, FLAGS_delay_percent,
        Duration(FLAGS_delay_ms) };
    Sprayer sprayer(loop, port.socket(), FLAGS_seed, faults);
    sprayerPointer = &sprayer;
    sprayer.setHosts(hosts);
    if (port.open(local))
        return fail("cannot bind " + FLAGS_local);
    ServiceSockets sockets(loop, port, send);
    port.setUdpHandler([&](const PacketView& packet) { sockets.handleUdpAnswer(packet); });
    for (const schema::Service& service : configuration.services()) {
        if (sockets.open(service))
            return fail("cannot bind " + service.address());
    }
    HttpServer control(loop);
    if (!FLAGS_control.empty() && openControl(control, sprayer))
        return fail("cannot bind " + FLAGS_control);
    loop.onSignal(SIGTERM, [&] { loop.stop(); });
    loop.run();
    return 0;
}
