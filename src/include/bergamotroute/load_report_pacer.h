#pragma once

/// @file
/// Chooses how often an entry host reports its load to others. Each host of a group reports to every other one, so the
/// traffic grows with the square of the group size; on a small link, packets of clients must take precedence.

#include "bergamotroute/clock.h"
#include "bergamotroute/types.h"

#include <cstddef>
#include <span>
#include <vector>

namespace bergamotroute {

/// Computes the intervals between load reports from the capacity of the link.
class LoadReportPacer {
public:
    /// @param linkBytesPerSecond capacity of the host's link; zero if unknown.
    explicit LoadReportPacer(double linkBytesPerSecond)
        : m_linkBytesPerSecond(linkBytesPerSecond)
    {
    }

    /// @param reportBytes size of one report.
    /// @param peers number of hosts in this host's group, or its data centre if there are no groups, that receive it.
    /// @return minimum time between two reports.
    Duration localInterval(std::size_t reportBytes, std::size_t peers) const;

    /// @param reportBytes size of one report.
    /// @param peers number of hosts outside this host's group that receive it, in this data centre or in other ones.
    /// @return minimum time between two reports.
    Duration remoteInterval(std::size_t reportBytes, std::size_t peers) const;

    /// @return time after which an unchanged load is reported again, so that peers know that this host is still
    /// running.
    static Duration repeatInterval(Duration interval);

    /// @return time for which receivers use a report that is sent at the given interval.
    static Duration validity(Duration interval);

private:
    Duration bandwidthInterval(std::size_t reportBytes, std::size_t peers) const;

    double m_linkBytesPerSecond;
};

/// Spreads the reports to a group of hosts over an interval. Sending a datagram to each of many hosts at once would
/// fill the queue of a small link.
class ReportRotation {
public:
    /// @param peers all hosts of the group.
    /// @param interval time within which each host is due once.
    /// @return the hosts that are due now, each at most once.
    std::vector<Endpoint> takeDue(std::span<const Endpoint> peers, Duration interval, TimePoint now);

private:
    std::size_t m_next = 0;
    TimePoint m_sentUntil;
};

}
