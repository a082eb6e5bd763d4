#include "bergamotroute/safety_check.h"

#include <doctest/doctest.h>

using namespace bergamotroute;

namespace {

void addTarget(DeploymentView& view, const std::string& address, const std::string& dataCentre)
{
    schema::TargetState& target = view.targets.emplace_back();
    target.set_service("ordering");
    target.set_address(address);
    target.set_data_centre(dataCentre);
    target.set_accepts_new_flows(true);
}

void addHost(DeploymentView& view, const std::string& name)
{
    schema::EntryHostState& host = view.entryHosts.emplace_back();
    host.set_host(name);
    host.set_member_state(schema::MEMBER_READY);
}

DeploymentView makeView()
{
    DeploymentView view;
    view.configuration.add_services()->set_name("ordering");
    addHost(view, "e1");
    addHost(view, "e2");
    addTarget(view, "10.1.0.7", "east");
    addTarget(view, "10.1.0.8", "west");
    return view;
}

schema::Change backendChange(const std::string& address, schema::BackendAdminState state, std::uint32_t weight = 100)
{
    schema::Change change;
    change.mutable_set_backend()->set_service("ordering");
    change.mutable_set_backend()->set_address(address);
    change.mutable_set_backend()->set_state(state);
    change.mutable_set_backend()->set_weight_percent(weight);
    return change;
}

std::error_code check(const DeploymentView& view, const std::vector<schema::Change>& changes)
{
    return checkSafety(changes, view).code;
}

}

// Guards against changes of any kind that leave a service without an accepting backend server.
TEST_CASE("changes that remove the last accepting backend server of a service are refused")
{
    DeploymentView view = makeView();
    const schema::Change drainEast = backendChange("10.1.0.7", schema::BACKEND_DRAIN);
    const schema::Change zeroWest = backendChange("10.1.0.8", schema::BACKEND_READY, 0);
    schema::Change stopWest;
    stopWest.mutable_set_data_centre()->set_name("west");
    stopWest.mutable_set_data_centre()->set_stopped(true);
    schema::Change toEast;
    toEast.mutable_move_service()->set_name("ordering");
    toEast.mutable_move_service()->add_new_data_centres("east");
    CHECK_FALSE(check(view, { drainEast }));
    CHECK_FALSE(check(view, { stopWest }));
    CHECK(check(view, { drainEast, zeroWest }) == ResultCode::LastBackend);
    CHECK(check(view, { drainEast, stopWest }) == ResultCode::LastBackend);
    CHECK(check(view, { drainEast, toEast }) == ResultCode::LastBackend);
    CHECK(checkSafety(std::vector { drainEast, stopWest }, view).reason.find("--force") != std::string::npos);
}

// Guards against a refusal of changes to a service that has no accepting backend server in the first place.
TEST_CASE("backend servers can be removed from a service that has none accepting new flows")
{
    DeploymentView view = makeView();
    view.targets.clear();
    CHECK_FALSE(check(view, { backendChange("10.1.0.7", schema::BACKEND_REMOVED) }));
}

// Guards against a check that passes because no entry host could be asked.
TEST_CASE("a change that may remove backend servers is refused if no entry host answered")
{
    DeploymentView view = makeView();
    view.entryHosts.clear();
    CHECK(check(view, { backendChange("10.1.0.7", schema::BACKEND_DRAIN) }) == ResultCode::LastBackend);
    CHECK_FALSE(check(view, { backendChange("10.1.0.7", schema::BACKEND_READY) }));
}

// Guards against removal of the only entry host that is still ready.
TEST_CASE("a change that removes the last ready entry host is refused")
{
    DeploymentView view = makeView();
    schema::Change leave;
    leave.mutable_set_entry_host()->set_host("e1");
    leave.mutable_set_entry_host()->set_state(schema::HOST_LEAVE);
    CHECK_FALSE(check(view, { leave }));
    view.entryHosts[1].set_member_state(schema::LEAVING);
    CHECK(check(view, { leave }) == ResultCode::NotReady);
}

// Guards against removal of a control host after which the reachable ones are no majority of the voters.
TEST_CASE("removing a control host is refused if no majority of the remaining ones can be reached")
{
    DeploymentView view = makeView();
    for (const char* identity : { "a", "b", "c" }) {
        schema::ControlMember& member = *view.configuration.add_control_members();
        member.set_identity(identity);
        member.set_voter(true);
    }
    view.reachableControlIdentities = { "a", "b" };
    schema::Change remove;
    remove.set_remove_control_member("b");
    CHECK(check(view, { remove }) == ResultCode::MajorityLoss);
    remove.set_remove_control_member("c");
    CHECK_FALSE(check(view, { remove }));
}
