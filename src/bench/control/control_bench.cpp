/// @file
/// Measures the control hosts: changes a second, restart after many changes, and bytes on disk. Prints JSON lines.

#include "control/control_client.h"
#include "control/control_processes.h"

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <gflags/gflags.h>
#include <iostream>
#include <memory>
#include <thread>

DEFINE_string(control, "build/bin/bergamot-control", "Program to measure.");
DEFINE_string(folder, "", "Folder for data; empty takes one in the temporary folder.");
DEFINE_int32(changes, 4300, "Changes in all.");
DEFINE_int32(sequential, 300, "Changes sent one after another before the concurrent ones.");
DEFINE_int32(clients, 16, "Concurrent clients.");

namespace bergamotroute::bench {

namespace {

    using SteadyClock = std::chrono::steady_clock;

    double secondsSince(SteadyClock::time_point start)
    {
        return std::chrono::duration<double>(SteadyClock::now() - start).count();
    }

    std::string changeBody(int number)
    {
        const std::string id = "bench-" + std::to_string(number);
        if (number == 0)
            return "{\"request_id\":\"" + id
                + "\",\"changes\":[{\"add_service\":{\"name\":\"ordering\",\"address\":\"10.0.0.1\",\"ports\":[443]}}]"
                  "}";
        // 18 targets change again and again, as in a deployment of today.
        return "{\"request_id\":\"" + id
            + "\",\"changes\":[{\"set_backend\":{\"service\":\"ordering\",\"address\":\"10.1.0."
            + std::to_string(number % 18 + 1) + "\",\"weight_percent\":" + std::to_string(number % 100) + "}}]}";
    }

    /// Sends changes through several connections until a number is reached.
    class ChangeRun {
    public:
        ChangeRun(EventLoop& loop, std::uint16_t port, int first, int end)
            : m_loop(loop)
            , m_port(port)
            , m_next(first)
            , m_end(end)
        {
        }

        /// @return false if a change was not accepted.
        bool run(int clients)
        {
            for (int i = 0; i < clients; ++i) {
                m_clients.push_back(std::make_unique<ControlClient>(m_loop, m_port));
                ++m_active;
                sendNext(*m_clients.back());
            }
            m_loop.run();
            return m_failed == 0;
        }

        /// @return a latency in ms at a share from 0 to 1.
        double latency(double share)
        {
            std::sort(m_latencies.begin(), m_latencies.end());
            return m_latencies[static_cast<std::size_t>(share * static_cast<double>(m_latencies.size() - 1))] * 1000;
        }

    private:
        void sendNext(ControlClient& client)
        {
            if (m_next >= m_end || m_failed > 0) {
                if (--m_active == 0)
                    m_loop.stop();
                return;
            }
            const auto start = SteadyClock::now();
            client.send(
                "/v1/command", changeBody(m_next++), [this, &client, start](int status, const std::string& body) {
                    m_latencies.push_back(secondsSince(start));
                    if (status != 200) {
                        ++m_failed;
                        std::cerr << "not accepted: " << status << ' ' << body << '\n';
                    }
                    sendNext(client);
                });
        }

        EventLoop& m_loop;
        std::uint16_t m_port;
        int m_next;
        int m_end;
        int m_active = 0;
        int m_failed = 0;
        std::vector<std::unique_ptr<ControlClient>> m_clients;
        std::vector<double> m_latencies;
    };

    const ControlProcess* waitForLeader(EventLoop& loop, const std::vector<ControlProcess>& hosts)
    {
        for (int attempt = 0; attempt < 5000; ++attempt) {
            for (const ControlProcess& host : hosts) {
                if (get(loop, host.httpPort, "/v1/state").find("\"lease_valid\":true") != std::string::npos)
                    return &host;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        }
        return nullptr;
    }

    bool measureChanges(EventLoop& loop, std::uint16_t port, int first, int end, int clients)
    {
        ChangeRun changes(loop, port, first, end);
        const auto start = SteadyClock::now();
        if (!changes.run(clients))
            return false;
        const double seconds = secondsSince(start);
        std::cout << "{\"benchmark\":\"control_changes\",\"clients\":" << clients << ",\"changes\":" << end - first
                  << ",\"changes_per_second\":" << (end - first) / seconds
                  << ",\"latency_median_ms\":" << changes.latency(0.5)
                  << ",\"latency_p99_ms\":" << changes.latency(0.99) << "}\n";
        return true;
    }

    bool measureRestart(EventLoop& loop, std::vector<ControlProcess>& hosts)
    {
        const std::uint64_t bytes = dataBytes(hosts[0]);
        for (ControlProcess& host : hosts)
            killControlHost(host);
        const auto start = SteadyClock::now();
        if (!startControlHost(FLAGS_control, hosts[0]))
            return false;
        std::string state;
        while (state.empty() && secondsSince(start) < 10)
            state = get(loop, hosts[0].httpPort, "/v1/state");
        const double loaded = secondsSince(start);
        for (std::size_t i = 1; i < hosts.size(); ++i)
            startControlHost(FLAGS_control, hosts[i]);
        const bool led = waitForLeader(loop, hosts) != nullptr;
        std::cout << "{\"benchmark\":\"control_restart\",\"changes\":" << FLAGS_changes << ",\"data_bytes\":" << bytes
                  << ",\"first_answer_ms\":" << loaded * 1000
                  << ",\"quorum_after_kill_of_all_ms\":" << secondsSince(start) * 1000 << "}\n";
        return led;
    }

    bool runAll(std::vector<ControlProcess>& hosts)
    {
        EventLoop loop;
        for (ControlProcess& host : hosts) {
            if (!startControlHost(FLAGS_control, host))
                return false;
        }
        const ControlProcess* leader = waitForLeader(loop, hosts);
        return leader && measureChanges(loop, leader->httpPort, 0, FLAGS_sequential, 1)
            && measureChanges(loop, leader->httpPort, FLAGS_sequential, FLAGS_changes, FLAGS_clients)
            && measureRestart(loop, hosts);
    }

}

}

int main(int argc, char** argv)
{
    using namespace bergamotroute::bench;
    gflags::SetUsageMessage("bergamot-control-bench [--control PROGRAM] [--changes N] [--clients N]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::string folder = FLAGS_folder.empty()
        ? (std::filesystem::temp_directory_path() / "bergamot-control-bench").string()
        : FLAGS_folder;
    std::vector<ControlProcess> hosts = prepareControlHosts(folder, 3);
    const bool succeeded = runAll(hosts);
    for (ControlProcess& host : hosts)
        killControlHost(host);
    std::filesystem::remove_all(folder);
    return succeeded ? 0 : 1;
}
