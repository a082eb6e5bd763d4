#include "bergamotroute/safety_check.h"

#include "bergamotroute/manifest_diff.h"
#include "configuration/data_centre_state.h"

#include <algorithm>
#include <set>

namespace bergamotroute {

namespace {

    constexpr std::uint32_t zeroWeight = 0;

    bool servesFrom(const schema::Service& service, const std::string& dataCentre)
    {
        return service.data_centres().empty()
            || std::find(service.data_centres().begin(), service.data_centres().end(), dataCentre)
            != service.data_centres().end();
    }

    bool isBackendEnabled(const schema::Configuration& configuration, const schema::TargetState& target)
    {
        return std::none_of(configuration.backends().begin(), configuration.backends().end(),
            [&](const schema::BackendOverride& backend) {
                return backend.service() == target.service() && backend.address() == target.address()
                    && (backend.state() != schema::BACKEND_READY || backend.weight_percent() == zeroWeight);
            });
    }

    /// @return number of backend servers of a service that would accept new flows under a configuration.
    std::size_t countAccepting(
        const schema::Service& service, const schema::Configuration& configuration, const DeploymentView& view)
    {
        std::set<std::string> addresses;
        for (const schema::TargetState& target : view.targets) {
            const bool isAccepting = target.service() == service.name() && target.accepts_new_flows()
                && isBackendEnabled(configuration, target) && servesFrom(service, target.data_centre())
                && !isDataCentreStopped(configuration, target.data_centre());
            if (isAccepting)
                addresses.insert(target.address());
        }
        return addresses.size();
    }

    const schema::Service* findService(const schema::Configuration& configuration, const std::string& name)
    {
        for (const schema::Service& service : configuration.services()) {
            if (service.name() == name)
                return &service;
        }
        return nullptr;
    }

    SafetyViolation checkBackends(const schema::Configuration& next, const DeploymentView& view)
    {
        for (const schema::Service& service : view.configuration.services()) {
            const schema::Service* after = findService(next, service.name());
            if (after == nullptr || countAccepting(service, view.configuration, view) == 0)
                continue;
            if (countAccepting(*after, next, view) == 0)
                return { ResultCode::LastBackend,
                    "service " + service.name()
                        + " would have no backend server that accepts new flows; --force overrides" };
        }
        return {};
    }

    /// @return true if the changes can leave a service with fewer accepting backend servers.
    bool mayRemoveBackends(std::span<const schema::Change> changes)
    {
        return std::any_of(changes.begin(), changes.end(), [](const schema::Change& change) {
            if (change.has_set_backend())
                return change.set_backend().state() != schema::BACKEND_READY
                    || change.set_backend().weight_percent() == zeroWeight;
            if (change.has_set_data_centre())
                return change.set_data_centre().stopped();
            if (change.has_move_service())
                return !change.move_service().new_data_centres().empty();
            return change.has_edit_service() && !change.edit_service().data_centres().empty();
        });
    }

    bool isEntryHostEnabled(const schema::Configuration& configuration, const std::string& host)
    {
        return std::none_of(configuration.entry_hosts().begin(), configuration.entry_hosts().end(),
            [&](const schema::EntryHostOverride& entry) {
                return entry.host() == host && entry.state() != schema::HOST_READY;
            });
    }

    SafetyViolation checkEntryHosts(const schema::Configuration& next, const DeploymentView& view)
    {
        const auto isRemaining = [&](const schema::EntryHostState& host) {
            return host.member_state() == schema::MEMBER_READY && isEntryHostEnabled(next, host.host());
        };
        if (std::any_of(view.entryHosts.begin(), view.entryHosts.end(), isRemaining))
            return {};
        return { ResultCode::NotReady, "no other entry host reported that it is ready; --force overrides" };
    }

    SafetyViolation checkControlHosts(const schema::Configuration& next, const DeploymentView& view)
    {
        std::size_t voters = 0;
        std::size_t reachable = 0;
        for (const schema::ControlMember& member : next.control_members()) {
            if (!member.voter())
                continue;
            ++voters;
            reachable += std::count(view.reachableControlIdentities.begin(), view.reachableControlIdentities.end(),
                             member.identity())
                > 0;
        }
        if (reachable > voters / 2)
            return {};
        return {
            ResultCode::MajorityLoss,
            std::to_string(reachable) + " of the " + std::to_string(voters)
                + " control hosts that would remain as voters can be reached, which is no majority; --force overrides"
        };
    }

    template <typename Predicate> bool anyOf(std::span<const schema::Change> changes, Predicate predicate)
    {
        return std::any_of(changes.begin(), changes.end(), predicate);
    }

}

SafetyViolation checkSafety(std::span<const schema::Change> changes, const DeploymentView& view)
{
    schema::Configuration next = view.configuration;
    for (const schema::Change& change : changes)
        applyToConfiguration(change, next);
    if (mayRemoveBackends(changes)) {
        if (view.entryHosts.empty())
            return { ResultCode::LastBackend,
                "no entry host answered, so it is unknown whether a backend server would remain; --force overrides" };
        if (SafetyViolation violation = checkBackends(next, view))
            return violation;
    }
    const bool removesEntryHost = anyOf(changes, [](const schema::Change& change) {
        return change.has_set_entry_host() && change.set_entry_host().state() != schema::HOST_READY;
    });
    if (removesEntryHost) {
        if (SafetyViolation violation = checkEntryHosts(next, view))
            return violation;
    }
    const bool changesVoters = anyOf(changes, [](const schema::Change& change) {
        return change.change_case() == schema::Change::kRemoveControlMember
            || change.change_case() == schema::Change::kDemoteControlMember
            || change.change_case() == schema::Change::kPromoteControlMember;
    });
    return changesVoters ? checkControlHosts(next, view) : SafetyViolation {};
}

}
