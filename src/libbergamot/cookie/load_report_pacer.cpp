#include "bergamotroute/load_report_pacer.h"

#include "bergamotroute/link_state.h"

#include <algorithm>

namespace bergamotroute {

namespace {

    /// Minimum time between reports to hosts of the same data centre and of other ones, and the addition for each
    /// receiving host: receiving a report costs CPU time even if links are large.
    constexpr Duration minLocalInterval { 15 };
    constexpr Duration minRemoteInterval { 100 };
    constexpr Duration intervalPerPeer { 5 };
    /// Share of the link capacity for reports to hosts of the same data centre, and the same share again for reports to
    /// other data centres. A host receives about as much report traffic as it sends.
    constexpr double linkShare = 0.02;
    constexpr Duration minRepeatInterval { 500 };
    /// Consecutive reports that may be lost before a receiver drops the reported load.
    constexpr int toleratedLosses = 2;

}

Duration LoadReportPacer::bandwidthInterval(std::size_t reportBytes, std::size_t peers) const
{
    if (m_linkBytesPerSecond <= 0)
        return Duration(0);
    const double bytes = static_cast<double>((reportBytes + linkHeaderBytes) * peers);
    const std::chrono::duration<double> interval(bytes / (m_linkBytesPerSecond * linkShare));
    return std::chrono::ceil<Duration>(interval);
}

Duration LoadReportPacer::localInterval(std::size_t reportBytes, std::size_t peers) const
{
    return std::max(
        minLocalInterval + intervalPerPeer * static_cast<int>(peers), bandwidthInterval(reportBytes, peers));
}

Duration LoadReportPacer::remoteInterval(std::size_t reportBytes, std::size_t peers) const
{
    return std::max(
        minRemoteInterval + intervalPerPeer * static_cast<int>(peers), bandwidthInterval(reportBytes, peers));
}

Duration LoadReportPacer::repeatInterval(Duration interval) { return std::max(interval, minRepeatInterval); }

Duration LoadReportPacer::validity(Duration interval) { return repeatInterval(interval) * (toleratedLosses + 1); }

std::vector<Endpoint> ReportRotation::takeDue(std::span<const Endpoint> peers, Duration interval, TimePoint now)
{
    std::vector<Endpoint> due;
    if (peers.empty())
        return due;
    // Reports that were skipped while there was nothing to report are not made up for.
    m_sentUntil = std::max(m_sentUntil, now - interval);
    const auto count = static_cast<Duration::rep>(peers.size());
    const Duration::rep dueCount = (now - m_sentUntil).count() * count / interval.count();
    for (Duration::rep sent = 0; sent < dueCount; ++sent)
        due.push_back(peers[m_next++ % peers.size()]);
    m_sentUntil += interval * dueCount / count;
    return due;
}

}
