/// @file
/// Guards against entry hosts that disagree on the groups of targets, groups of uneven size, and groups that change
/// more than needed when targets come and go: each makes hosts place flows on targets whose load they do not know.

#include "cookie/steering_deployment.h"
#include "cookie/target_groups.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <memory>

using namespace bergamotroute;
using namespace bergamotroute::deploymenttest;

namespace {

constexpr std::size_t hostsPerGroup = 4;
/// Requests per second that use 65 % of the slots of 40 targets.
constexpr double surgeRate = 1155;

/// 28 hosts on small links: 2 % of the link suffice for a report to each host of the data centre in 0.65 s, or to each
/// host of a group of four in 0.07 s.
Setup makeSetup(bool hasGroups)
{
    Setup setup;
    setup.queueCapacity = 4;
    setup.groupReportInterval = Duration(hasGroups ? 70 : 650);
    setup.hostsPerGroup = hasGroups ? hostsPerGroup : 0;
    return setup;
}

std::string hostName(int index) { return "entry-" + std::to_string(100 + index); }

RegisteredTarget makeTarget(int number, const std::string& service, const std::string& dataCentre)
{
    RegisteredTarget target;
    std::array<char, 16> id {};
    std::snprintf(id.data(), id.size(), "i-%x", 0x1000 + number);
    target.record.set_id(id.data());
    target.record.set_service(service);
    target.record.set_endpoint("10.0.0.1:" + std::to_string(number));
    target.record.set_data_centre(dataCentre);
    target.record.set_slots(2);
    target.record.set_born_ms(1);
    return target;
}

/// What one entry host knows.
struct Host {
    explicit Host(const std::string& name)
        : groups(name, "a", hostsPerGroup, pool)
    {
    }

    std::vector<std::string> ownTargets(const std::string& service)
    {
        groups.refresh();
        std::vector<std::string> own;
        for (const PooledTarget* target : pool.targetsOf(service)) {
            if (target->isInGroup)
                own.push_back(target->id);
        }
        std::sort(own.begin(), own.end());
        return own;
    }

    TargetPool pool { parseTargetNumber };
    TargetGroups groups;
};

struct Fixture {
    ManualClock clock;
    std::map<std::string, std::unique_ptr<Host>> hosts;

    void setHosts(int count)
    {
        std::vector<EntryHostLocation> list;
        list.reserve(2 * static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i)
            list.push_back({ hostName(i), "a" });
        for (int i = 0; i < count; ++i)
            list.push_back({ "other-" + std::to_string(i), "b" });
        for (int i = 0; i < count; ++i) {
            auto& host = hosts[hostName(i)];
            if (!host)
                host = std::make_unique<Host>(hostName(i));
            host->groups.setEntryHosts(list);
        }
    }

    void addTarget(int number, const std::string& service = "orders", const std::string& dataCentre = "a")
    {
        for (auto& [name, host] : hosts) {
            host->pool.update(makeTarget(number, service, dataCentre), clock.now());
            host->groups.noteTargetChange();
        }
    }

    void removeTarget(int number)
    {
        RegisteredTarget target = makeTarget(number, "orders", "a");
        target.record.set_phase(schema::TARGET_GONE);
        for (auto& [name, host] : hosts) {
            host->pool.update(target, clock.now());
            host->groups.noteTargetChange();
        }
    }

    /// @return for each target the hosts in whose group it is.
    std::map<std::string, std::vector<std::string>> hostsOfTargets(const std::string& service = "orders")
    {
        std::map<std::string, std::vector<std::string>> result;
        for (auto& [name, host] : hosts) {
            for (const std::string& target : host->ownTargets(service))
                result[target].push_back(name);
        }
        return result;
    }
};

}

TEST_CASE_FIXTURE(Fixture, "28 hosts divide 40 targets evenly, and all hosts of a group agree on it")
{
    setHosts(28);
    for (int i = 0; i < 40; ++i)
        addTarget(i);
    for (int i = 0; i < 40; ++i)
        addTarget(1000 + i, "orders", "b");
    const auto owners = hostsOfTargets();
    CHECK(owners.size() == 40);
    for (const auto& [target, names] : owners) {
        CHECK(names.size() == hostsPerGroup);
        for (const std::string& name : names) {
            for (const std::string& other : names)
                CHECK((name == other || hosts[name]->groups.isMember(other)));
        }
    }
    for (auto& [name, host] : hosts) {
        CHECK(host->groups.isActive());
        const std::size_t count = host->ownTargets("orders").size();
        CHECK(count >= 40 / 7);
        CHECK(count <= 40 / 7 + 1);
        CHECK_FALSE(host->groups.isMember(name));
        CHECK_FALSE(host->groups.isMember("other-1"));
    }
}

TEST_CASE_FIXTURE(Fixture, "a target that leaves or comes moves at most one other target at each border of two groups")
{
    setHosts(28);
    for (int i = 0; i < 40; ++i)
        addTarget(i);
    const auto before = hostsOfTargets();
    removeTarget(17);
    int moved = 0;
    for (const auto& [target, names] : hostsOfTargets())
        moved += before.at(target) != names ? 1 : 0;
    CHECK(moved <= 6);
    addTarget(41);
    CHECK(hostsOfTargets().size() == 40);
}

