#include "configuration/change.h"

#include "bergamotroute/types.h"

#include <algorithm>

namespace bergamotroute {

namespace {

    using schema::Configuration;

    constexpr std::uint32_t maxWeightPercent = 1000;

    CommandVerdict refuse(ResultCode code, std::string message) { return { code, std::move(message) }; }

    schema::Service* findService(Configuration& configuration, const std::string& name)
    {
        for (schema::Service& service : *configuration.mutable_services()) {
            if (service.name() == name)
                return &service;
        }
        return nullptr;
    }

    bool sameAddress(const std::string& left, const std::string& right)
    {
        std::error_code error;
        return IpAddress::parse(left, error) == IpAddress::parse(right, error) && !error;
    }

    bool sharesPort(const schema::Service& left, const schema::Service& right)
    {
        return std::any_of(left.ports().begin(), left.ports().end(), [&right](std::uint32_t port) {
            return std::find(right.ports().begin(), right.ports().end(), port) != right.ports().end();
        });
    }

    CommandVerdict checkAddressFree(const Configuration& configuration, const schema::Service& wanted)
    {
        for (const schema::Service& other : configuration.services()) {
            const bool clashes = other.name() != wanted.name() && other.protocol() == wanted.protocol()
                && sharesPort(other, wanted) && sameAddress(other.address(), wanted.address());
            if (clashes)
                return refuse(ResultCode::AddressInUse, "service " + other.name() + " uses " + wanted.address());
        }
        return {};
    }

    bool isStopped(const Configuration& configuration, const std::string& dataCentre)
    {
        const auto& all = configuration.data_centres();
        return std::any_of(all.begin(), all.end(), [&dataCentre](const schema::DataCentre& candidate) {
            return candidate.name() == dataCentre && candidate.stopped();
        });
    }

    /// A service that names its data centres has no backend server when all of them are stopped.
    bool hasNoDataCentre(const Configuration& configuration, const schema::Service& service)
    {
        const auto& names = service.data_centres();
        return !names.empty() && std::all_of(names.begin(), names.end(), [&configuration](const std::string& name) {
            return isStopped(configuration, name);
        });
    }

    CommandVerdict lastBackend(const schema::Service& service)
    {
        return refuse(ResultCode::LastBackend,
            "all data centres of service " + service.name() + " would be stopped; force overrides");
    }

    CommandVerdict storeService(Configuration& configuration, const schema::Service& service, bool force)
    {
        if (CommandVerdict verdict = checkService(service); !verdict.accepted())
            return verdict;
        if (CommandVerdict verdict = checkAddressFree(configuration, service); !verdict.accepted())
            return verdict;
        if (!force && hasNoDataCentre(configuration, service))
            return lastBackend(service);
        schema::Service* existing = findService(configuration, service.name());
        *(existing ? existing : configuration.add_services()) = service;
        return {};
    }

    CommandVerdict unknownService(const std::string& name)
    {
        return refuse(ResultCode::ServiceUnknown, "no service is named \"" + name + '"');
    }

    CommandVerdict addService(Configuration& configuration, const schema::Service& service, bool force)
    {
        if (findService(configuration, service.name()))
            return refuse(ResultCode::ServiceExists, "service " + service.name() + " exists");
        return storeService(configuration, service, force);
    }

    CommandVerdict editService(Configuration& configuration, const schema::Service& service, bool force)
    {
        if (!findService(configuration, service.name()))
            return unknownService(service.name());
        return storeService(configuration, service, force);
    }

    CommandVerdict moveService(Configuration& configuration, const schema::MoveService& move, bool force)
    {
        const schema::Service* existing = findService(configuration, move.name());
        if (!existing)
            return unknownService(move.name());
        if (move.new_address().empty() && move.new_data_centres().empty())
            return refuse(ResultCode::InvalidValue, "a move needs a new address or new data centres");
        schema::Service moved = *existing;
        if (!move.new_address().empty())
            moved.set_address(move.new_address());
        if (!move.new_data_centres().empty())
            *moved.mutable_data_centres() = move.new_data_centres();
        return storeService(configuration, moved, force);
    }

    template <typename List, typename Predicate> void eraseIf(List& list, Predicate predicate)
    {
        list.erase(std::remove_if(list.begin(), list.end(), predicate), list.end());
    }

    CommandVerdict removeService(Configuration& configuration, const std::string& name)
    {
        if (!findService(configuration, name))
            return unknownService(name);
        eraseIf(*configuration.mutable_services(), [&](const schema::Service& item) { return item.name() == name; });
        eraseIf(*configuration.mutable_backends(),
            [&](const schema::BackendOverride& item) { return item.service() == name; });
        return {};
    }

    CommandVerdict setBackend(Configuration& configuration, const schema::BackendOverride& wanted)
    {
        if (!findService(configuration, wanted.service()))
            return unknownService(wanted.service());
        std::error_code error;
        const IpAddress address = IpAddress::parse(wanted.address(), error);
        if (error)
            return refuse(
                ResultCode::InvalidValue, "backend address \"" + wanted.address() + "\" is not an IP address");
        if (wanted.weight_percent() > maxWeightPercent || !schema::BackendAdminState_IsValid(wanted.state()))
            return refuse(ResultCode::InvalidValue, "backend " + wanted.address() + ": weight must be at most 1000");
        for (schema::BackendOverride& existing : *configuration.mutable_backends()) {
            if (existing.service() != wanted.service() || IpAddress::parse(existing.address(), error) != address)
                continue;
            existing = wanted;
            return {};
        }
        *configuration.add_backends() = wanted;
        return {};
    }

