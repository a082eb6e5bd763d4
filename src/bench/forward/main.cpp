/// @file
/// Forwarding benchmark: bergamotd against a bare recvmmsg/sendmmsg relay on loopback, in turns in the same run.

#include "bench/forward/forwarder.h"
#include "bergamotroute/packet_builder.h"
#include "libbergamotio/http_client.h"
#include "libbergamotio/udp_socket.h"

#include <algorithm>
#include <atomic>
#include <filesystem>
#include <gflags/gflags.h>
#include <iostream>
#include <json/json.h>
#include <random>
#include <thread>
#include <vector>

DEFINE_string(bergamotd, "", "Path of bergamotd; empty takes the one beside this program.");
DEFINE_uint32(rounds, 5, "Rounds; each measures both forwarders.");
DEFINE_uint32(round_ms, 1000, "Length of a measurement.");
DEFINE_uint32(senders, 2, "Sending threads; enough of them keep the forwarder's core busy.");
DEFINE_uint32(flows, 1000, "Flows over which the datagrams are spread.");

namespace {

using namespace bergamotroute;

constexpr std::size_t innerBytes = 120;
constexpr std::size_t headerBytes = 40;

/// Results of one measurement.
struct Measurement {
    double perSecond = 0;
    double processorMicroseconds = 0;
    /// Share of one core that the forwarder used.
    double coreShare = 0;
};

std::vector<std::vector<std::byte>> makePackets(const Endpoint& service)
{
    const std::vector<std::byte> payload(innerBytes - headerBytes);
    std::vector<std::vector<std::byte>> packets;
    std::mt19937 random(1);
    for (std::uint32_t i = 0; i < FLAGS_flows; ++i) {
        const std::array<std::uint8_t, 4> caller { 10, 0, static_cast<std::uint8_t>(i >> 8),
            static_cast<std::uint8_t>(i) };
        const FlowKey flow { IpAddress::fromV4(caller), service.address, static_cast<std::uint16_t>(1024 + i),
            service.port, TransportProtocol::Tcp };
        packets.push_back(buildTcpPacket(flow, { TcpAck, static_cast<std::uint32_t>(random()), 1 }, payload));
    }
    return packets;
}

/// Sends as fast as one thread can.
void sendUntil(
    const std::atomic<bool>& stop, const Endpoint& forwarder, const std::vector<std::vector<std::byte>>& packets)
{
    UdpSocket source;
    std::error_code error;
    if (source.open(Endpoint::parse("127.0.0.1:0", error)))
        return;
    for (std::size_t next = 0; !stop; next = (next + 1) % packets.size())
        source.queue(forwarder, {}, packets[next]);
}

/// Sends as fast as the threads can and counts what arrives at the target.
Measurement measure(const Endpoint& forwarder, const std::vector<std::vector<std::byte>>& packets, UdpSocket& sink,
    const ChildProcess& process)
{
    std::atomic<bool> stop = false;
    std::vector<std::thread> senders;
    for (std::uint32_t i = 0; i < FLAGS_senders; ++i)
        senders.emplace_back([&] { sendUntil(stop, forwarder, packets); });
    std::uint64_t received = 0;
    const auto count = [&](std::span<const std::byte>, const Endpoint&) { ++received; };
    const auto runFor = [&](std::chrono::milliseconds length) {
        const auto end = std::chrono::steady_clock::now() + length;
        while (std::chrono::steady_clock::now() < end) {
            if (sink.receive(count) == 0)
                std::this_thread::yield();
        }
    };
    runFor(std::chrono::milliseconds(200));
    received = 0;
    const double processorBefore = process.processorSeconds();
    const auto begin = std::chrono::steady_clock::now();
    runFor(std::chrono::milliseconds(FLAGS_round_ms));
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - begin;
    const double processor = process.processorSeconds() - processorBefore;
    stop = true;
    for (std::thread& sender : senders)
        sender.join();
    runFor(std::chrono::milliseconds(100));
    const auto total = static_cast<double>(std::max<std::uint64_t>(received, 1));
    return { total / elapsed.count(), processor * 1e6 / total, processor / elapsed.count() };
}

/// Announces the target until bergamotd accepts it.
bool announce(const DaemonPlaces& places)
{
    const std::string body = R"({ "service": "bench", "address": ")" + places.target.address.toString()
        + R"(", "fou_port": )" + std::to_string(places.target.port)
        + R"(, "slots": 2, "data_centre": "dc1", "state": "READY", "lease_seconds": 300, "incarnation": 1 })";
    EventLoop loop;
    bool accepted = false;
    unsigned attempts = 0;
    Timer retry(loop, [&] {
        const std::string url = "http://" + places.announce.toString() + "/v1/announce";
        sendHttpRequest(loop, "POST", url, body, Duration(500), [&](const HttpAnswer& answer) {
            accepted = answer.status == 200;
            if (accepted || ++attempts > 50)
                loop.stop();
            else
                retry.start(Duration(100));
        });
    });
    retry.start(Duration(0));
    loop.run();
    return accepted;
}