TEST_CASE_FIXTURE(Fixture, "a service with fewer targets than groups leaves no group without targets")
{
    setHosts(28);
    for (int i = 0; i < 5; ++i)
        addTarget(i);
    addTarget(50, "manifests");
    for (auto& [name, host] : hosts) {
        CHECK(host->ownTargets("orders").size() >= 2);
        CHECK(host->ownTargets("manifests").size() == 1);
    }
}

TEST_CASE_FIXTURE(Fixture, "hosts that leave dissolve or merge groups, and a single group is none")
{
    setHosts(28);
    for (int i = 0; i < 40; ++i)
        addTarget(i);
    setHosts(9);
    hosts.erase(hosts.find(hostName(9)), hosts.end());
    for (const auto& [target, names] : hostsOfTargets())
        CHECK(names.size() >= hostsPerGroup);
    setHosts(7);
    CHECK_FALSE(hosts[hostName(0)]->groups.isActive());
}

TEST_CASE_FIXTURE(Fixture, "a target whose cookie another one has is in a group as soon as that one is gone")
{
    setHosts(28);
    for (int i = 0; i < 40; ++i)
        addTarget(i);
    // The number of this target has the same cookie as the target that has started before.
    RegisteredTarget rejected = makeTarget(0, "orders", "a");
    std::array<char, 24> id {};
    std::snprintf(id.data(), id.size(), "i-%x", 0x1000);
    rejected.record.set_id(std::string("i-0000") + (id.data() + 2));
    rejected.record.set_born_ms(2);
    Host& host = *hosts[hostName(0)];
    const auto countMarked = [&host] {
        host.groups.refresh();
        std::size_t count = 0;
        for (const auto& [name, target] : host.pool.all())
            count += target->isInGroup ? 1 : 0;
        return count;
    };
    for (auto& [name, each] : hosts) {
        each->pool.update(rejected, clock.now());
        each->groups.noteTargetChange();
    }
    const std::size_t before = countMarked();
    CHECK(hostsOfTargets().size() == 40);
    removeTarget(0);
    CHECK(hostsOfTargets().size() == 40);
    CHECK(countMarked() >= before - 1);
}

TEST_CASE_FIXTURE(Fixture, "a host that is not listed yet has no group")
{
    setHosts(28);
    Host fresh("entry-new");
    fresh.groups.setEntryHosts({ { hostName(0), "a" }, { hostName(1), "a" } });
    CHECK_FALSE(fresh.groups.isActive());
    CHECK_FALSE(fresh.groups.isMember(hostName(0)));
}

TEST_CASE("in a surge that uses two thirds of the slots, targets refuse fewer than a third of the requests with groups")
{
    std::map<bool, Outcome> outcomes;
    for (const bool hasGroups : { false, true }) {
        Deployment deployment(makeSetup(hasGroups));
        deployment.run(Duration(2000), surgeRate);
        deployment.outcome = {};
        deployment.run(Duration(6000), surgeRate);
        outcomes[hasGroups] = deployment.outcome;
    }
    CHECK(outcomes[false].refused > 100);
    CHECK(outcomes[true].refused <= outcomes[false].refused / 3);
    CHECK(outcomes[true].late <= outcomes[false].late);
}

TEST_CASE("if all hosts of a group are killed in a surge, the others use its targets, before and after a new list")
{
    Deployment without(makeSetup(false));
    Deployment deployment(makeSetup(true));
    for (Deployment* each : { &without, &deployment }) {
        each->run(Duration(2000), surgeRate);
        int killed = 0;
        for (int host = 1; host < 28 && killed < 3; ++host) {
            const bool isMember = deployment.hosts[0]->isGroupMember(deployment.locationOf(host));
            each->isRunning[host] = !isMember;
            killed += isMember ? 1 : 0;
        }
        each->isRunning[0] = false;
        each->outcome = {};
        each->run(Duration(5000), surgeRate);
        each->listHosts();
        each->run(Duration(3000), surgeRate);
    }
    CHECK(without.outcome.refused > 100);
    CHECK(deployment.outcome.refused <= without.outcome.refused / 3);
    CHECK(deployment.outcome.late <= without.outcome.late);
}

TEST_CASE("if the targets of a group are slow, its hosts send most flows to other groups")
{
    Deployment deployment(makeSetup(true));
    deployment.run(Duration(2000), surgeRate / 2);
    // The targets of one group are neighbours in an order by hash.
    std::vector<int> slow;
    for (int target = 0; target < 40; ++target) {
        FlowId flow { 0x64400001, serviceAddress, 4000, servicePort };
        const auto explanation = deployment.hosts[0]->explainPlacement(flow, deployment.clock.now());
        for (const schema::TargetCostState& state : explanation.targets()) {
            if (state.target() == deployment.targets[target]->registered.record.id() && state.other_group() == 0)
                slow.push_back(target);
        }
    }
    REQUIRE(slow.size() >= 5);
    for (const int target : slow)
        deployment.setSlowdown(target, 1, 6);
    deployment.run(Duration(2000), surgeRate / 2);
    deployment.outcome = {};
    const auto requests = [&] {
        int sum = 0;
        for (const int target : slow)
            sum += deployment.targets[target]->requests;
        return sum;
    };
    const int before = requests();
    deployment.run(Duration(4000), surgeRate / 2);
    const double fair = deployment.fairShare(Duration(4000), surgeRate / 2) * static_cast<double>(slow.size());
    CHECK(requests() - before < fair / 2);
    CHECK(deployment.outcome.refused <= 10);
}
