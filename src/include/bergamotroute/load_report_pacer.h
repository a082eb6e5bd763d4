#pragma once

/// @file
/// Chooses how often an entry host reports its load to others. Reports go to every host of a group, so their traffic
/// grows with the square of the group; on a small link they must give way to the packets of clients.

#include "bergamotroute/clock.h"
#include "bergamotroute/types.h"

#include <cstddef>
#include <span>
#include <vector>

namespace bergamotroute {

/// Intervals between load reports on a link of given capacity.
class LoadReportPacer {
public:
    /// @param linkBytesPerSecond capacity of the host's link; zero if it is not known.
    explicit LoadReportPacer(double linkBytesPerSecond)
        : m_linkBytesPerSecond(linkBytesPerSecond)
    {
    }

    /// @param reportBytes size of one report.
    /// @param peers hosts of the own data centre that get it.
    /// @return shortest time between two reports.
    Duration localInterval(std::size_t reportBytes, std::size_t peers) const;

    /// @param reportBytes size of one report.
    /// @param peers hosts of other data centres that get it.
    /// @return shortest time between two reports.
    Duration remoteInterval(std::size_t reportBytes, std::size_t peers) const;

    /// @return time after which an unchanged load is reported again, so that others know that this host still runs.
    static Duration repeatInterval(Duration interval);

    /// @return time for which receivers count a report that is sent at an interval.
    static Duration validity(Duration interval);

private:
    Duration bandwidthInterval(std::size_t reportBytes, std::size_t peers) const;

    double m_linkBytesPerSecond;
};

/// Spreads the reports to a group of hosts over an interval: one datagram to each of many hosts at once would fill the
/// queue of a small link.
class ReportRotation {
public:
    /// @param peers all hosts of the group.
    /// @param interval time in which each of them is due once.
    /// @return the hosts that are due now, each at most once.
    std::vector<Endpoint> takeDue(std::span<const Endpoint> peers, Duration interval, TimePoint now);

private:
    std::size_t m_next = 0;
    TimePoint m_sentUntil;
};

}
