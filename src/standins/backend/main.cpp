/// @file
/// Stand-in of a backend server: decapsulates, ends TCP, serves HTTP and announces itself.

#include "bergamotroute/result_code.h"
#include "libbergamotio/socket_address.h"
#include "standins/backend/announcer.h"
#include "standins/backend/backend_server.h"
#include "standins/common/tcp_bridge.h"

#include <csignal>
#include <event2/bufferevent.h>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>
#include <sys/resource.h>

DEFINE_string(name, "backend", "Name in answers.");
DEFINE_string(service, "", "Service to announce.");
DEFINE_string(service_address, "", "Service address; packets to other addresses are dropped.");
DEFINE_string(local, "", "Address and UDP port for encapsulated packets.");
DEFINE_string(platform, "", "Address and port of health, load and control over HTTP.");
DEFINE_string(fabric, "", "Address and UDP port of the fabric, for answers.");
DEFINE_string(announce, "", "Announce listeners of the entry hosts, separated by commas.");
DEFINE_string(data_centre, "dc1", "Data centre.");
DEFINE_string(journal, "", "File that gets the identity of each order that ran.");
DEFINE_uint32(slots, 2, "Slots.");
DEFINE_uint32(queue, 100, "Requests that may wait for a slot; more are shed.");
DEFINE_uint32(service_ms, 5, "Time for which a request holds its slot.");
DEFINE_uint32(cold_seconds, 0, "Time after the start in which requests take four times as long.");
DEFINE_uint32(lease_seconds, 6, "Lease of the announcement.");
DEFINE_uint32(load_lag_ms, 0, "Age of load reports.");
DEFINE_uint32(health_lag_ms, 0, "Delay of health answers.");
DEFINE_string(load_lie, "", "Lie of the load endpoint: idle or busy.");
DEFINE_uint64(seed, 1, "Seed of the initial sequence numbers.");

namespace {

using namespace bergamotroute;

int fail(const std::string& message)
{
    std::cerr << "bergamot-backend: " << message << '\n';
    return 1;
}

/// Each caller's connection takes two descriptors.
void raiseDescriptorLimit()
{
    rlimit limit {};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

BackendOptions optionsFromFlags()
{
    BackendOptions options;
    options.name = FLAGS_name;
    options.journal = FLAGS_journal;
    options.slots = FLAGS_slots;
    options.queueLimit = FLAGS_queue;
    options.serviceTime = Duration(FLAGS_service_ms);
    options.coldTime = std::chrono::seconds(FLAGS_cold_seconds);
    options.loadLag = Duration(FLAGS_load_lag_ms);
    options.healthLag = Duration(FLAGS_health_lag_ms);
    if (FLAGS_load_lie == "idle")
        options.loadLie = LoadLie::Idle;
    else if (FLAGS_load_lie == "busy")
        options.loadLie = LoadLie::Busy;
    return options;
}

std::vector<std::string> splitList(const std::string& text)
{
    std::vector<std::string> result;
    std::istringstream items(text);
    for (std::string item; std::getline(items, item, ',');)
        result.push_back(item);
    return result;
}

schema::Announcement makeAnnouncement(const Endpoint& local, const BackendServer& server, std::uint64_t incarnation)
{
    const std::string platform = "http://" + server.platform().toString();
    schema::Announcement announcement;
    announcement.set_service(FLAGS_service);
    announcement.set_address(local.address.toString());
    announcement.set_fou_port(local.port);
    announcement.set_slots(FLAGS_slots);
    announcement.set_data_centre(FLAGS_data_centre);
    announcement.set_state(server.state());
    announcement.set_lease_seconds(FLAGS_lease_seconds);
    announcement.set_health_url(platform + "/health");
    announcement.set_load_url(platform + "/load");
    announcement.set_incarnation(incarnation);
    return announcement;
}

/// Joins each accepted connection with a new socket to the HTTP server.
void acceptConnections(EventLoop& loop, PacketPort& port, TcpBridges& bridges, const BackendServer& server)
{
    port.tcp().listen([&](const FlowKey& flow, const TcpConnectionPointer& connection) {
        const SocketAddress address = toSocketAddress(server.application());
        bufferevent* side = bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
        TcpBridge& bridge = bridges.add(flow, side);
        bridge.attach(connection);
        connection->setObserver(&bridge);
        bufferevent_socket_connect(side, address.get(), static_cast<int>(address.length));
    });
}

/// Echoes a UDP datagram behind the name of this server.
void answerUdp(PacketPort& port, const Endpoint& fabric, const PacketView& packet)
{
    const std::string text
        = FLAGS_name + ' ' + std::string(reinterpret_cast<const char*>(packet.payload.data()), packet.payload.size());
    port.socket().queue(fabric, {}, buildUdpPacket(reversed(packet.flow), std::as_bytes(std::span(text))));
}

}

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    raiseDescriptorLimit();
    std::error_code errors[4];
    const Endpoint local = Endpoint::parse(FLAGS_local, errors[0]);
    const Endpoint platform = Endpoint::parse(FLAGS_platform, errors[1]);
    const Endpoint fabric = Endpoint::parse(FLAGS_fabric, errors[2]);
    const IpAddress serviceAddress = IpAddress::parse(FLAGS_service_address, errors[3]);
    if (errors[0] || errors[1] || errors[2] || errors[3])
        return fail("bad address");
    EventLoop loop;
    PacketPort* sender = nullptr;
    PacketPort port(
        loop, FLAGS_seed, [&](std::span<const std::byte> packet) { sender->socket().queue(fabric, {}, packet); });
    sender = &port;
    TcpBridges bridges(loop, port);
    Announcer* announcerPointer = nullptr;
    BackendServer server(loop, optionsFromFlags(), [&] { announcerPointer->announce(); });
    if (server.open(platform))
        return fail("cannot bind " + FLAGS_platform);
    if (port.open(local))
        return fail("cannot bind " + FLAGS_local);
    const std::uint64_t incarnation = loop.wallMilliseconds();
    Announcer announcer(loop, splitList(FLAGS_announce), [&] { return makeAnnouncement(local, server, incarnation); });
    announcerPointer = &announcer;
    server.setConnectionCounter([&] { return static_cast<std::uint32_t>(bridges.size()); });
    port.setFilter([&](const PacketView& packet) { return packet.flow.destination == serviceAddress; });
    port.setUdpHandler([&](const PacketView& packet) { answerUdp(port, fabric, packet); });
    acceptConnections(loop, port, bridges, server);
    loop.onSignal(SIGTERM, [&] { announcer.withdraw([&] { loop.stop(); }); });
    announcer.announce();
    loop.run();
    return 0;
}
