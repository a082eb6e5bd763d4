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

void LoadReporter::scheduleReport()
{
    if (std::exchange(m_isScheduled, true))
        return;
    const Duration interval = m_pacer.localInterval(m_reportedLoad.size(), m_peers.group.size());
    m_timer.startAt(std::max(m_loop.now(), m_lastGroupReport + interval));
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
    m_steering.setEvidence(report, m_lastGroupReport, now);
    std::string load = report.SerializeAsString();
    const Duration interval = m_pacer.localInterval(load.size(), m_peers.group.size());
    if (load == m_reportedLoad && now - m_lastGroupReport < LoadReportPacer::repeatInterval(interval))
        return;
    m_reportedLoad = std::move(load);
    report.set_sequence(sequence);
    sendTo(m_peers.group, report, interval);
    m_lastGroupReport = now;
    // Each other host gets one of several reports, which has to contain the evidence of the others.
    sendInRotation(m_localRotation, m_peers.otherLocal, m_localReportInterval, report);
    // A target that this host cannot reach may be reachable from other data centres.
    report.clear_unreachable_cookies();
    sendInRotation(m_remoteRotation, m_peers.remote, m_remoteReportInterval, report);
    m_socket.flush();
}

void LoadReporter::sendInRotation(
    ReportRotation& rotation, std::span<const Endpoint> peers, Duration& interval, schema::TargetLoadReport& report)
{
    if (peers.empty())
        return;
    const TimePoint now = m_loop.now();
    m_steering.setEvidence(report, now - interval, now);
    interval = m_pacer.remoteInterval(report.ByteSizeLong(), peers.size());
    sendTo(rotation.takeDue(peers, interval, now), report, interval);
}

void LoadReporter::sendTo(std::span<const Endpoint> peers, schema::TargetLoadReport& report, Duration interval)
{
    report.set_valid_ms(static_cast<std::uint32_t>(LoadReportPacer::validity(interval).count()));
    const std::string bytes = report.SerializeAsString();
    for (const Endpoint& peer : peers)
        m_socket.queue(peer, {}, std::as_bytes(std::span(bytes)));
}

}
