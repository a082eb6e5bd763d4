#include "bergamotroute/entry_host.h"
#include "bergamotroute/result_code.h"
#include "bergamotroute/target_manager.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace bergamotroute;

namespace {

EntryHostOptions optionsOf(const std::string& host)
{
    EntryHostOptions options;
    options.host = host;
    options.dataCentre = "dc1";
    return options;
}

schema::Configuration twoServices()
{
    schema::Configuration configuration;
    for (const char* name : { "ordering", "manifests" }) {
        schema::Service* service = configuration.add_services();
        service->set_name(name);
        service->add_allowed_networks("10.0.0.0/8");
        service->set_drain_deadline_seconds(60);
    }
    return configuration;
}

MembershipView viewOf(HostIndex self, std::size_t hosts)
{
    MembershipView view;
    view.self = self;
    view.hasQuorum = true;
    for (std::size_t i = 0; i < hosts; ++i) {
        const auto index = static_cast<HostIndex>(i);
        view.members.push_back(
            { index, "host" + std::to_string(i), "dc" + std::to_string(i % 3), 1, schema::MEMBER_READY });
    }
    return view;
}

schema::Announcement announcementOf(const std::string& service, const std::string& address)
{
    schema::Announcement announcement;
    announcement.set_service(service);
    announcement.set_address(address);
    announcement.set_fou_port(5555);
    announcement.set_slots(3);
    announcement.set_data_centre("dc1");
    announcement.set_state(schema::READY);
    announcement.set_lease_seconds(6);
    announcement.set_health_url("http://" + address + "/health");
    announcement.set_load_url("http://" + address + "/load");
    announcement.set_incarnation(1);
    return announcement;
}

IpAddress ip(const std::string& text)
{
    std::error_code error;
    return IpAddress::parse(text, error);
}

struct Host {
    explicit Host(HostIndex index = 0, std::size_t hosts = 1)
        : manager(makeTargetManager(optionsOf("host" + std::to_string(index))))
    {
        manager->handleConfiguration(twoServices(), clock.now());
        manager->handleView(viewOf(index, hosts), clock.now());
    }

    ResultCode announce(const schema::Announcement& announcement, const std::string& source = "10.0.0.1")
    {
        return static_cast<ResultCode>(manager->handleAnnouncement(announcement, ip(source), clock.now()).code());
    }

    bool accepts(TargetId id) const
    {
        const TargetInfo* info = manager->find(id);
        return info != nullptr && info->acceptsNewFlows;
    }

    bool isGone(TargetId id) const
    {
        const TargetInfo* info = manager->find(id);
        return info == nullptr || info->gone;
    }

    void advanceClock(Duration time)
    {
        clock.advance(time);
        manager->advance(clock.now());
    }

    ManualClock clock;
    std::unique_ptr<TargetManager> manager;
};

TargetId idOf(const std::string& service, const std::string& address) { return targetId(service, ip(address)); }

}

// Guards against backend servers of other networks or of unknown services.
TEST_CASE("if an announcement is refused, the result code tells the reason")
{
    Host host;
    schema::Announcement announcement = announcementOf("ordering", "10.0.0.1");
    CHECK(host.announce(announcement, "192.168.0.1") == ResultCode::AnnouncementForbiddenNetwork);
    CHECK(host.announce(announcementOf("unknown", "10.0.0.1")) == ResultCode::AnnouncementUnknownService);
    CHECK(host.announce(announcementOf("ordering", "nowhere")) == ResultCode::AnnouncementMalformed);
    announcement.set_incarnation(5);
    CHECK(host.announce(announcement) == ResultCode::Ok);
    announcement.set_incarnation(4);
    CHECK(host.announce(announcement) == ResultCode::AnnouncementStale);
}

