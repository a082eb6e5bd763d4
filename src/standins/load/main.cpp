/// @file
/// Load stand-in: callers at packet level, in the place of the fabric. Prints reports as JSON lines.

#include "libbergamotio/http_client.h"
#include "standins/common/sprayer.h"
#include "standins/load/load_run.h"
#include "standins/load/process_usage.h"

#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>

DEFINE_string(local, "", "Address and UDP port for answers; backend servers use it as their fabric.");
DEFINE_string(entry_hosts, "", "Fabric listeners of the entry hosts, separated by commas.");
DEFINE_string(service, "", "Service address and port.");
DEFINE_uint64(seed, 1, "Seed of spraying, faults and identities.");
DEFINE_uint32(feeds, 0, "Feeds that stay open until the end.");
DEFINE_uint32(feeds_per_second, 2000, "Rate at which feeds are opened.");
DEFINE_uint32(feed_interval_ms, 5000, "Time between the lines of a feed.");
DEFINE_uint32(rate, 0, "Short flows a second.");
DEFINE_uint32(document_bytes, 1000, "Size of a document.");
DEFINE_uint32(seconds, 10, "Length of the run.");
DEFINE_uint32(backends, 0, "Backend servers that should share the flows; 0 counts those seen.");
DEFINE_uint32(drop_percent, 0, "Share of packets that are lost.");
DEFINE_uint32(duplicate_percent, 0, "Share of packets that are sent twice.");
DEFINE_uint32(delay_percent, 0, "Share of packets that are delayed and so reordered.");
DEFINE_uint32(delay_ms, 20, "Longest delay.");
DEFINE_string(journals, "", "Journals of the backend servers, checked at the end, separated by commas.");
DEFINE_string(processes, "", "Processes to measure: name=pid, separated by commas.");
DEFINE_string(metrics, "", "Metrics URLs of entry hosts, for control bytes, separated by commas.");
DEFINE_uint32(report_seconds, 5, "Time between reports.");

namespace {

using namespace bergamotroute;

std::vector<std::string> splitList(const std::string& text)
{
    std::vector<std::string> result;
    std::istringstream items(text);
    for (std::string item; std::getline(items, item, ',');)
        result.push_back(item);
    return result;
}

void print(const Json::Value& value)
{
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    writer["precision"] = 6;
    std::cout << Json::writeString(writer, value) << std::endl;
}

/// Reads the control bytes of entry hosts and prints a report at an interval.
class Reporter {
public:
    Reporter(EventLoop& loop, const LoadRun& run)
        : m_loop(loop)
        , m_run(run)
        , m_timer(loop, [this] { report(); })
    {
        m_timer.start(std::chrono::seconds(FLAGS_report_seconds));
    }

    void report()
    {
        Json::Value value = m_run.report();
        value["new_flows_per_second"]
            = (value["opened_flows"].asDouble() - m_lastOpened) / (value["seconds"].asDouble() - m_lastSeconds);
        m_lastOpened = value["opened_flows"].asDouble();
        m_lastSeconds = value["seconds"].asDouble();
        for (const auto& [name, pid] : parseProcesses(FLAGS_processes)) {
            const ProcessUsage usage = readProcessUsage(pid);
            value["processes"][name]["processor_seconds"] = usage.processorSeconds;
            value["processes"][name]["resident_mb"] = usage.residentMegabytes;
        }
        for (const auto& [url, rate] : m_controlRates)
            value["control_bytes_per_second"][url] = rate;
        print(value);
        for (const std::string& url : splitList(FLAGS_metrics))
            requestControlBytes(url);
        m_timer.start(std::chrono::seconds(FLAGS_report_seconds));
    }

private:
    void requestControlBytes(const std::string& url)
    {
        sendHttpRequest(m_loop, "GET", url, "", Duration(1000), [this, url](const HttpAnswer& answer) {
            const std::string key = "\nbergamotd_control_bytes_sent ";
            const std::size_t place = answer.body.find(key);
            if (place == std::string::npos)
                return;
            const double bytes = std::atof(answer.body.c_str() + place + key.size());
            const TimePoint now = m_loop.now();
            const auto last = m_lastControl.find(url);
            if (last != m_lastControl.end() && now > last->second.first) {
                const auto elapsed = static_cast<double>((now - last->second.first).count());
                m_controlRates[url] = (bytes - last->second.second) * 1000.0 / elapsed;
            }
            m_lastControl[url] = { now, bytes };
        });
    }

