/// @file
/// Metrics page of the entry host.

#include "bergamot-entry/cookie_entry_daemon.h"
#include "libbergamotio/log.h"
#include "libbergamotio/metrics.h"

#include <prometheus/registry.h>

namespace bergamotroute {

std::string CookieEntryDaemon::metrics() const
{
    prometheus::Registry registry;
    const auto add = [&registry](const std::string& name, const std::string& help, double value) {
        setGauge(registry, "bergamot_entry_" + name, help, value);
    };
    const SteeringCounters& counters = m_steering.counters();
    add("packets_received_total", "Packets from clients.", static_cast<double>(m_packetCounters.received));
    add("packets_unreadable_total", "Datagrams that are no packets.", static_cast<double>(m_packetCounters.malformed));
    add("packets_forwarded_total", "Packets sent to targets.", static_cast<double>(m_packetCounters.forwarded));
    add("packets_dropped_total", "Packets dropped.", static_cast<double>(m_packetCounters.dropped));
    add("packets_held_total", "Packets that waited for a target or a document.",
        static_cast<double>(m_packetCounters.held));
    add("targets_probed_total", "Connection tests of targets that did not answer.",
        static_cast<double>(counters.probes));
    add("flows_target_unreachable_total", "Packets refused because their target cannot be reached.",
        static_cast<double>(counters.targetUnreachable));
    add("send_errors_total", "Datagrams that the system did not take.",
        static_cast<double>(m_packetSocket.sendErrors() + m_reporter.sendErrors()));
    add("load_reports_unreadable_total", "Datagrams on the port of load reports that are none.",
        static_cast<double>(m_reporter.malformedReports()));
    add("resets_total", "Flows refused or ended by this host.", static_cast<double>(m_packetCounters.resets));
    add("first_packets_total", "First packets of flows, copies included.", static_cast<double>(counters.firstPackets));
    add("flows_placed_total", "Flows given a target.", static_cast<double>(counters.placed));
    add("flows_placed_again_total", "Flows given another target after a repeated first packet.",
        static_cast<double>(counters.placedAgain));
    add("flows_route_unknown_total", "First packets without a route.", static_cast<double>(counters.routeUnknown));
    add("flows_no_target_total", "First packets without a target.", static_cast<double>(counters.noTarget));
    add("packets_target_gone_total", "Packets for targets that are gone.", static_cast<double>(counters.targetGone));
    add("packets_cookie_unknown_total", "Packets with a cookie of no known target.",
        static_cast<double>(counters.cookieUnknown));
    add("targets_avoided_total", "Times a target was avoided because first packets got no answer.",
        static_cast<double>(counters.avoidedTargets));
    add("flows", "Flows remembered.", static_cast<double>(m_steering.flowCount()));
    add("document_version", "Version in force on this host.", static_cast<double>(m_steering.documentVersion()));
    add("view_age_seconds", "Time since the last answer of a control host that hears from a majority.",
        std::chrono::duration<double>(m_controlClient.viewAge()).count());
    add("control_calls_failed_total", "Calls to control hosts that failed.",
        static_cast<double>(m_controlClient.failedCalls()));
    add("ready", "One if the readiness page answers 200.", isReady() ? 1 : 0);
    add("log_lines_dropped_total", "Log lines dropped because the reader was too slow.",
        static_cast<double>(logCounters().dropped));
    add("log_lines_suppressed_total", "Log lines above the limit of their code.",
        static_cast<double>(logCounters().suppressed));
    return serializeMetrics(registry) + serializeMetrics(m_histograms);
}

}
