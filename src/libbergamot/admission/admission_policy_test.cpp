#include "bergamotroute/admission.h"
#include "bergamotroute/entry_host.h"

#include <doctest/doctest.h>

using namespace bergamotroute;

namespace {

const ServiceId ordering = serviceId("ordering");

schema::Configuration configurationWithLimits(std::uint32_t newFlows, std::uint32_t openFlows)
{
    schema::Configuration configuration;
    schema::Service* service = configuration.add_services();
    service->set_name("ordering");
    service->set_max_new_flows_per_second(newFlows);
    service->set_max_open_flows(openFlows);
    return configuration;
}

MembershipView viewOf(HostIndex self, bool hasQuorum = true)
{
    MembershipView view;
    view.self = self;
    view.hasQuorum = hasQuorum;
    for (HostIndex i = 0; i < 3; ++i)
        view.members.push_back({ i, "host" + std::to_string(i), "dc1", 1, schema::MEMBER_READY });
    return view;
}

/// Three hosts that exchange heartbeats every 500 ms.
struct Group {
    explicit Group(const schema::Configuration& configuration)
    {
        for (HostIndex i = 0; i < 3; ++i) {
            hosts.push_back(makeAdmissionPolicy({}));
            hosts.back()->handleView(viewOf(i), clock.now());
            hosts.back()->handleConfiguration(configuration, clock.now());
        }
    }

    void exchange()
    {
        for (HostIndex from = 0; from < 3; ++from) {
            schema::Heartbeat heartbeat;
            hosts[from]->fillHeartbeat(heartbeat, clock.now());
            for (HostIndex to = 0; to < 3; ++to) {
                if (to != from)
                    hosts[to]->handleHeartbeat(from, heartbeat, clock.now());
            }
        }
    }

    /// Offers flows to the hosts every 10 ms.
    /// @param perTick number of flows that each host gets every 10 ms.
    /// @return number of flows that each host admitted in the last second.
    std::vector<int> offer(const std::vector<int>& perTick, int seconds)
    {
        std::vector<int> admitted(3, 0);
        for (int tick = 0; tick < seconds * 100; ++tick) {
            clock.advance(Duration(10));
            for (HostIndex i = 0; i < 3; ++i) {
                for (int flow = 0; flow < perTick[i]; ++flow) {
                    lastVerdict = hosts[i]->admit(ordering, clock.now());
                    if (lastVerdict != AdmissionVerdict::Admit)
                        continue;
                    hosts[i]->countOpened(ordering, clock.now());
                    admitted[i] += tick >= (seconds - 1) * 100 ? 1 : 0;
                }
            }
            if (tick % 50 == 0)
                exchange();
        }
        return admitted;
    }

    ManualClock clock;
    std::vector<std::unique_ptr<AdmissionPolicy>> hosts;
    AdmissionVerdict lastVerdict = AdmissionVerdict::Admit;
};

}

// Guards against a limit that each host applies in full.
TEST_CASE("with unequal demand above the limit on new flows, hosts divide the limit by demand and stay within it")
{
    Group group(configurationWithLimits(400, 0));
    const std::vector<int> admitted = group.offer({ 6, 2, 0 }, 10);
    CHECK(admitted[0] + admitted[1] <= 400);
    CHECK(admitted[0] + admitted[1] >= 340);
    CHECK(admitted[0] > 2 * admitted[1]);
    CHECK(group.hosts[2]->isLimited(ordering));
}

// Guards against hosts that each use up the whole headroom that all of them share.
TEST_CASE("when all hosts open flows at the same time, their total stays within the limit on open flows")
{
    Group group(configurationWithLimits(0, 1'000));
    group.offer({ 3, 3, 3 }, 10);
    std::uint32_t open = 0;
    for (const auto& host : group.hosts) {
        schema::Heartbeat heartbeat;
        host->fillHeartbeat(heartbeat, group.clock.now());
        open += heartbeat.demand(0).open_flows();
    }
    CHECK(open <= 1'000);
    CHECK(open >= 900);
    group.hosts[0]->countEnded(ordering, group.clock.now());
}

// Guards against refusing a flow of which another host has already forwarded packets.
TEST_CASE("excess flows are dropped without an answer until the limited flag is active for 3 s, then refused")
{
    Group group(configurationWithLimits(100, 0));
    group.offer({ 2, 2, 2 }, 3);
    CHECK(group.lastVerdict == AdmissionVerdict::Drop);
    for (const auto& host : group.hosts)
        host->handleLimitedActive(ordering, group.clock.now());
    group.offer({ 2, 2, 2 }, 2);
    CHECK(group.lastVerdict == AdmissionVerdict::Drop);
    group.offer({ 2, 2, 2 }, 2);
    CHECK(group.lastVerdict == AdmissionVerdict::Refuse);
    group.hosts[2]->handleView(viewOf(2, false), group.clock.now());
    group.offer({ 2, 2, 2 }, 1);
    CHECK(group.lastVerdict == AdmissionVerdict::Drop);
}

// Guards against a flag that is never cleared, with which bucket owners decide on every new flow indefinitely.
TEST_CASE("after 20 s without demand, a limited service is no longer limited")
{
    Group group(configurationWithLimits(100, 0));
    group.offer({ 2, 2, 2 }, 3);
    CHECK(group.hosts[0]->isLimited(ordering));
    group.offer({ 0, 0, 0 }, 20);
    CHECK_FALSE(group.hosts[0]->isLimited(ordering));
}

// Guards against limits of 0 being read as "no flows allowed".
TEST_CASE("a service with limits of 0 admits all flows and is never limited")
{
    Group group(configurationWithLimits(0, 0));
    CHECK(group.offer({ 5, 5, 5 }, 2) == std::vector<int> { 500, 500, 500 });
    CHECK_FALSE(group.hosts[0]->isLimited(ordering));
}