// Guards against packets sent to a backend server of another service.
TEST_CASE("until the quarantine of an address ends, another service cannot announce this address")
{
    Host host;
    REQUIRE(host.announce(announcementOf("ordering", "10.0.0.1")) == ResultCode::Ok);
    CHECK(host.announce(announcementOf("manifests", "10.0.0.1")) == ResultCode::AnnouncementAddressClaimed);
    host.advanceClock(Duration(6'001));
    CHECK(host.announce(announcementOf("manifests", "10.0.0.1")) == ResultCode::AnnouncementQuarantined);
    host.advanceClock(Duration(9'000));
    CHECK(host.announce(announcementOf("manifests", "10.0.0.1")) == ResultCode::AnnouncementQuarantined);
    host.advanceClock(Duration(1'000));
    CHECK(host.announce(announcementOf("manifests", "10.0.0.1")) == ResultCode::Ok);
}

// Guards against new flows to a backend server that no longer sends announcements.
TEST_CASE("when its lease ends, a target accepts no new flows, and when the quarantine ends, it is gone")
{
    Host host;
    const TargetId id = idOf("ordering", "10.0.0.1");
    REQUIRE(host.announce(announcementOf("ordering", "10.0.0.1")) == ResultCode::Ok);
    CHECK(host.accepts(id));
    host.advanceClock(Duration(5'999));
    CHECK(host.accepts(id));
    host.advanceClock(Duration(1));
    CHECK_FALSE(host.accepts(id));
    // Established flows continue until the quarantine has ended.
    CHECK_FALSE(host.isGone(id));
    host.advanceClock(Duration(10'000));
    CHECK(host.isGone(id));
}

// Guards against established flows that break when the announcements of a living backend server are lost, and against
// packets to an address that meanwhile belongs to another service.
TEST_CASE("a target whose lease has ended stays while it reports open connections and its address is not taken")
{
    Host host;
    const TargetId id = idOf("ordering", "10.0.0.1");
    REQUIRE(host.announce(announcementOf("ordering", "10.0.0.1")) == ResultCode::Ok);
    const auto runReporting = [&host, id](int seconds, std::uint32_t open) {
        for (int second = 0; second < seconds; ++second) {
            schema::LoadReport load;
            load.set_open_connections(open);
            load.set_time_ms(host.clock.wallMilliseconds());
            host.manager->handleLoadReport(id, load, host.clock.now());
            host.advanceClock(Duration(1'000));
        }
    };
    runReporting(30, 5);
    CHECK_FALSE(host.accepts(id));
    CHECK_FALSE(host.isGone(id));
    SUBCASE("its connections end")
    {
        runReporting(5, 0);
        CHECK(host.isGone(id));
    }
    SUBCASE("its reports end")
    {
        host.advanceClock(Duration(6'000));
        CHECK(host.isGone(id));
    }
    SUBCASE("its address is taken")
    {
        REQUIRE(host.announce(announcementOf("manifests", "10.0.0.1")) == ResultCode::Ok);
        runReporting(1, 5);
        CHECK(host.isGone(id));
    }
    SUBCASE("the drain deadline has passed since the end of its lease")
    {
        runReporting(40, 5);
        CHECK(host.isGone(id));
    }
}

// Guards against a lease that is renewed only on the host that gets the announcements.
TEST_CASE("if only one host gets the announcements, its heartbeats renew the lease on the other host")
{
    Host first(0, 2);
    Host second(1, 2);
    const TargetId id = idOf("ordering", "10.0.0.1");
    REQUIRE(first.announce(announcementOf("ordering", "10.0.0.1")) == ResultCode::Ok);
    const auto update = first.manager->takeUpdate(first.clock.now());
    REQUIRE(update.has_value());
    second.manager->handleUpdate(*update, second.clock.now());
    for (int i = 0; i < 10; ++i) {
        first.advanceClock(Duration(2'000));
        second.advanceClock(Duration(2'000));
        CHECK(first.announce(announcementOf("ordering", "10.0.0.1")) == ResultCode::Ok);
        schema::Heartbeat heartbeat;
        first.manager->fillHeartbeat(heartbeat, first.clock.now());
        second.manager->handleHeartbeat(0, heartbeat, second.clock.now());
        CHECK(second.accepts(id));
    }
}

// Guards against a drain that breaks long-lived flows.
TEST_CASE("a draining target accepts no new flows and is gone only after the drain deadline")
{
    Host host;
    const TargetId id = idOf("ordering", "10.0.0.1");
    schema::Announcement announcement = announcementOf("ordering", "10.0.0.1");
    announcement.set_lease_seconds(300);
    REQUIRE(host.announce(announcement) == ResultCode::Ok);
    announcement.set_state(schema::DRAINING);
    REQUIRE(host.announce(announcement) == ResultCode::Ok);
    CHECK_FALSE(host.accepts(id));
    host.advanceClock(Duration(59'999));
    CHECK_FALSE(host.isGone(id));
    host.advanceClock(Duration(1));
    CHECK(host.isGone(id));
}

// Guards against a false load report that ends a drain early and breaks established flows.
TEST_CASE("a drain ends early at an empty target only if the target has reported open connections before")
{
    for (const bool hasReported : { true, false }) {
        Host host;
        const TargetId id = idOf("ordering", "10.0.0.1");
        schema::Announcement announcement = announcementOf("ordering", "10.0.0.1");
        announcement.set_lease_seconds(300);
        REQUIRE(host.announce(announcement) == ResultCode::Ok);
        for (int i = 0; i < 200; ++i)
            host.manager->countFirstPacket(id, host.clock.now());
        const auto report = [&host, id](std::uint32_t open) {
            schema::LoadReport load;
            load.set_open_connections(open);
            load.set_time_ms(host.clock.wallMilliseconds());
            host.manager->handleLoadReport(id, load, host.clock.now());
        };
        report(hasReported ? 200 : 0);
        announcement.set_state(schema::DRAINING);
        REQUIRE(host.announce(announcement) == ResultCode::Ok);
        for (int second = 0; second < 20; ++second) {
            host.advanceClock(Duration(1'000));
            report(0);
        }
        CHECK(host.isGone(id) == hasReported);
    }
}

// Guards against new flows to a drained target or a stopped data centre.
TEST_CASE("a target in maintenance or a stopped data centre gets no new flows, and a removed one is gone")
{
    Host host;
    const TargetId id = idOf("ordering", "10.0.0.1");
    schema::Announcement announcement = announcementOf("ordering", "10.0.0.1");
    announcement.set_lease_seconds(300);
    REQUIRE(host.announce(announcement) == ResultCode::Ok);
    schema::Configuration configuration = twoServices();
    schema::BackendOverride* backend = configuration.add_backends();
    backend->set_service("ordering");
    backend->set_address("10.0.0.1");
    backend->set_weight_percent(100);
    backend->set_state(schema::BACKEND_MAINTENANCE);
    host.manager->handleConfiguration(configuration, host.clock.now());
    CHECK_FALSE(host.accepts(id));
    CHECK_FALSE(host.isGone(id));
    backend->set_state(schema::BACKEND_REMOVED);
    host.manager->handleConfiguration(configuration, host.clock.now());
    CHECK(host.isGone(id));
    backend->set_state(schema::BACKEND_READY);
    host.manager->handleConfiguration(configuration, host.clock.now());
    CHECK(host.accepts(id));
    CHECK_FALSE(host.isGone(id));
    schema::DataCentre* dataCentre = configuration.add_data_centres();
    dataCentre->set_name("dc1");
    dataCentre->set_stopped(true);
    host.manager->handleConfiguration(configuration, host.clock.now());
    CHECK_FALSE(host.accepts(id));
    CHECK_FALSE(host.isGone(id));
}

// Guards against an outage caused by broken health checks.
TEST_CASE("if all targets of a service fail their health checks, all of them accept new flows")
{
    Host host;
    const TargetId first = idOf("ordering", "10.0.0.1");
    const TargetId second = idOf("ordering", "10.0.0.2");
    for (const char* address : { "10.0.0.1", "10.0.0.2" }) {
        schema::Announcement announcement = announcementOf("ordering", address);
        announcement.set_lease_seconds(300);
        REQUIRE(host.announce(announcement) == ResultCode::Ok);
    }
    for (int i = 0; i < 3; ++i)
        host.manager->handleHealthResult(first, false, host.clock.now());
    CHECK_FALSE(host.accepts(first));
    CHECK(host.accepts(second));
    for (int i = 0; i < 3; ++i)
        host.manager->handleHealthResult(second, false, host.clock.now());
    CHECK(host.accepts(first));
    CHECK(host.accepts(second));
}

// Guards against a table in which all targets count as just started.
TEST_CASE("a host that joins later learns when the targets started to warm up, and plans their shares accordingly")
{
    Host first(0, 2);
    Host late(1, 2);
    schema::Announcement announcement = announcementOf("ordering", "10.0.0.1");
    announcement.set_lease_seconds(300);
    REQUIRE(first.announce(announcement) == ResultCode::Ok);
    first.advanceClock(Duration(60'000));
    late.advanceClock(Duration(60'000));
    REQUIRE(first.announce(announcementOf("ordering", "10.0.0.2")) == ResultCode::Ok);
    first.advanceClock(Duration(3'000));
    late.advanceClock(Duration(3'000));
    late.manager->handleUpdate(first.manager->fullUpdate(first.clock.now()), late.clock.now());
    const auto table = late.manager->planTable(serviceId("ordering"), nullptr, 1024, late.clock.now());
    REQUIRE(table.has_value());
    const auto cold = std::count_if(table->buckets.begin(), table->buckets.end(),
        [](const Bucket& bucket) { return bucket.current == idOf("ordering", "10.0.0.2"); });
    // The second target has warmed up for 3 s of 30 s, so the shares are 1 and 0.1.
    CHECK(cold == 93);
}

// Guards against a host that never learns of a target.
TEST_CASE("if all copies of an update are lost, the target is sent again because the digests differ")
{
    Host first(0, 2);
    Host second(1, 2);
    const TargetId id = idOf("ordering", "10.0.0.1");
    REQUIRE(first.announce(announcementOf("ordering", "10.0.0.1")) == ResultCode::Ok);
    // All copies of the update are lost.
    for (int i = 0; i < 4; ++i) {
        first.manager->takeUpdate(first.clock.now());
        first.advanceClock(Duration(1'000));
        second.advanceClock(Duration(1'000));
    }
    for (int i = 0; i < 12 && second.manager->find(id) == nullptr; ++i) {
        REQUIRE(first.announce(announcementOf("ordering", "10.0.0.1")) == ResultCode::Ok);
        schema::Heartbeat heartbeat;
        second.manager->fillHeartbeat(heartbeat, second.clock.now());
        first.manager->handleHeartbeat(1, heartbeat, first.clock.now());
        if (const auto update = first.manager->takeUpdate(first.clock.now()))
            second.manager->handleUpdate(*update, second.clock.now());
        first.advanceClock(Duration(500));
        second.advanceClock(Duration(500));
    }
    CHECK(second.accepts(id));
}

// Guards against a drain that is undone by a datagram that arrives late.
TEST_CASE("if an older update arrives after a newer one, it is ignored")
{
    Host first(0, 2);
    Host second(1, 2);
    schema::Announcement announcement = announcementOf("ordering", "10.0.0.1");
    REQUIRE(first.announce(announcement) == ResultCode::Ok);
    const schema::TargetUpdate ready = first.manager->fullUpdate(first.clock.now());
    announcement.set_state(schema::DRAINING);
    REQUIRE(first.announce(announcement) == ResultCode::Ok);
    second.manager->handleUpdate(first.manager->fullUpdate(first.clock.now()), second.clock.now());
    second.manager->handleUpdate(ready, second.clock.now());
    CHECK_FALSE(second.accepts(idOf("ordering", "10.0.0.1")));
}

// Guards against flows to targets on the other side of a network partition.
TEST_CASE("without quorum, a new flow goes to a target in the host's own data centre, or to none if there is none")
{
    Host host;
    schema::Announcement announcement = announcementOf("ordering", "10.0.0.1");
    REQUIRE(host.announce(announcement) == ResultCode::Ok);
    announcement = announcementOf("ordering", "10.0.0.2");
    announcement.set_data_centre("dc2");
    REQUIRE(host.announce(announcement) == ResultCode::Ok);
    for (std::uint64_t flow = 1; flow < 50; ++flow)
        CHECK(host.manager->selectLocal(serviceId("ordering"), flow) == idOf("ordering", "10.0.0.1"));
    CHECK(host.manager->selectLocal(serviceId("manifests"), 1) == noTarget);
}
