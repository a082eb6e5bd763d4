// Applies changes to a configuration, without validity checks.

#include "bergamotroute/manifest_diff.h"

#include <google/protobuf/util/message_differencer.h>

namespace bergamotroute {

namespace {

    using google::protobuf::util::MessageDifferencer;

    template <typename List, typename Matches> auto* findIn(List& list, Matches matches)
    {
        for (auto& item : list) {
            if (matches(item))
                return &item;
        }
        return static_cast<typename List::value_type*>(nullptr);
    }

    template <typename List, typename Matches> bool eraseFrom(List& list, Matches matches)
    {
        for (int i = 0; i < list.size(); ++i) {
            if (matches(list[i])) {
                list.DeleteSubrange(i, 1);
                return true;
            }
        }
        return false;
    }

    template <typename List, typename Item, typename Matches> bool upsert(List& list, const Item& item, Matches matches)
    {
        Item* present = findIn(list, matches);
        if (present != nullptr && MessageDifferencer::Equals(*present, item))
            return false;
        *(present == nullptr ? list.Add() : present) = item;
        return true;
    }

    auto hasName(const std::string& name)
    {
        return [&name](const auto& item) { return item.name() == name; };
    }

    auto hasIdentity(const std::string& identity)
    {
        return [&identity](const schema::ControlMember& member) { return member.identity() == identity; };
    }

    bool moveService(const schema::MoveService& move, schema::Configuration& configuration)
    {
        schema::Service* service = findIn(*configuration.mutable_services(), hasName(move.name()));
        if (service == nullptr)
            return false;
        const schema::Service before = *service;
        if (!move.new_address().empty())
            service->set_address(move.new_address());
        if (!move.new_data_centres().empty())
            *service->mutable_data_centres() = move.new_data_centres();
        return !MessageDifferencer::Equals(before, *service);
    }

    bool setBackend(const schema::BackendOverride& backend, schema::Configuration& configuration)
    {
        return upsert(*configuration.mutable_backends(), backend, [&](const schema::BackendOverride& present) {
            return present.service() == backend.service() && present.address() == backend.address();
        });
    }

    /// Only the state counts: time, caller and revision of the last change are not part of what is wanted.
    bool setDataCentre(const schema::DataCentre& desired, schema::Configuration& configuration)
    {
        schema::DataCentre* present = findIn(*configuration.mutable_data_centres(), hasName(desired.name()));
        if (present != nullptr && present->stopped() == desired.stopped())
            return false;
        schema::DataCentre& target = present == nullptr ? *configuration.add_data_centres() : *present;
        target.set_name(desired.name());
        target.set_stopped(desired.stopped());
        return true;
    }

    bool setVoter(const std::string& identity, bool votes, schema::Configuration& configuration)
    {
        schema::ControlMember* member = findIn(*configuration.mutable_control_members(), hasIdentity(identity));
        if (member == nullptr || member->voter() == votes)
            return false;
        member->set_voter(votes);
        return true;
    }

}

bool applyToConfiguration(const schema::Change& change, schema::Configuration& configuration)
{
    switch (change.change_case()) {
    case schema::Change::kAddService:
        return upsert(*configuration.mutable_services(), change.add_service(), hasName(change.add_service().name()));
    case schema::Change::kEditService:
        return upsert(*configuration.mutable_services(), change.edit_service(), hasName(change.edit_service().name()));
    case schema::Change::kMoveService:
        return moveService(change.move_service(), configuration);
    case schema::Change::kRemoveService:
        return eraseFrom(*configuration.mutable_services(), hasName(change.remove_service().name()));
    case schema::Change::kSetBackend:
        return setBackend(change.set_backend(), configuration);
    case schema::Change::kSetDataCentre:
        return setDataCentre(change.set_data_centre(), configuration);
    case schema::Change::kSetEntryHost:
        return upsert(*configuration.mutable_entry_hosts(), change.set_entry_host(),
            [&](const schema::EntryHostOverride& present) { return present.host() == change.set_entry_host().host(); });
    case schema::Change::kAddControlMember:
        return upsert(*configuration.mutable_control_members(), change.add_control_member(),
            hasIdentity(change.add_control_member().identity()));
    case schema::Change::kPromoteControlMember:
        return setVoter(change.promote_control_member(), true, configuration);
    case schema::Change::kDemoteControlMember:
        return setVoter(change.demote_control_member(), false, configuration);
    case schema::Change::kRemoveControlMember:
        return eraseFrom(*configuration.mutable_control_members(), hasIdentity(change.remove_control_member()));
    case schema::Change::kPutDocument:
        *configuration.mutable_document() = change.put_document();
        return true;
    case schema::Change::CHANGE_NOT_SET:
        return false;
    }
    return false;
}

}
