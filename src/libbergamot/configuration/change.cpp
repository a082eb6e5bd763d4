#include "configuration/change.h"

#include "bergamotroute/types.h"
#include "configuration/data_centre_state.h"

#include <algorithm>

namespace bergamotroute {

namespace {

    using schema::Configuration;

    constexpr std::uint32_t maxWeightPercent = 1000;

    CommandStatus reject(ResultCode code, std::string message) { return { code, std::move(message) }; }

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

    CommandStatus checkAddressFree(const Configuration& configuration, const schema::Service& desired)
    {
        for (const schema::Service& other : configuration.services()) {
            const bool conflicts = other.name() != desired.name() && other.protocol() == desired.protocol()
                && sharesPort(other, desired) && sameAddress(other.address(), desired.address());
            if (conflicts)
                return reject(ResultCode::AddressInUse, "service " + other.name() + " uses " + desired.address());
        }
        return {};
    }

    CommandStatus storeService(Configuration& configuration, const schema::Service& service, bool force)
    {
        if (CommandStatus status = checkService(service); !status.accepted())
            return status;
        if (CommandStatus status = checkAddressFree(configuration, service); !status.accepted())
            return status;
        if (!force && hasOnlyStoppedDataCentres(configuration, service))
            return lastDataCentreError(service);
        schema::Service* existing = findService(configuration, service.name());
        *(existing ? existing : configuration.add_services()) = service;
        return {};
    }

    CommandStatus unknownServiceError(const std::string& name)
    {
        return reject(ResultCode::ServiceUnknown, "no service is named \"" + name + '"');
    }

    CommandStatus addService(Configuration& configuration, const schema::Service& service, bool force)
    {
        if (findService(configuration, service.name()))
            return reject(ResultCode::ServiceExists, "service " + service.name() + " exists");
        return storeService(configuration, service, force);
    }

    CommandStatus editService(Configuration& configuration, const schema::Service& service, bool force)
    {
        if (!findService(configuration, service.name()))
            return unknownServiceError(service.name());
        return storeService(configuration, service, force);
    }

