// Descriptions of changes for operators.

#include "bergamotroute/manifest_diff.h"

namespace bergamotroute {

namespace {

    std::string describeService(const schema::Service& service)
    {
        std::string text = "service " + service.name() + ' ' + service.address();
        for (int i = 0; i < service.ports_size(); ++i)
            text += (i == 0 ? ":" : ",") + std::to_string(service.ports(i));
        return text;
    }

    std::string describeMove(const schema::MoveService& move)
    {
        std::string text = "move service " + move.name() + " to";
        if (!move.new_address().empty())
            text += " address " + move.new_address();
        for (const std::string& dataCentre : move.new_data_centres())
            text += " data centre " + dataCentre;
        return text;
    }

    std::string describeBackend(const schema::BackendOverride& backend)
    {
        static constexpr const char* states[] = { "ready", "drain", "maintenance", "removed" };
        return "set backend " + backend.address() + " of " + backend.service() + ": " + states[backend.state()]
            + ", weight " + std::to_string(backend.weight_percent()) + '%';
    }

    std::string describeEntryHost(const schema::EntryHostOverride& host)
    {
        static constexpr const char* states[] = { "ready", "drain", "leave" };
        return "set entry host " + host.host() + ": " + states[host.state()];
    }

}

std::string describeChange(const schema::Change& change)
{
    switch (change.change_case()) {
    case schema::Change::kAddService:
        return "add " + describeService(change.add_service());
    case schema::Change::kEditService:
        return "edit " + describeService(change.edit_service());
    case schema::Change::kMoveService:
        return describeMove(change.move_service());
    case schema::Change::kRemoveService:
        return "remove service " + change.remove_service().name();
    case schema::Change::kSetBackend:
        return describeBackend(change.set_backend());
    case schema::Change::kSetDataCentre:
        return std::string(change.set_data_centre().stopped() ? "stop" : "start") + " data centre "
            + change.set_data_centre().name();
    case schema::Change::kSetEntryHost:
        return describeEntryHost(change.set_entry_host());
    case schema::Change::kAddControlMember:
        return "add control host " + change.add_control_member().host() + ' '
            + change.add_control_member().rpc_endpoint();
    case schema::Change::kPromoteControlMember:
        return "promote control member " + change.promote_control_member();
    case schema::Change::kDemoteControlMember:
        return "demote control member " + change.demote_control_member();
    case schema::Change::kRemoveControlMember:
        return "remove control member " + change.remove_control_member();
    case schema::Change::kPutDocument:
        return "put document version " + std::to_string(change.put_document().version());
    case schema::Change::CHANGE_NOT_SET:
        break;
    }
    return "empty change";
}

}
