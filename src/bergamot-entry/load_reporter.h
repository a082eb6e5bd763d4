#pragma once

/// @file
/// Exchanges load reports with the other entry hosts, one UDP datagram per report.

#include "bergamotroute/cookie_steering.h"
#include "bergamotroute/load_report_pacer.h"
#include "libbergamotio/event_loop.h"
#include "libbergamotio/udp_socket.h"

#include <memory>
#include <span>
#include <string>
#include <vector>

namespace bergamotroute {

/// Recipients of load reports.
struct LoadReportPeers {
    /// Entry hosts that share targets with this host: its group, or all of its data centre if there are no groups.
    std::vector<Endpoint> group;
    /// Other entry hosts of this data centre, and those of other ones.
    std::vector<Endpoint> otherLocal;
    std::vector<Endpoint> remote;
};

class LoadReporter {
public:
    /// @param steering provides the load of this host and receives that of others; must outlive the reporter.
    /// @param linkBytesPerSecond capacity of the host's link; zero if unknown.
    LoadReporter(EventLoop& loop, CookieSteering& steering, double linkBytesPerSecond);

    /// Opens the socket and starts to receive.
    /// @return the error if the socket cannot be opened.
    std::error_code open(const Endpoint& localEndpoint);

    /// Sets the recipients of reports.
    void setPeers(LoadReportPeers peers) { m_peers = std::move(peers); }

    /// Sends a report as soon as the pacing of the link allows; call it whenever the load may have changed.
    void scheduleReport();

    const UdpTraffic& traffic() const { return m_socket.traffic(); }

    /// @return number of datagrams that the kernel did not accept.
    std::uint64_t sendErrors() const { return m_socket.sendErrors(); }

    /// @return number of received datagrams that could not be parsed as reports.
    std::uint64_t malformedReports() const { return m_malformedReports; }

private:
    void receive();
    void send();
    /// Sends the report to those of the peers that are due, with the evidence of the interval between two reports to
    /// the same host.
    /// @param[in,out] interval time between two reports to the same host.
    void sendInRotation(ReportRotation& rotation, std::span<const Endpoint> peers, Duration& interval,
        schema::TargetLoadReport& report);
    void sendTo(std::span<const Endpoint> peers, schema::TargetLoadReport& report, Duration interval);

    EventLoop& m_loop;
    CookieSteering& m_steering;
    UdpSocket m_socket;
    std::unique_ptr<ReadWatch> m_watch;
    LoadReportPeers m_peers;
    LoadReportPacer m_pacer;
    ReportRotation m_localRotation;
    ReportRotation m_remoteRotation;
    /// Last reported load, serialized without the sequence number so that it can be compared.
    std::string m_reportedLoad;
    TimePoint m_lastGroupReport;
    Duration m_localReportInterval { 0 };
    Duration m_remoteReportInterval { 0 };
    std::uint64_t m_malformedReports = 0;
    bool m_isScheduled = false;
    Timer m_timer;
};

}