/// @return the folder of this program's executable file.
std::string programFolder() { return std::filesystem::read_symlink("/proc/self/exe").parent_path(); }

double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

Json::Value summarize(const std::vector<Measurement>& measurements)
{
    std::vector<double> rates;
    std::vector<double> times;
    std::vector<double> shares;
    for (const Measurement& measurement : measurements) {
        rates.push_back(measurement.perSecond);
        times.push_back(measurement.processorMicroseconds);
        shares.push_back(measurement.coreShare);
    }
    Json::Value result(Json::objectValue);
    result["datagrams_per_second"] = median(rates);
    result["lowest"] = *std::min_element(rates.begin(), rates.end());
    result["highest"] = *std::max_element(rates.begin(), rates.end());
    result["processor_microseconds_per_datagram"] = median(times);
    result["core_share"] = median(shares);
    return result;
}

int runBenchmark(const std::string& folder)
{
    const DaemonPlaces places = choosePlaces(folder);
    UdpSocket sink;
    if (sink.open(places.target))
        return 1;
    Endpoint relayListen;
    std::error_code error;
    const std::unique_ptr<ChildProcess> relay = startBareRelay(places.target, relayListen, error);
    if (!relay) {
        std::cerr << "bergamot-forward-bench: cannot start the bare relay: " << error.message() << '\n';
        return 1;
    }
    const std::string program = FLAGS_bergamotd.empty() ? programFolder() + "/bergamotd" : FLAGS_bergamotd;
    const std::unique_ptr<ChildProcess> daemon = startDaemon(program, places, error);
    if (!daemon) {
        std::cerr << "bergamot-forward-bench: cannot start " << program << ": " << error.message() << '\n';
        return 1;
    }
    if (!announce(places)) {
        std::cerr << "bergamot-forward-bench: bergamotd does not accept the announcement\n";
        return 1;
    }
    // A lone entry host waits for peers before it builds its tables.
    std::this_thread::sleep_for(std::chrono::seconds(5));
    const auto packets = makePackets(places.service);
    std::vector<Measurement> bare;
    std::vector<Measurement> routed;
    for (std::uint32_t round = 0; round < FLAGS_rounds; ++round) {
        bare.push_back(measure(relayListen, packets, sink, *relay));
        routed.push_back(measure(places.fabric, packets, sink, *daemon));
    }
    Json::Value result(Json::objectValue);
    result["benchmark"] = "forward";
    result["inner_bytes"] = Json::UInt64(innerBytes);
    result["bare_relay"] = summarize(bare);
    result["bergamotd"] = summarize(routed);
    result["ratio"] = result["bergamotd"]["datagrams_per_second"].asDouble()
        / result["bare_relay"]["datagrams_per_second"].asDouble();
    result["processor_time_ratio"] = result["bare_relay"]["processor_microseconds_per_datagram"].asDouble()
        / result["bergamotd"]["processor_microseconds_per_datagram"].asDouble();
    result["target_ratio"] = 0.9;
    std::cout << result << std::endl;
    return 0;
}

}

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::string folder
        = std::filesystem::temp_directory_path() / ("bergamot-forward-bench." + std::to_string(getpid()));
    std::filesystem::create_directories(folder);
    const int status = runBenchmark(folder);
    std::filesystem::remove_all(folder);
    return status;
}
