/// @file
/// The part of Deployment that simulates the platform: announcements, health checks and load reports.

#include "scenario/deployment.h"

namespace bergamotroute::scenario {

namespace {

    constexpr SimTime renewalsPerLease = 3;
    constexpr SimTime announceRetryInterval = 500 * microsecondsPerMillisecond;
    constexpr SimTime healthCheckTimeout = 500 * microsecondsPerMillisecond;
    constexpr std::size_t maxHistoryLength = 600;

}

schema::Announcement Deployment::announcementOf(const BackendServer& backend) const
{
    const BackendIdentity& identity = backend.identity();
    const ServiceSetup& service = m_services[identity.service];
    schema::Announcement announcement;
    announcement.set_service(service.definition.name());
    announcement.set_address(identity.address.toString());
    announcement.set_fou_port(identity.fouPort);
    announcement.set_slots(identity.slots);
    announcement.set_data_centre(identity.dataCentre);
    announcement.set_state(static_cast<schema::BackendState>(backend.announcedState));
    announcement.set_lease_seconds(service.leaseSeconds);
    const std::string base = "http://" + identity.address.toString() + ":8080";
    announcement.set_health_url(base + "/health");
    announcement.set_load_url(base + "/load");
    announcement.set_incarnation(backend.epoch());
    return announcement;
}

void Deployment::sendAnnouncement(std::size_t backend, const schema::Announcement& announcement, bool isForOtherService)
{
    const BackendIdentity& identity = m_backends[backend]->identity();
    std::vector<SimulatedHost*> candidates;
    for (const auto& host : m_hosts) {
        if (host->isRunning() && host->dataCentre() == identity.dataCentre)
            candidates.push_back(host.get());
    }
    if (candidates.empty())
        return;
    SimulatedHost* host = candidates[m_random.below(candidates.size())];
    // Announcements use TCP, so packet loss would only delay them and is not simulated; a cut connection prevents them.
    if (m_network.isCut(m_backendRecords[backend].node, host->node()))
        return;
    m_queue.after(m_network.delays().withinDataCentre, [this, host, backend, announcement, isForOtherService] {
        host->handleInput([this, backend, announcement, isForOtherService](HostProgram& program, TimePoint now) {
            const IpAddress& source = m_backends[backend]->identity().address;
            const std::uint32_t code = program.handleAnnouncement(announcement, source, now).code();
            if (isForOtherService)
                m_backendRecords[backend].otherServiceCode = code;
            else
                m_backendRecords[backend].lastResultCode = code;
        });
    });
}

void Deployment::renewAnnouncement(std::size_t backend)
{
    const BackendServer& server = *m_backends[backend];
    const bool canAnnounce = server.isAlive() && !server.isFrozen && server.isAnnouncing;
    if (canAnnounce)
        sendAnnouncement(backend, announcementOf(server), false);
    const SimTime lease = m_services[server.identity().service].leaseSeconds * microsecondsPerSecond;
    const bool wasRefused = canAnnounce && m_backendRecords[backend].lastResultCode != 0;
    const std::uint32_t generation = ++m_backendRecords[backend].announceGeneration;
    m_queue.after(wasRefused ? announceRetryInterval : lease / renewalsPerLease, [this, backend, generation] {
        if (m_backendRecords[backend].announceGeneration == generation)
            renewAnnouncement(backend);
    });
}

void Deployment::announce(BackendServer& backend, int state)
{
    backend.isAnnouncing = true;
    backend.announcedState = state;
    renewAnnouncement(static_cast<std::size_t>(backend.identity().index));
    if (state == schema::GONE)
        backend.isAnnouncing = false;
}

void Deployment::announceAs(BackendServer& backend, std::size_t service)
{
    schema::Announcement announcement = announcementOf(backend);
    announcement.set_service(m_services[service].definition.name());
    sendAnnouncement(static_cast<std::size_t>(backend.identity().index), announcement, true);
}

std::uint32_t Deployment::lastAnnouncementCode(const BackendServer& backend) const
{
    const BackendRecord& record = m_backendRecords[static_cast<std::size_t>(backend.identity().index)];
    return record.otherServiceCode.value_or(record.lastResultCode);
}

schema::LoadReport Deployment::loadReport(BackendServer& backend)
{
    const SimTime now = m_queue.now();
    backend.openFlowHistory.emplace_back(now, static_cast<std::uint32_t>(backend.openFlows()));
    if (backend.openFlowHistory.size() > maxHistoryLength)
        backend.openFlowHistory.erase(backend.openFlowHistory.begin());
    SimTime time = now;
    std::uint32_t open = backend.openFlowHistory.back().second;
    if (backend.reportMode == ReportMode::Lagging) {
        for (const auto& [when, flows] : backend.openFlowHistory) {
            if (when > now - backend.reportLag)
                break;
            time = when;
            open = flows;
        }
    }
    if (backend.reportMode == ReportMode::Idle)
        open = 0;
    if (backend.reportMode == ReportMode::Busy)
        open *= 10;
    schema::LoadReport report;
    report.set_open_connections(open);
    report.set_busy_slots(std::min(open, backend.identity().slots));
    report.set_queued(open > backend.identity().slots ? open - backend.identity().slots : 0);
    const auto age = static_cast<std::uint64_t>((now - time) / microsecondsPerMillisecond);
    report.set_time_ms(m_queue.clock().wallMilliseconds() - age);
    return report;
}

void Deployment::startHealthCheckFromHost(NodeId host, TargetId target)
{
    for (std::size_t backend = 0; backend < m_backendRecords.size(); ++backend) {
        if (m_backendRecords[backend].target == target) {
            answerHealthCheck(host, backend);
            return;
        }
    }
}

void Deployment::answerHealthCheck(NodeId host, std::size_t backend)
{
    const NodeId node = m_backendRecords[backend].node;
    BackendServer& server = *m_backends[backend];
    const bool isResponding
        = server.isAlive() && !server.isFrozen && !m_network.isCut(host, node) && !m_network.isCut(node, host);
    const SimTime delay = isResponding ? 2 * m_network.delays().betweenDataCentres : healthCheckTimeout;
    m_queue.after(delay, [this, host, backend, isResponding] {
        const TargetId target = m_backendRecords[backend].target;
        const schema::LoadReport report = loadReport(*m_backends[backend]);
        hostByNode(host)->handleInput([target, isResponding, report](HostProgram& program, TimePoint now) {
            program.handleHealthResult(target, isResponding, now);
            if (isResponding)
                program.handleLoadReport(target, report, now);
        });
    });
}

}
