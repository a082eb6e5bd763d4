#include "standins/fakecontrol/fake_configuration.h"

#include "bergamotroute/result_code.h"

namespace bergamotroute {

namespace {

    template <typename List, typename Matches> auto* findIn(List& list, Matches matches)
    {
        for (auto& item : list) {
            if (matches(item))
                return &item;
        }
        return static_cast<decltype(&list[0])>(nullptr);
    }

    template <typename List, typename Matches> bool eraseFrom(List& list, Matches matches)
    {
        for (int i = 0; i < list.size(); ++i) {
            if (matches(list[i])) {
                list.erase(list.begin() + i);
                return true;
            }
        }
        return false;
    }

    template <typename List, typename Item, typename Matches> void setIn(List& list, const Item& item, Matches matches)
    {
        auto* present = findIn(list, matches);
        *(present == nullptr ? list.Add() : present) = item;
    }

    ResultCode applyService(schema::Configuration& configuration, const schema::Change& change)
    {
        auto& services = *configuration.mutable_services();
        const auto find = [&](const std::string& name) {
            return findIn(services, [&](const schema::Service& service) { return service.name() == name; });
        };
        switch (change.change_case()) {
        case schema::Change::kAddService:
            if (find(change.add_service().name()) != nullptr)
                return ResultCode::ServiceExists;
            *services.Add() = change.add_service();
            return ResultCode::Ok;
        case schema::Change::kEditService:
            if (find(change.edit_service().name()) == nullptr)
                return ResultCode::ServiceUnknown;
            *find(change.edit_service().name()) = change.edit_service();
            return ResultCode::Ok;
        case schema::Change::kMoveService: {
            schema::Service* service = find(change.move_service().name());
            if (service == nullptr)
                return ResultCode::ServiceUnknown;
            if (!change.move_service().new_address().empty())
                service->set_address(change.move_service().new_address());
            if (!change.move_service().new_data_centres().empty())
                *service->mutable_data_centres() = change.move_service().new_data_centres();
            return ResultCode::Ok;
        }
        default: {
            const std::string& name = change.remove_service().name();
            return eraseFrom(services, [&](const schema::Service& service) { return service.name() == name; })
                ? ResultCode::Ok
                : ResultCode::ServiceUnknown;
        }
        }
    }

    ResultCode applyMember(schema::Configuration& configuration, const schema::Change& change)
    {
        auto& members = *configuration.mutable_control_members();
        const auto isMember = [](const std::string& identity) {
            return [&identity](const schema::ControlMember& member) { return member.identity() == identity; };
        };
        if (change.has_add_control_member()) {
            if (findIn(members, isMember(change.add_control_member().identity())) != nullptr)
                return ResultCode::MemberExists;
            *members.Add() = change.add_control_member();
            return ResultCode::Ok;
        }
        const bool promotes = change.change_case() == schema::Change::kPromoteControlMember;
        if (promotes || change.change_case() == schema::Change::kDemoteControlMember) {
            schema::ControlMember* member = findIn(
                members, isMember(promotes ? change.promote_control_member() : change.demote_control_member()));
            if (member == nullptr)
                return ResultCode::MemberUnknown;
            member->set_voter(promotes);
            return ResultCode::Ok;
        }
        return eraseFrom(members, isMember(change.remove_control_member())) ? ResultCode::Ok
                                                                            : ResultCode::MemberUnknown;
    }

    ResultCode applyChange(schema::Configuration& configuration, const schema::Change& change)
    {
        switch (change.change_case()) {
        case schema::Change::kSetBackend: {
            const schema::BackendOverride& backend = change.set_backend();
            setIn(*configuration.mutable_backends(), backend, [&](const schema::BackendOverride& present) {
                return present.service() == backend.service() && present.address() == backend.address();
            });
            return ResultCode::Ok;
        }
        case schema::Change::kSetDataCentre:
            setIn(*configuration.mutable_data_centres(), change.set_data_centre(),
                [&](const schema::DataCentre& present) { return present.name() == change.set_data_centre().name(); });
            return ResultCode::Ok;
        case schema::Change::kSetEntryHost:
            setIn(*configuration.mutable_entry_hosts(), change.set_entry_host(),
                [&](const schema::EntryHostOverride& present) {
                    return present.host() == change.set_entry_host().host();
                });
            return ResultCode::Ok;
        case schema::Change::kAddControlMember:
        case schema::Change::kPromoteControlMember:
        case schema::Change::kDemoteControlMember:
        case schema::Change::kRemoveControlMember:
            return applyMember(configuration, change);
        case schema::Change::CHANGE_NOT_SET:
            return ResultCode::CommandMalformed;
        default:
            return applyService(configuration, change);
        }
    }

}

FakeConfiguration::FakeConfiguration() { m_configuration.set_revision(1); }

const schema::CommandResult* FakeConfiguration::find(const std::string& requestId) const
{
    const auto place = m_results.find(requestId);
    return place == m_results.end() ? nullptr : &place->second;
}

schema::CommandResult FakeConfiguration::apply(const schema::Command& command)
{
    if (const schema::CommandResult* remembered = find(command.request_id()))
        return *remembered;
    schema::Configuration next = m_configuration;
    ResultCode code = ResultCode::Ok;
    if (command.expect_revision() != 0 && command.expect_revision() != m_configuration.revision())
        code = ResultCode::RevisionStale;
    for (int i = 0; i < command.changes_size() && code == ResultCode::Ok; ++i)
        code = applyChange(next, command.changes(i));
    schema::CommandResult result;
    if (code == ResultCode::Ok) {
        next.set_revision(next.revision() + 1);
        m_configuration = next;
        schema::LogEntry& entry = m_history.emplace_back();
        entry.set_index(next.revision());
        *entry.mutable_command() = command;
    }
    result.set_outcome(code == ResultCode::Ok ? schema::OUTCOME_ACCEPTED : schema::OUTCOME_NOT_ACCEPTED);
    result.set_revision(m_configuration.revision());
    result.set_code(static_cast<std::uint32_t>(code));
    result.set_message(code == ResultCode::Ok ? "" : make_error_code(code).message());
    result.set_request_id(command.request_id());
    m_results[command.request_id()] = result;
    return result;
}

}
