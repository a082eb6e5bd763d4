#include "bergamotroute/admission.h"
#include "bergamotroute/entry_host.h"
#include "bergamotroute/target_manager.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

using namespace bergamotroute;

namespace {

constexpr HostIndex hostCount = 9;
constexpr std::size_t targetCount = 18;
constexpr std::size_t headerBytes = 28;

std::string addressOf(std::size_t target) { return "10.0.0." + std::to_string(target + 1); }

const char* serviceOf(std::size_t target) { return target < 14 ? "ordering" : "manifests"; }

/// Nine hosts that exchange heartbeats with only the target and demand fields.
struct Group {
    Group()
    {
        schema::Configuration configuration;
        for (const char* name : { "ordering", "manifests" }) {
            schema::Service* service = configuration.add_services();
            service->set_name(name);
            service->add_allowed_networks("10.0.0.0/8");
        }
        MembershipView view;
        view.hasQuorum = true;
        for (HostIndex i = 0; i < hostCount; ++i)
            view.members.push_back(
                { i, "entry-host-" + std::to_string(i), "perth-" + std::to_string(i % 4), 1, schema::MEMBER_READY });
        for (const MemberView& member : view.members) {
            EntryHostOptions options;
            options.host = member.host;
            options.dataCentre = member.dataCentre;
            view.self = member.index;
            targets.push_back(makeTargetManager(options));
            targets.back()->handleConfiguration(configuration, clock.now());
            targets.back()->handleView(view, clock.now());
            admission.push_back(makeAdmissionPolicy(options));
            admission.back()->handleView(view, clock.now());
            admission.back()->handleConfiguration(configuration, clock.now());
        }
    }

    void announceAll()
    {
        for (std::size_t target = 0; target < targetCount; ++target) {
            schema::Announcement announcement;
            announcement.set_service(serviceOf(target));
            announcement.set_address(addressOf(target));
            announcement.set_fou_port(5555);
            announcement.set_slots(3);
            announcement.set_data_centre("perth-" + std::to_string(target % 4));
            announcement.set_state(schema::READY);
            announcement.set_health_url("http://" + addressOf(target) + ":8080/health");
            announcement.set_load_url("http://" + addressOf(target) + ":8080/load");
            std::error_code error;
            const IpAddress source = IpAddress::parse(addressOf(target), error);
            targets[(target + round) % hostCount]->handleAnnouncement(announcement, source, clock.now());
        }
        ++round;
    }

    void check()
    {
        for (const auto& manager : targets) {
            for (const HealthCheckRequest& request : manager->advance(clock.now())) {
                manager->handleHealthResult(request.target, healthy, clock.now());
                schema::LoadReport report;
                report.set_open_connections(2'000);
                report.set_busy_slots(2);
                report.set_queued(1);
                report.set_time_ms(clock.wallMilliseconds());
                manager->handleLoadReport(request.target, report, clock.now());
            }
        }
    }

    /// Delivers one heartbeat and one target update of each host to all others.
    void exchange()
    {
        for (HostIndex from = 0; from < hostCount; ++from) {
            schema::Heartbeat heartbeat;
            targets[from]->fillHeartbeat(heartbeat, clock.now());
            admission[from]->countOpened(serviceId("ordering"), clock.now());
            admission[from]->fillHeartbeat(heartbeat, clock.now());
            heartbeatBytes += heartbeat.ByteSizeLong();
            const auto update = targets[from]->takeUpdate(clock.now());
            if (update)
                updateBytes += update->ByteSizeLong() + headerBytes;
            for (HostIndex to = 0; to < hostCount; ++to) {
                if (to == from)
                    continue;
                if (update)
                    targets[to]->handleUpdate(*update, clock.now());
                targets[to]->handleHeartbeat(from, heartbeat, clock.now());
            }
        }
    }

    /// @return mean number of bytes for targets and demand in a heartbeat.
    double run(int seconds)
    {
        heartbeatBytes = 0;
        updateBytes = 0;
        for (int half = 0; half < 2 * seconds; ++half) {
            clock.advance(Duration(500));
            if (half % 4 == 0)
                announceAll();
            check();
            exchange();
        }
        return static_cast<double>(heartbeatBytes) / (2.0 * seconds * hostCount);
    }

    ManualClock clock;
    std::vector<std::unique_ptr<TargetManager>> targets;
    std::vector<std::unique_ptr<AdmissionPolicy>> admission;
    bool healthy = true;
    std::size_t round = 0;
    std::size_t heartbeatBytes = 0;
    std::size_t updateBytes = 0;
};

}

// Guards against control traffic above 4 KB/s per host.
TEST_CASE("with 18 targets on 9 hosts, targets and demand take at most 64 bytes in a heartbeat")
{
    Group group;
    group.run(10);
    const double bytes = group.run(60);
    MESSAGE("bytes for targets and demand in a heartbeat: " << bytes);
    // Each host sends 16 heartbeats per second, so 64 bytes are 1 KB/s of the 4 KB/s. The rest is for membership and
    // bucket tables.
    CHECK(bytes <= 64);
    // No target changes, so no target update may be sent.
    CHECK(group.updateBytes == 0);
}

// Guards against control traffic that grows during an outage.
TEST_CASE("if the checks of all targets fail, targets and demand take at most 80 bytes in a heartbeat")
{
    Group group;
    group.run(10);
    group.healthy = false;
    const double bytes = group.run(20);
    MESSAGE("bytes for targets and demand in a heartbeat while all checks fail: " << bytes);
    CHECK(bytes <= 80);
}
