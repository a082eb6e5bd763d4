#pragma once

/// @file
/// Exchanges load reports with the other entry hosts, one UDP datagram each.

#include "bergamotroute/cookie_steering.h"
#include "bergamotroute/load_report_pacer.h"
#include "libbergamotio/event_loop.h"
#include "libbergamotio/udp_socket.h"

#include <memory>
#include <span>
#include <string>
#include <vector>

namespace bergamotroute {

class LoadReporter {
public:
    /// @param steering gives the load of this host and takes that of others; outlives the reporter.
    /// @param linkMbps capacity of the host's link in Mbit/s; zero if it is not known.
    LoadReporter(EventLoop& loop, CookieSteering& steering, double linkMbps);

    /// Opens the socket and begins to receive.
    /// @return the reason why it cannot.
    std::error_code open(const Endpoint& localEndpoint);

    /// Sets who gets reports.
    /// @param near hosts of the own data centre.
    /// @param far hosts of other data centres.
    void setPeers(std::vector<Endpoint> localPeers, std::vector<Endpoint> remotePeers);

    /// Sends a report as soon as the link allows; to be called whenever the load may have changed.
    void scheduleReport();

    /// @return datagrams that the system did not take.
    std::uint64_t sendErrors() const { return m_socket.sendErrors(); }

    /// @return datagrams that were no reports.
    std::uint64_t malformedReports() const { return m_malformedReports; }

private:
    void receive();
    void send();
    void sendTo(std::span<const Endpoint> peers, schema::TargetLoadReport& report, Duration interval);

    EventLoop& m_loop;
    CookieSteering& m_steering;
    UdpSocket m_socket;
    std::unique_ptr<ReadWatch> m_watch;
    std::vector<Endpoint> m_localPeers;
    std::vector<Endpoint> m_remotePeers;
    LoadReportPacer m_pacer;
    ReportRotation m_remoteRotation;
    /// Load as last reported, without the report's number.
    std::string m_reportedLoad;
    TimePoint m_lastLocalReport;
    std::uint64_t m_malformedReports = 0;
    bool m_isScheduled = false;
    Timer m_timer;
};

}
