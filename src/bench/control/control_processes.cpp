#include "control/control_processes.h"

#include "libbergamotio/socket_address.h"

#include <filesystem>
#include <fstream>
#include <iostream>
#include <sys/socket.h>
#include <unistd.h>

namespace bergamotroute::bench {

namespace {

    std::uint16_t freePort()
    {
        std::error_code error;
        const SocketAddress address = toSocketAddress(Endpoint::parse("127.0.0.1:0", error));
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const std::uint16_t port = ::bind(descriptor, address.get(), address.length) == 0
            ? localEndpoint(descriptor).port
            : std::uint16_t { 0 };
        ::close(descriptor);
        return port;
    }

    std::string jsonText(const std::string& text) { return '"' + text + '"'; }

    std::string endpointText(std::uint16_t port) { return jsonText("127.0.0.1:" + std::to_string(port)); }

    void writeSettings(const ControlProcess& host, const std::string& members)
    {
        std::ofstream(host.folder + "/token") << benchToken << '\n';
        std::ofstream(host.folder + "/settings.json")
            << "{\"host\": " << jsonText(host.name)
            << ", \"data_centre\": \"bench\", \"rpc_listen\": " << endpointText(host.rpcPort)
            << ", \"operators\": {\"listen\": " << endpointText(host.httpPort)
            << ", \"token_file\": " << jsonText(host.folder + "/token")
            << "}, \"data_folder\": " << jsonText(host.folder + "/data")
            << ", \"log\": {\"file\": " << jsonText(host.folder + "/log.txt") << "}, \"initial_members\": [" << members
            << "]}";
    }

}

std::vector<ControlProcess> prepareControlHosts(const std::string& folder, std::size_t count)
{
    std::filesystem::remove_all(folder);
    std::vector<ControlProcess> hosts(count);
    std::string members;
    for (std::size_t i = 0; i < count; ++i) {
        hosts[i].name = "control-" + std::to_string(i);
        hosts[i].folder = folder + '/' + hosts[i].name;
        hosts[i].rpcPort = freePort();
        hosts[i].httpPort = freePort();
        std::filesystem::create_directories(hosts[i].folder);
        members += std::string(i == 0 ? "" : ", ") + "{\"host\": " + jsonText(hosts[i].name)
            + ", \"rpc_endpoint\": " + endpointText(hosts[i].rpcPort) + '}';
    }
    for (const ControlProcess& host : hosts)
        writeSettings(host, members);
    return hosts;
}

bool startControlHost(const std::string& program, ControlProcess& host)
{
    const std::vector<std::string> arguments { "--settings", host.folder + "/settings.json" };
    std::error_code error;
    host.process = ChildProcess::start(program, arguments, error);
    if (error)
        std::cerr << "cannot start " << program << ": " << error.message() << '\n';
    return host.process != nullptr;
}

void killControlHost(ControlProcess& host) { host.process.reset(); }

std::uint64_t dataBytes(const ControlProcess& host)
{
    std::uint64_t bytes = 0;
    for (const auto& entry : std::filesystem::directory_iterator(host.folder + "/data"))
        bytes += entry.is_regular_file() ? entry.file_size() : 0;
    return bytes;
}

}
