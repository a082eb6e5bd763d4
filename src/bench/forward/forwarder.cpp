#include "bench/forward/forwarder.h"

#include "bench/forward/bare_relay.h"
#include "libbergamotio/socket_address.h"

#include <csignal>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>

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

ChildProcess::~ChildProcess()
{
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
}

double ChildProcess::processorSeconds() const
{
    // User and system time are the 12th and 13th field after the program name (proc(5)).
    constexpr int fieldsBefore = 11;
    std::ifstream file("/proc/" + std::to_string(m_pid) + "/stat");
    std::string line;
    std::getline(file, line);
    std::istringstream fields(line.substr(line.rfind(')') + 2));
    std::string skipped;
    for (int i = 0; i < fieldsBefore; ++i)
        fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

pid_t startBareRelay(const Endpoint& target, Endpoint& listen)
{
    const int descriptor = socket(AF_INET, SOCK_DGRAM, 0);
    std::error_code error;
    const SocketAddress address = toSocketAddress(Endpoint::parse("127.0.0.1:0", error));
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &socketBufferBytes, sizeof(socketBufferBytes));
    setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &socketBufferBytes, sizeof(socketBufferBytes));
    if (bind(descriptor, address.get(), address.length) != 0)
        return -1;
    listen = localEndpoint(descriptor);
    const pid_t pid = fork();
    if (pid == 0)
        runBareRelay(descriptor, target);
    close(descriptor);
    return pid;
}

DaemonPlaces choosePlaces(const std::string& folder)
{
    constexpr int networks = 250;
    const int pid = getpid();
    const std::string net
        = "127." + std::to_string(64 + pid / networks % 128) + '.' + std::to_string(1 + pid % networks) + '.';
    return { folder, place(net, "11:7000"), place(net, "11:7002"), place(net, "1:8080"), place(net, "101:6080") };
}

pid_t startDaemon(const std::string& program, const DaemonPlaces& places)
{
    writeSettings(places, places.fabric.address.toString());
    std::string settings = "--settings=" + places.folder + "/entry.json";
    std::string configuration = "--configuration=" + places.folder + "/configuration.json";
    std::string name = program;
    char* arguments[] = { name.data(), settings.data(), configuration.data(), nullptr };
    pid_t pid = -1;
    return posix_spawn(&pid, program.c_str(), nullptr, nullptr, arguments, environ) == 0 ? pid : -1;
}

}