    EventLoop& m_loop;
    const LoadRun& m_run;
    Timer m_timer;
    double m_lastOpened = 0;
    double m_lastSeconds = 0;
    std::map<std::string, std::pair<TimePoint, double>> m_lastControl;
    std::map<std::string, double> m_controlRates;
};

/// Compares the journals with what callers saw.
/// @return orders that ran more than once, and answered orders that no journal has.
std::pair<std::uint64_t, std::uint64_t> checkJournals(const std::set<std::string>& answered)
{
    std::map<std::string, unsigned> runs;
    for (const std::string& file : splitList(FLAGS_journals)) {
        std::ifstream journal(file);
        for (std::string identity; std::getline(journal, identity);)
            ++runs[identity];
    }
    std::uint64_t repeated = 0;
    for (const auto& [identity, count] : runs)
        repeated += count > 1 ? 1 : 0;
    std::uint64_t missing = 0;
    for (const std::string& identity : answered)
        missing += runs.contains(identity) ? 0 : 1;
    return { repeated, missing };
}

LoadOptions optionsFromFlags(std::error_code& error)
{
    LoadOptions options;
    options.service = Endpoint::parse(FLAGS_service, error);
    options.seed = FLAGS_seed;
    options.feeds = FLAGS_feeds;
    options.feedsPerSecond = FLAGS_feeds_per_second;
    options.feedInterval = Duration(FLAGS_feed_interval_ms);
    options.shortFlowsPerSecond = FLAGS_rate;
    options.documentBytes = FLAGS_document_bytes;
    options.duration = std::chrono::seconds(FLAGS_seconds);
    options.backends = FLAGS_backends;
    return options;
}

int finish(const LoadRun& run)
{
    Json::Value value = run.report();
    std::uint64_t repeated = 0;
    std::uint64_t missing = 0;
    if (!FLAGS_journals.empty())
        std::tie(repeated, missing) = checkJournals(run.answeredOrders());
    value["final"] = true;
    value["orders_run_twice"] = Json::UInt64(repeated);
    value["answered_orders_not_in_journal"] = Json::UInt64(missing);
    print(value);
    return run.brokenFlows() == 0 && repeated == 0 && missing == 0 ? 0 : 1;
}

}

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::error_code error;
    const LoadOptions options = optionsFromFlags(error);
    std::error_code localError;
    const Endpoint local = Endpoint::parse(FLAGS_local, localError);
    std::vector<Endpoint> hosts;
    for (const std::string& host : splitList(FLAGS_entry_hosts)) {
        std::error_code hostError;
        hosts.push_back(Endpoint::parse(host, hostError));
        error = hostError ? hostError : error;
    }
    EventLoop loop;
    Sprayer* sprayerPointer = nullptr;
    PacketPort port(loop, FLAGS_seed, [&](std::span<const std::byte> packet) { sprayerPointer->send(packet); });
    if (error || localError || port.open(local)) {
        std::cerr << "bergamot-load: bad address, or " << FLAGS_local << " is in use\n";
        return 2;
    }
    Sprayer sprayer(loop, port.socket(), FLAGS_seed,
        { FLAGS_drop_percent, FLAGS_duplicate_percent, FLAGS_delay_percent, Duration(FLAGS_delay_ms) });
    sprayerPointer = &sprayer;
    sprayer.setHosts(hosts);
    LoadRun run(loop, port, options);
    const Reporter reporter(loop, run);
    run.start();
    loop.run();
    return finish(run);
}