    CommandStatus moveService(Configuration& configuration, const schema::MoveService& move, bool force)
    {
        const schema::Service* existing = findService(configuration, move.name());
        if (!existing)
            return unknownServiceError(move.name());
        if (move.new_address().empty() && move.new_data_centres().empty())
            return reject(ResultCode::InvalidValue, "a move needs a new address or new data centres");
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

    CommandStatus removeService(Configuration& configuration, const std::string& name)
    {
        if (!findService(configuration, name))
            return unknownServiceError(name);
        eraseIf(*configuration.mutable_services(), [&](const schema::Service& item) { return item.name() == name; });
        eraseIf(*configuration.mutable_backends(),
            [&](const schema::BackendOverride& item) { return item.service() == name; });
        return {};
    }

    CommandStatus setBackend(Configuration& configuration, const schema::BackendOverride& desired)
    {
        if (!findService(configuration, desired.service()))
            return unknownServiceError(desired.service());
        std::error_code error;
        const IpAddress address = IpAddress::parse(desired.address(), error);
        if (error)
            return reject(
                ResultCode::InvalidValue, "backend address \"" + desired.address() + "\" is not an IP address");
        if (desired.weight_percent() > maxWeightPercent || !schema::BackendAdminState_IsValid(desired.state()))
            return reject(ResultCode::InvalidValue, "backend " + desired.address() + ": weight must be at most 1000");
        for (schema::BackendOverride& existing : *configuration.mutable_backends()) {
            if (existing.service() != desired.service() || IpAddress::parse(existing.address(), error) != address)
                continue;
            existing = desired;
            return {};
        }
        *configuration.add_backends() = desired;
        return {};
    }

    CommandStatus setEntryHost(Configuration& configuration, const schema::EntryHostOverride& desired)
    {
        if (desired.host().empty() || !schema::HostAdminState_IsValid(desired.state()))
            return reject(ResultCode::InvalidValue, "an entry host needs a name and a valid state");
        for (schema::EntryHostOverride& existing : *configuration.mutable_entry_hosts()) {
            if (existing.host() == desired.host()) {
                existing = desired;
                return {};
            }
        }
        *configuration.add_entry_hosts() = desired;
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

    CommandStatus unknownMemberError(const std::string& identity)
    {
        return reject(ResultCode::MemberUnknown, "no control member has the identity \"" + identity + '"');
    }

    CommandStatus addMember(Configuration& configuration, const schema::ControlMember& member)
    {
        std::error_code error;
        Endpoint::parse(member.rpc_endpoint(), error);
        if (member.identity().empty() || member.host().empty() || error)
            return reject(ResultCode::InvalidValue, "a control member needs an identity, a host and an RPC endpoint");
        if (findMember(configuration, member.identity()))
            return reject(ResultCode::MemberExists, "member " + member.identity() + " exists");
        schema::ControlMember* added = configuration.add_control_members();
        *added = member;
        added->set_voter(false);
        return {};
    }

    CommandStatus promoteMember(Configuration& configuration, const std::string& identity)
    {
        schema::ControlMember* member = findMember(configuration, identity);
        if (!member)
            return unknownMemberError(identity);
        if (member->voter())
            return reject(ResultCode::MemberExists, "member " + identity + " votes already");
        member->set_voter(true);
        return {};
    }

    /// Refuses a change that would take the vote of the only voter.
    CommandStatus checkVotersRemain(const Configuration& configuration, const schema::ControlMember& leaving)
    {
        const auto& all = configuration.control_members();
        const auto voters
            = std::count_if(all.begin(), all.end(), [](const schema::ControlMember& item) { return item.voter(); });
        if (leaving.voter() && voters == 1)
            return reject(ResultCode::MajorityLoss, "the last voter must keep its vote");
        return {};
    }

    CommandStatus demoteMember(Configuration& configuration, const std::string& identity)
    {
        schema::ControlMember* member = findMember(configuration, identity);
        if (!member)
            return unknownMemberError(identity);
        if (!member->voter())
            return reject(ResultCode::MemberExists, "member " + identity + " has no vote already");
        if (CommandStatus status = checkVotersRemain(configuration, *member); !status.accepted())
            return status;
        member->set_voter(false);
        return {};
    }

    CommandStatus putDocument(Configuration& configuration, const schema::Document& document)
    {
        if (document.version() == 0)
            return reject(ResultCode::DocumentMalformed, "a document has a version above zero");
        if (document.version() > configuration.document().version())
            *configuration.mutable_document() = document;
        return {};
    }

    CommandStatus removeMember(Configuration& configuration, const std::string& identity)
    {
        const schema::ControlMember* member = findMember(configuration, identity);
        if (!member)
            return unknownMemberError(identity);
        if (CommandStatus status = checkVotersRemain(configuration, *member); !status.accepted())
            return status;
        eraseIf(*configuration.mutable_control_members(),
            [identity](const schema::ControlMember& item) { return item.identity() == identity; });
        return {};
    }

}

CommandStatus applyChange(Configuration& configuration, const schema::Change& change, bool force, std::uint64_t index)
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
        return setDataCentre(configuration, change.set_data_centre(), force, index);
    case schema::Change::kSetEntryHost:
        return setEntryHost(configuration, change.set_entry_host());
    case schema::Change::kAddControlMember:
        return addMember(configuration, change.add_control_member());
    case schema::Change::kPromoteControlMember:
        return promoteMember(configuration, change.promote_control_member());
    case schema::Change::kDemoteControlMember:
        return demoteMember(configuration, change.demote_control_member());
    case schema::Change::kRemoveControlMember:
        return removeMember(configuration, change.remove_control_member());
    case schema::Change::kPutDocument:
        return putDocument(configuration, change.put_document());
    case schema::Change::CHANGE_NOT_SET:
        break;
    }
    return reject(ResultCode::CommandMalformed, "a change is empty");
}

}