    CommandVerdict setDataCentre(Configuration& configuration, const schema::DataCentre& wanted, bool force)
    {
        if (wanted.name().empty())
            return refuse(ResultCode::InvalidValue, "a data centre needs a name");
        auto& all = *configuration.mutable_data_centres();
        const auto existing = std::find_if(
            all.begin(), all.end(), [&](const schema::DataCentre& item) { return item.name() == wanted.name(); });
        const bool known = existing != all.end();
        const bool wasStopped = known && existing->stopped();
        schema::DataCentre* target = known ? &*existing : configuration.add_data_centres();
        *target = wanted;
        if (force || !wanted.stopped() || wasStopped)
            return {};
        for (const schema::Service& service : configuration.services()) {
            const auto& names = service.data_centres();
            const bool concerned = std::find(names.begin(), names.end(), wanted.name()) != names.end();
            if (!concerned || !hasNoDataCentre(configuration, service))
                continue;
            if (known)
                target->set_stopped(false);
            else
                configuration.mutable_data_centres()->RemoveLast();
            return lastBackend(service);
        }
        return {};
    }

    CommandVerdict setEntryHost(Configuration& configuration, const schema::EntryHostOverride& wanted)
    {
        if (wanted.host().empty() || !schema::HostAdminState_IsValid(wanted.state()))
            return refuse(ResultCode::InvalidValue, "an entry host needs a name and a valid state");
        for (schema::EntryHostOverride& existing : *configuration.mutable_entry_hosts()) {
            if (existing.host() == wanted.host()) {
                existing = wanted;
                return {};
            }
        }
        *configuration.add_entry_hosts() = wanted;
        return {};
    }

    schema::ControlMember* findMember(Configuration& configuration, const std::string& identity)
    {
        for (schema::ControlMember& member : *configuration.mutable_control_members()) {
            if (member.identity() == identity)
                return &member;
        }
        return nullptr;
    }

    CommandVerdict unknownMember(const std::string& identity)
    {
        return refuse(ResultCode::MemberUnknown, "no control member has the identity \"" + identity + '"');
    }

    CommandVerdict addMember(Configuration& configuration, const schema::ControlMember& member)
    {
        std::error_code error;
        Endpoint::parse(member.rpc_endpoint(), error);
        if (member.identity().empty() || member.host().empty() || error)
            return refuse(ResultCode::InvalidValue, "a control member needs an identity, a host and an RPC endpoint");
        if (findMember(configuration, member.identity()))
            return refuse(ResultCode::MemberExists, "member " + member.identity() + " exists");
        schema::ControlMember* added = configuration.add_control_members();
        *added = member;
        added->set_voter(false);
        return {};
    }

    CommandVerdict promoteMember(Configuration& configuration, const std::string& identity)
    {
        schema::ControlMember* member = findMember(configuration, identity);
        if (!member)
            return unknownMember(identity);
        if (member->voter())
            return refuse(ResultCode::MemberExists, "member " + identity + " votes already");
        member->set_voter(true);
        return {};
    }

    CommandVerdict putDocument(Configuration& configuration, const schema::Document& document)
    {
        if (document.version() == 0)
            return refuse(ResultCode::DocumentMalformed, "a document has a version above zero");
        if (document.version() > configuration.document().version())
            *configuration.mutable_document() = document;
        return {};
    }

    CommandVerdict removeMember(Configuration& configuration, const std::string& identity)
    {
        const schema::ControlMember* member = findMember(configuration, identity);
        if (!member)
            return unknownMember(identity);
        const auto& all = configuration.control_members();
        const auto voters
            = std::count_if(all.begin(), all.end(), [](const schema::ControlMember& item) { return item.voter(); });
        if (member->voter() && voters == 1)
            return refuse(ResultCode::MajorityLoss, "the last voter cannot be removed");
        eraseIf(*configuration.mutable_control_members(),
            [identity](const schema::ControlMember& item) { return item.identity() == identity; });
        return {};
    }

}

CommandVerdict applyChange(Configuration& configuration, const schema::Change& change, bool force)
{
    switch (change.change_case()) {
    case schema::Change::kAddService:
        return addService(configuration, change.add_service(), force);
    case schema::Change::kEditService:
        return editService(configuration, change.edit_service(), force);
    case schema::Change::kMoveService:
        return moveService(configuration, change.move_service(), force);
    case schema::Change::kRemoveService:
        return removeService(configuration, change.remove_service().name());
    case schema::Change::kSetBackend:
        return setBackend(configuration, change.set_backend());
    case schema::Change::kSetDataCentre:
        return setDataCentre(configuration, change.set_data_centre(), force);
    case schema::Change::kSetEntryHost:
        return setEntryHost(configuration, change.set_entry_host());
    case schema::Change::kAddControlMember:
        return addMember(configuration, change.add_control_member());
    case schema::Change::kPromoteControlMember:
        return promoteMember(configuration, change.promote_control_member());
    case schema::Change::kRemoveControlMember:
        return removeMember(configuration, change.remove_control_member());
    case schema::Change::kPutDocument:
        return putDocument(configuration, change.put_document());
    case schema::Change::CHANGE_NOT_SET:
        break;
    }
    return refuse(ResultCode::CommandMalformed, "a change is empty");
}

}
