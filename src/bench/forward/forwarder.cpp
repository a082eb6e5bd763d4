#include "bench/forward/forwarder.h"

#include "bench/forward/bare_relay.h"
#include "bergamotroute/result_code.h"
#include "libbergamotio/socket_address.h"

#include <fstream>
#include <unistd.h>
#include <vector>

namespace bergamotroute {

namespace {

    constexpr int socketBufferBytes = 4 * 1024 * 1024;

    Endpoint place(const std::string& net, const std::string& rest)
    {
        std::error_code error;
        return Endpoint::parse(net + rest, error);
    }

    void writeSettings(const DaemonPlaces& places, const std::string& address)
    {
        std::ofstream(places.folder + "/entry.json")
            << R"({ "host": "entry-1", "data_centre": "dc1", "fabric_listen": ")" << places.fabric.toString()
            << R"(", "peer_listen": ")" << address << R"(:7001", "announce_listen": ")" << places.announce.toString()
            << R"(", "operators": { "listen": ")" << address
            << R"(:7003" }, "peers": [ { "host": "entry-1", "data_centre": "dc1", "endpoint": ")" << address
            << R"(:7001" } ], "log": { "level": "error" } })";
        std::ofstream(places.folder + "/configuration.json")
            << R"({ "revision": 1, "flow_hash_key": 1, "services": [ { "name": "bench", "address": ")"
            << places.service.address.toString() << R"(", "ports": [ )" << places.service.port
            << R"( ], "protocol": "TCP", "allowed_networks": [ "127.0.0.0/8" ] } ], "data_centres": [ { "name": "dc1" } ] })";
    }

}

std::unique_ptr<ChildProcess> startBareRelay(const Endpoint& target, Endpoint& listen, std::error_code& error)
{
    const int descriptor = socket(AF_INET, SOCK_DGRAM, 0);
    const SocketAddress address = toSocketAddress(Endpoint::parse("127.0.0.1:0", error));
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &socketBufferBytes, sizeof(socketBufferBytes));
    setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &socketBufferBytes, sizeof(socketBufferBytes));
    std::unique_ptr<ChildProcess> relay;
    if (bind(descriptor, address.get(), address.length) == 0) {
        listen = localEndpoint(descriptor);
        relay = ChildProcess::fork([&] { runBareRelay(descriptor, target); }, error);
    } else {
        error = ResultCode::AddressUnavailable;
    }
    close(descriptor);
    return relay;
}

DaemonPlaces choosePlaces(const std::string& folder)
{
    constexpr int networks = 250;
    const int pid = getpid();
    const std::string net
        = "127." + std::to_string(64 + pid / networks % 128) + '.' + std::to_string(1 + pid % networks) + '.';
    return { folder, place(net, "11:7000"), place(net, "11:7002"), place(net, "1:8080"), place(net, "101:6080") };
}

std::unique_ptr<ChildProcess> startDaemon(
    const std::string& program, const DaemonPlaces& places, std::error_code& error)
{
    writeSettings(places, places.fabric.address.toString());
    const std::vector<std::string> arguments { "--settings=" + places.folder + "/entry.json",
        "--configuration=" + places.folder + "/configuration.json" };
    return ChildProcess::start(program, arguments, error);
}

}
