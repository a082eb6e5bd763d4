/// @file
/// Entry point of bergamot-fabric, the stand-in for the platform's packet fabric and its callers.

#include "libbergamotio/event_loop.h"
#include "libbergamotio/http_server.h"
#include "libbergamotio/udp_socket.h"
#include "standins/fabric/caller_bridges.h"
#include "standins/fabric/packet_sprayer.h"

#include <csignal>
#include <gflags/gflags.h>
#include <iostream>
#include <json/json.h>
#include <sstream>

DEFINE_string(entry_hosts, "", "Comma-separated ip:port list of the entry hosts' fabric listeners.");
DEFINE_string(tcp_services, "", "Comma-separated ip:port list of TCP service addresses to listen on.");
DEFINE_string(udp_services, "", "Comma-separated ip:port list of UDP service addresses to listen on.");
DEFINE_string(listen, "127.0.0.1:0", "ip:port for packets that go back to callers.");
DEFINE_string(control, "127.0.0.1:0", "ip:port of the HTTP control interface.");
DEFINE_uint64(seed, 1, "Seed of the spray and of the faults.");

namespace bergamotroute {

namespace {

    std::vector<Endpoint> parseEndpoints(const std::string& list, std::error_code& error)
    {
        std::vector<Endpoint> endpoints;
        std::istringstream input(list);
        std::string item;
        while (std::getline(input, item, ',')) {
            endpoints.push_back(Endpoint::parse(item, error));
            if (error) {
                std::cerr << "not an ip:port: " << item << '\n';
                return {};
            }
        }
        return endpoints;
    }

    unsigned numberOf(const HttpExchange& exchange, const char* name)
    {
        return static_cast<unsigned>(std::strtoul(exchange.query(name).c_str(), nullptr, 10));
    }

    FabricFaults faultsOf(const HttpExchange& exchange)
    {
        FabricFaults faults;
        faults.dropPercent = numberOf(exchange, "drop");
        faults.duplicatePercent = numberOf(exchange, "duplicate");
        faults.reorderPercent = numberOf(exchange, "reorder");
        faults.delay = Duration(numberOf(exchange, "delay_ms"));
        return faults;
    }

    /// All parts of the fabric on one loop.
    class Fabric {
    public:
        explicit Fabric(std::uint64_t seed)
            : m_sprayer(m_loop, m_socket, seed)
            , m_callers(m_loop, m_sprayer, seed)
            , m_control(m_loop)
        {
        }

        bool start()
        {
            std::error_code error;
            m_sprayer.setEntryHosts(parseEndpoints(FLAGS_entry_hosts, error));
            if (error || listen(error)) {
                std::cerr << error.message() << '\n';
                return false;
            }
            m_watch = std::make_unique<ReadWatch>(m_loop, m_socket.descriptor(), [this] {
                m_socket.receive(
                    [this](std::span<const std::byte> packet, const Endpoint&) { m_callers.handleReturn(packet); });
            });
            addRoutes();
            for (int signal : { SIGTERM, SIGINT })
                m_loop.onSignal(signal, [this] { m_loop.stop(); });
            std::cout << "fabric " << m_socket.local().toString() << " control " << m_control.local().toString()
                      << std::endl;
            return true;
        }

        void run() { m_loop.run(); }

    private:
        std::error_code listen(std::error_code& error)
        {
            const Endpoint returnAddress = Endpoint::parse(FLAGS_listen, error);
            const Endpoint controlAddress = Endpoint::parse(FLAGS_control, error);
            if (!error)
                error = m_socket.open(returnAddress);
            if (!error)
                error = m_control.listen(controlAddress);
            for (const Endpoint& service : parseEndpoints(FLAGS_tcp_services, error)) {
                if (!error)
                    error = m_callers.listenTcp(service);
            }
            for (const Endpoint& service : parseEndpoints(FLAGS_udp_services, error)) {
                if (!error)
                    error = m_callers.listenUdp(service);
            }
            return error;
        }

        void addRoutes()
        {
            m_control.route(
                "POST", "/v1/faults", HttpAccess::Open, [this](const std::shared_ptr<HttpExchange>& exchange) {
                    m_sprayer.setFaults(faultsOf(*exchange));
                    exchange->reply(HttpStatus::Ok, "{}", "application/json");
                });
            m_control.route(
                "POST", "/v1/entry-hosts", HttpAccess::Open, [this](const std::shared_ptr<HttpExchange>& exchange) {
                    std::error_code error;
                    const std::vector<Endpoint> entryHosts = parseEndpoints(exchange->body(), error);
                    if (!error)
                        m_sprayer.setEntryHosts(entryHosts);
                    exchange->reply(error ? HttpStatus::BadRequest : HttpStatus::Ok, "{}", "application/json");
                });
            m_control.route(
                "GET", "/v1/state", HttpAccess::Open, [this](const std::shared_ptr<HttpExchange>& exchange) {
                    Json::Value state;
                    state["sprayed_packets"] = Json::UInt64(m_sprayer.sprayed());
                    state["open_connections"] = Json::UInt64(m_callers.openConnections());
                    state["entry_hosts"] = Json::UInt64(m_sprayer.entryHosts().size());
                    exchange->reply(HttpStatus::Ok, Json::FastWriter().write(state), "application/json");
                });
        }

        EventLoop m_loop;
        UdpSocket m_socket;
        PacketSprayer m_sprayer;
        CallerBridges m_callers;
        HttpServer m_control;
        std::unique_ptr<ReadWatch> m_watch;
    };

}

}

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("bergamot-fabric --entry_hosts=LIST --tcp_services=LIST --listen=IP:PORT");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    bergamotroute::Fabric fabric(FLAGS_seed);
    if (!fabric.start())
        return 1;
    fabric.run();
    return 0;
}
