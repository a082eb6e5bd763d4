/// @file
/// The part of Deployment that plays the platform: announcements, health checks and load reports.

#include "scenario/deployment.h"

namespace bergamotroute::scenario {

namespace {

    constexpr SimTime renewalsPerLease = 3;
    constexpr SimTime announceRetry = 500 * microsecondsPerMillisecond;
    constexpr SimTime checkTimeout = 500 * microsecondsPerMillisecond;
    constexpr std::size_t historyLength = 600;

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

void Deployment::sendAnnouncement(std::size_t backend, const schema::Announcement& announcement, bool isForOther)
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
    // Over TCP, so a lost packet only delays the announcement; a cut ends it.
    if (m_network.isCut(m_slots[backend].place, host->place()))
        return;
    m_queue.after(m_network.delays().within, [this, host, backend, announcement, isForOther] {
        host->input([this, backend, announcement, isForOther](HostProgram& program, TimePoint now) {
            const IpAddress& source = m_backends[backend]->identity().address;
            const std::uint32_t code = program.handleAnnouncement(announcement, source, now).code();
            if (isForOther)
                m_slots[backend].otherServiceCode = code;
            else
                m_slots[backend].lastCode = code;
        });
    });
}

void Deployment::renewAnnouncement(std::size_t backend)
{
    const BackendServer& server = *m_backends[backend];
    const bool speaks = server.isAlive() && !server.isFrozen && server.announces;
    if (speaks)
        sendAnnouncement(backend, announcementOf(server), false);
    const SimTime lease = m_services[server.identity().service].leaseSeconds * microsecondsPerSecond;
    const bool wasRefused = speaks && m_slots[backend].lastCode != 0;
    const std::uint32_t generation = ++m_slots[backend].announceGeneration;
    m_queue.after(wasRefused ? announceRetry : lease / renewalsPerLease, [this, backend, generation] {
        if (m_slots[backend].announceGeneration == generation)
            renewAnnouncement(backend);
    });
}

void Deployment::announce(BackendServer& backend, int state)
{
    backend.announces = true;
    backend.announcedState = state;
    renewAnnouncement(static_cast<std::size_t>(backend.identity().index));
    if (state == schema::GONE)
        backend.announces = false;
}

void Deployment::announceAs(BackendServer& backend, std::size_t service)
{
    schema::Announcement announcement = announcementOf(backend);
    announcement.set_service(m_services[service].definition.name());
    sendAnnouncement(static_cast<std::size_t>(backend.identity().index), announcement, true);
}

std::uint32_t Deployment::lastAnnouncementCode(const BackendServer& backend) const
{
    const BackendSlot& slot = m_slots[static_cast<std::size_t>(backend.identity().index)];
    return slot.otherServiceCode.value_or(slot.lastCode);
}

schema::LoadReport Deployment::loadReport(BackendServer& backend)
{
    const SimTime now = m_queue.now();
    backend.history.emplace_back(now, static_cast<std::uint32_t>(backend.openFlows()));
    if (backend.history.size() > historyLength)
        backend.history.erase(backend.history.begin());
    SimTime time = now;
    std::uint32_t open = backend.history.back().second;
    if (backend.reportMode == ReportMode::Lagging) {
        for (const auto& [when, flows] : backend.history) {
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

void Deployment::checkFromHost(PlaceId host, TargetId target)
{
    for (std::size_t backend = 0; backend < m_slots.size(); ++backend) {
        if (m_slots[backend].target == target) {
            answerCheck(host, backend);
            return;
        }
    }
}

void Deployment::answerCheck(PlaceId host, std::size_t backend)
{
    const PlaceId place = m_slots[backend].place;
    BackendServer& server = *m_backends[backend];
    const bool answers
        = server.isAlive() && !server.isFrozen && !m_network.isCut(host, place) && !m_network.isCut(place, host);
    const SimTime delay = answers ? 2 * m_network.delays().between : checkTimeout;
    m_queue.after(delay, [this, host, backend, answers] {
        const TargetId target = m_slots[backend].target;
        const schema::LoadReport report = loadReport(*m_backends[backend]);
        hostAt(host)->input([target, answers, report](HostProgram& program, TimePoint now) {
            program.handleHealthResult(target, answers, now);
            if (answers)
                program.handleLoadReport(target, report, now);
        });
    });
}

}
