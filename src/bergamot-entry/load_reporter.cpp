#include "bergamot-entry/load_reporter.h"

#include <algorithm>
#include <utility>

namespace bergamotroute {

namespace {

    constexpr std::size_t maxReportBytes = 8192;

}

LoadReporter::LoadReporter(EventLoop& loop, CookieSteering& steering, double linkBytesPerSecond)
    : m_loop(loop)
    , m_steering(steering)
    , m_socket(maxReportBytes)
    , m_pacer(linkBytesPerSecond)
    , m_timer(loop, [this] {
        m_isScheduled = false;
        send();
    })
{
}

std::error_code LoadReporter::open(const Endpoint& localEndpoint)
{
    if (const std::error_code error = m_socket.open(localEndpoint))
        return error;
    m_watch = std::make_unique<ReadWatch>(m_loop, m_socket.descriptor(), [this] { receive(); });
    return {};
}

void LoadReporter::setPeers(std::vector<Endpoint> localPeers, std::vector<Endpoint> remotePeers)
{
    m_localPeers = std::move(localPeers);
    m_remotePeers = std::move(remotePeers);
}

void LoadReporter::scheduleReport()
{
    if (std::exchange(m_isScheduled, true))
        return;
    const Duration interval = m_pacer.localInterval(m_reportedLoad.size(), m_localPeers.size());
    m_timer.startAt(std::max(m_loop.now(), m_lastLocalReport + interval));
}

void LoadReporter::receive()
{
    m_socket.receive([this](std::span<const std::byte> datagram, const Endpoint&) {
        schema::TargetLoadReport report;
        if (report.ParseFromArray(datagram.data(), static_cast<int>(datagram.size())))
            m_steering.handleReport(report, m_loop.now());
        else
            ++m_malformedReports;
    });
}

void LoadReporter::send()
{
    const TimePoint now = m_loop.now();
    schema::TargetLoadReport report = m_steering.makeReport();
    const std::uint64_t sequence = report.sequence();
    report.clear_sequence();
    m_steering.setEvidence(report, m_lastLocalReport, now);
    std::string load = report.SerializeAsString();
    const Duration localReportInterval = m_pacer.localInterval(load.size(), m_localPeers.size());
    if (load == m_reportedLoad && now - m_lastLocalReport < LoadReportPacer::repeatInterval(localReportInterval))
        return;
    const std::size_t loadBytes = load.size();
    m_reportedLoad = std::move(load);
    report.set_sequence(sequence);
    sendTo(m_localPeers, report, localReportInterval);
    m_lastLocalReport = now;
    // A target that this host cannot reach may be reachable from other data centres.
    report.clear_unreachable_cookies();
    // Each remote host gets one of several reports, which has to contain the evidence of the others.
    const std::size_t localBytes = report.ByteSizeLong();
    m_steering.setEvidence(report, now - m_remoteReportInterval, now);
    const std::size_t remoteBytes = loadBytes + report.ByteSizeLong() - localBytes;
    m_remoteReportInterval = m_pacer.remoteInterval(remoteBytes, m_remotePeers.size());
    sendTo(m_remoteRotation.takeDue(m_remotePeers, m_remoteReportInterval, now), report, m_remoteReportInterval);
    m_socket.flush();
}

void LoadReporter::sendTo(std::span<const Endpoint> peers, schema::TargetLoadReport& report, Duration interval)
{
    report.set_valid_ms(static_cast<std::uint32_t>(LoadReportPacer::validity(interval).count()));
    const std::string bytes = report.SerializeAsString();
    for (const Endpoint& peer : peers)
        m_socket.queue(peer, {}, std::as_bytes(std::span(bytes)));
}

}
