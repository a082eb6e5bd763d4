/// @file
/// Prometheus metrics of the entry host, served at /metrics.

#include "bergamot-entry/cookie_entry_daemon.h"
#include "libbergamotio/log.h"
#include "libbergamotio/metrics.h"

#include <prometheus/registry.h>

namespace bergamotroute {

namespace {

    double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

}

void CookieEntryDaemon::addAdmissionMetrics(prometheus::Registry& registry) const
{
    const AdmissionMetrics admission = m_steering.admissionMetrics();
    const auto add = [&registry](const std::string& name, const std::string& help, double value) {
        setGauge(registry, "bergamot_entry_" + name, help, value);
    };
    add("bulk_flows", "Open flows that send much and take room on the link.", static_cast<double>(admission.bulkFlows));
    add("bulk_room_bytes", "Room on the link for flows that send much.", admission.roomBytes);
    add("bulk_room_taken_bytes", "Room on the link that open flows take.", static_cast<double>(admission.claimedBytes));
    add("first_packets_waiting", "First packets that wait for room on the link.",
        static_cast<double>(admission.waiting));
    add("flows_waited_total", "Flows that waited for room on the link.", static_cast<double>(admission.waited));
    add("second_choices_denied_total", "Repeated first packets that the budget of second choices kept at their target.",
        static_cast<double>(m_steering.counters().secondChoicesDenied));
    const auto addRefusals = [&registry](const std::string& route, const std::string& reason, std::uint64_t count) {
        setGauge(registry, "bergamot_entry_flows_refused_total", "Flows refused for lack of room on the link.",
            static_cast<double>(count), { { "route", route }, { "reason", reason } });
    };
    for (const FlowRefusals& refusals : admission.refusals) {
        addRefusals(refusals.route, "no_room", refusals.noRoom);
        addRefusals(refusals.route, "waited_too_long", refusals.waitedTooLong);
    }
}

std::string CookieEntryDaemon::metrics() const
{
    prometheus::Registry registry;
    const auto add = [&registry](const std::string& name, const std::string& help, double value) {
        setGauge(registry, "bergamot_entry_" + name, help, value);
    };
    const SteeringCounters& counters = m_steering.counters();
    add("packets_received_total", "Packets from clients.", static_cast<double>(m_packets.counters().received));
    add("packets_unreadable_total", "Datagrams that could not be parsed as packets.",
        static_cast<double>(m_packets.counters().malformed));
    add("packets_forwarded_total", "Packets forwarded to targets.",
        static_cast<double>(m_packets.counters().forwarded));
    add("packets_dropped_total", "Packets dropped.", static_cast<double>(m_packets.counters().dropped));
    add("packets_held_total", "Packets queued until a target or the routing document was known.",
        static_cast<double>(m_packets.counters().held));
    add("targets_probed_total", "Connection probes of targets that did not respond.",
        static_cast<double>(counters.probes));
    add("flows_target_unreachable_total", "Packets rejected because their target is unreachable.",
        static_cast<double>(counters.targetUnreachable));
    add("send_errors_total", "Datagrams that the kernel did not accept for sending.",
        static_cast<double>(m_packets.sendErrors() + m_reporter.sendErrors()));
    add("load_reports_unreadable_total", "Datagrams on the load report port that could not be parsed.",
        static_cast<double>(m_reporter.malformedReports()));
    add("resets_total", "Flows that this host rejected or terminated with a reset.",
        static_cast<double>(m_packets.counters().resets));
    add("first_packets_total", "First packets of flows, including retransmissions.",
        static_cast<double>(counters.firstPackets));
    add("flows_placed_total", "Flows assigned to a target.", static_cast<double>(counters.placed));
    add("flows_placed_again_total", "Flows reassigned to another target after a retransmitted first packet.",
        static_cast<double>(counters.placedAgain));
    add("flows_route_unknown_total", "First packets that match no route.", static_cast<double>(counters.routeUnknown));
    add("flows_no_target_total", "First packets for which no target was available.",
        static_cast<double>(counters.noTarget));
    add("flows_slow_start_limited_total",
        "Flows refused because no target of the service accepted them under the limit on targets in slow start.",
        static_cast<double>(counters.slowStartLimited));
    const TargetGroupStatus group = m_steering.targetGroup();
    add("group_hosts", "Entry hosts in the group of this host, this one included; zero if there are no groups.",
        static_cast<double>(group.hosts));
    add("group_targets", "Targets in the group of this host.", static_cast<double>(group.targets));
    const SlowStartStatus slowStart = m_steering.slowStartStatus(m_loop.now());
    add("targets_slow_start", "Targets in slow start of services with a limit in slow start.",
        static_cast<double>(slowStart.targets));
    add("targets_slow_start_owned", "Targets in slow start on which this host, and no other, places flows.",
        static_cast<double>(slowStart.owned));
    add("packets_target_gone_total", "Packets whose target is gone.", static_cast<double>(counters.targetGone));
    add("packets_cookie_unknown_total", "Packets whose cookie matches no known target.",
        static_cast<double>(counters.cookieUnknown));
    add("targets_avoided_total", "Times a target was avoided because first packets got no response.",
        static_cast<double>(counters.avoidedTargets));
    const CapacitySummary capacity = m_steering.capacitySummary();
    add("max_target_slowness", "Learned response time of the slowest target relative to a typical one; 1 is typical.",
        capacity.maxSlowness);
    add("unreadable_targets_total", "Target records ignored because they name no target.",
        static_cast<double>(m_registry.unreadableRecords()));
    add("slow_targets", "Targets that are learned to be more than twice as slow as a typical one.",
        static_cast<double>(capacity.slowTargets));
    add("limited_targets", "Targets with a limit on outstanding requests, because they have refused some.",
        static_cast<double>(capacity.limitedTargets));
    add("capacity_samples_total", "Response times that were used to learn the capacity of targets.",
        static_cast<double>(capacity.samples));
    add("capacity_refusals_total", "Responses that were taken for refusals of a full target.",
        static_cast<double>(capacity.refusals));
    add("capacity_samples_overloaded_total", "Response times dropped because the link of this host was overloaded.",
        static_cast<double>(capacity.droppedOverloaded));
    add("capacity_samples_ambiguous_total",
        "Response times dropped because packets were retransmitted or have passed another host.",
        static_cast<double>(capacity.droppedAmbiguous));
    add("flows", "Flows in the flow table.", static_cast<double>(m_steering.flowCount()));
    add("document_version", "Version of the routing document in force on this host.",
        static_cast<double>(m_steering.documentVersion()));
    const StoppedDataCentreState stopped = m_steering.stoppedDataCentres();
    add("data_centres_evacuated", "Data centres whose targets get no new flows on this host.",
        static_cast<double>(stopped.count));
    add("data_centres_revision", "Revision of the list of evacuated data centres that this host has applied.",
        static_cast<double>(stopped.revision));
    add("targets_evacuated", "Targets that get no new flows because their data centre is evacuated.",
        static_cast<double>(stopped.targets));
    add("flows_at_evacuated", "Open flows to targets of evacuated data centres.",
        static_cast<double>(stopped.openFlows));
    add("view_age_seconds", "Time since the last response from a control host that is in contact with a majority.",
        toSeconds(m_controlClient.viewAge()));
    add("control_calls_failed_total", "Failed RPCs to control hosts.",
        static_cast<double>(m_controlClient.failedCalls()));
    const LinkStatistics link = m_packets.linkStatistics();
    add("link_receive_use", "Fraction of the link's capacity in use, from clients and other hosts.", link.receiveUse);
    add("link_send_use", "Fraction of the link's capacity in use, to targets, clients and other hosts.", link.sendUse);
    add("link_overloaded", "1 while the link is overloaded.", link.state.isOverloaded ? 1 : 0);
    add("link_overloaded_seconds_total", "Time during which the link was overloaded.", toSeconds(link.overloadedTime));
    add("urgent_delay_seconds", "Wait of an urgent packet that is queued now.", toSeconds(link.state.urgentDelay));
    add("bulk_delay_seconds", "Wait of a bulk packet that is queued now.", toSeconds(link.state.bulkDelay));
    add("urgent_queued_bytes", "Bytes of queued urgent packets.", static_cast<double>(link.urgentBytes));
    add("bulk_queued_bytes", "Bytes of queued bulk packets.", static_cast<double>(link.bulkBytes));
    add("retransmissions_merged_total", "Retransmissions that replaced the queued copy of their packet.",
        static_cast<double>(link.packets.merged));
    add("retransmissions_dropped_total", "Retransmissions of packets that had just left the queue; dropped.",
        static_cast<double>(link.packets.repeated));
    add("packets_expired_total", "Queued packets dropped because they had waited too long.",
        static_cast<double>(link.packets.expired));
    add("packets_overflowed_total", "Packets dropped because the queue was full.",
        static_cast<double>(link.packets.overflowed));
    add("packets_abandoned_total", "Queued packets dropped because their clients reset the flow.",
        static_cast<double>(link.packets.abandoned));
    add("ready", "1 if the readiness endpoint returns 200.", isReady() ? 1 : 0);
    add("log_lines_dropped_total", "Log lines dropped because the log reader was too slow.",
        static_cast<double>(logCounters().dropped));
    add("log_lines_suppressed_total", "Log lines suppressed by the rate limit of their result code.",
        static_cast<double>(logCounters().suppressed));
    addAdmissionMetrics(registry);
    return serializeMetrics(registry) + serializeMetrics(m_histograms);
}

}
