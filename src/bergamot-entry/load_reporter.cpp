#include "bergamot-entry/load_reporter.h"

#include <algorithm>
#include <utility>

namespace bergamotroute {

namespace {

    constexpr std::size_t reportBytes = 8192;
    constexpr double bytesPerMegabit = 1e6 / 8;

}

LoadReporter::LoadReporter(EventLoop& loop, CookieSteering& steering, double linkMbps)
    : m_loop(loop)
    , m_steering(steering)
    , m_socket(reportBytes)
    , m_pacer(linkMbps * bytesPerMegabit)
    , m_timer(loop, [this] {
        m_isScheduled = false;
        send();
    })
{
}

std::error_code LoadReporter::open(const Endpoint& local)
{
    if (const std::error_code error = m_socket.open(local))
        return error;
    m_watch = std::make_unique<ReadWatch>(m_loop, m_socket.descriptor(), [this] { receive(); });
    return {};
}

void LoadReporter::setPeers(std::vector<Endpoint> near, std::vector<Endpoint> far)
{
    m_nearPeers = std::move(near);
    m_farPeers = std::move(far);
}

void LoadReporter::schedule()
{
    if (std::exchange(m_isScheduled, true))
        return;
    const Duration interval = m_pacer.localInterval(m_reportedLoad.size(), m_nearPeers.size());
    m_timer.startAt(std::max(m_loop.now(), m_lastNearReport + interval));
}

void LoadReporter::receive()
{
    m_socket.receive([this](std::span<const std::byte> datagram, const Endpoint&) {
        schema::TargetLoadReport report;
        if (report.ParseFromArray(datagram.data(), static_cast<int>(datagram.size())))
            m_steering.handleReport(report, m_loop.now());
        else
            ++m_unreadable;
    });
}

void LoadReporter::send()
{
    const TimePoint now = m_loop.now();
    schema::TargetLoadReport report = m_steering.makeReport();
    const std::uint64_t sequence = report.sequence();
    report.clear_sequence();
    std::string load = report.SerializeAsString();
    const Duration nearInterval = m_pacer.localInterval(load.size(), m_nearPeers.size());
    if (load == m_reportedLoad && now - m_lastNearReport < LoadReportPacer::repeatInterval(nearInterval))
        return;
    const Duration farInterval = m_pacer.remoteInterval(load.size(), m_farPeers.size());
    m_reportedLoad = std::move(load);
    report.set_sequence(sequence);
    sendTo(m_nearPeers, report, nearInterval);
    m_lastNearReport = now;
    // What this host cannot reach says nothing about other data centres.
    report.clear_unreachable_cookies();
    sendTo(m_farRotation.takeDue(m_farPeers, farInterval, now), report, farInterval);
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
