#include "bergamotroute/result_code.h"

#include <algorithm>
#include <array>
#include <string>

namespace bergamotroute {

namespace {

    constexpr auto resultCodes = std::to_array<ResultCodeInfo>({
        { ResultCode::Ok, "Ok", "The operation succeeded." },
        { ResultCode::SettingsUnreadable, "SettingsUnreadable",
            "The settings file cannot be read; check the path and its permissions." },
        { ResultCode::SettingsSyntax, "SettingsSyntax",
            "The file is not valid JSON with comments; the message names file and line." },
        { ResultCode::SettingsUnknownKey, "SettingsUnknownKey",
            "The key is not in the schema; check its spelling in docs/SETTINGS.md." },
        { ResultCode::SettingsWrongType, "SettingsWrongType",
            "The value does not have the type that the schema requires." },
        { ResultCode::SettingsOutOfRange, "SettingsOutOfRange",
            "The value is outside the range given in docs/SETTINGS.md." },
        { ResultCode::SettingsMissingKey, "SettingsMissingKey", "A required key is missing." },
        { ResultCode::SettingsClash, "SettingsClash",
            "Two keys specify the same address and port, or their values conflict." },
        { ResultCode::PacketTooShort, "PacketTooShort", "The packet ends inside a header; dropped." },
        { ResultCode::PacketBadVersion, "PacketBadVersion", "The inner packet is neither IPv4 nor IPv6; dropped." },
        { ResultCode::PacketBadLength, "PacketBadLength",
            "A length field does not match the size of the datagram; dropped." },
        { ResultCode::PacketUnsupportedProtocol, "PacketUnsupportedProtocol",
            "The inner packet carries neither TCP nor UDP; dropped." },
        { ResultCode::PacketFragment, "PacketFragment",
            "The inner packet is a fragment; dropped because its ports are unknown." },
        { ResultCode::PacketUnknownService, "PacketUnknownService",
            "No service has the packet's destination address and port; dropped." },
        { ResultCode::AnnouncementMalformed, "AnnouncementMalformed",
            "The announcement does not match the schema; the message names the key." },
        { ResultCode::AnnouncementUnknownService, "AnnouncementUnknownService",
            "The announced service is not configured." },
        { ResultCode::AnnouncementForbiddenNetwork, "AnnouncementForbiddenNetwork",
            "The announced address is outside the service's allowed networks." },
        { ResultCode::AnnouncementAddressClaimed, "AnnouncementAddressClaimed",
            "The announced address is in use by another service." },
        { ResultCode::AnnouncementQuarantined, "AnnouncementQuarantined",
            "The address was released recently by another service; announce again after the quarantine." },
        { ResultCode::AnnouncementStale, "AnnouncementStale",
            "A newer incarnation of the backend server has announced itself." },
        { ResultCode::TargetLeaseEnded, "TargetLeaseEnded",
            "The backend server did not renew its announcement; it gets no new flows." },
        { ResultCode::TargetUnhealthy, "TargetUnhealthy", "Health checks fail; the target gets no new flows." },
        { ResultCode::TargetRemoved, "TargetRemoved", "An operator removed the target." },
        { ResultCode::TargetFound, "TargetFound",
            "The first heartbeat of a target, or of a newer incarnation of it, was received." },
        { ResultCode::TargetDraining, "TargetDraining", "A target is draining and accepts no new flows." },
        { ResultCode::TargetGone, "TargetGone",
            "A target reported that it is gone, or a newer incarnation has taken over its address." },
        { ResultCode::TargetSilent, "TargetSilent",
            "No heartbeat was received from the target for several intervals." },
        { ResultCode::TargetHeard, "TargetHeard", "A silent target sends heartbeats again." },
        { ResultCode::TargetUnresponsive, "TargetUnresponsive",
            "Several first packets to the target got no answer; new flows temporarily go to other targets." },
        { ResultCode::TargetResponsive, "TargetResponsive", "An unresponsive target answers again." },
        { ResultCode::TargetLeave, "TargetLeave",
            "A target asked to leave; if the call names no start time, later heartbeats show whether an earlier "
            "incarnation sent it." },
        { ResultCode::TargetUnnamed, "TargetUnnamed",
            "No document has named the service of the target; it is not used until one does." },
        { ResultCode::CommandMalformed, "CommandMalformed", "The command does not match the schema." },
        { ResultCode::RevisionStale, "RevisionStale",
            "The expected revision is not the current one; read the current configuration before retrying." },
        { ResultCode::ServiceExists, "ServiceExists", "A service with this name already exists." },
        { ResultCode::ServiceUnknown, "ServiceUnknown", "No service has this name." },
        { ResultCode::AddressInUse, "AddressInUse", "Another service uses this address and port." },
        { ResultCode::BackendUnknown, "BackendUnknown", "No backend server of this service has this address." },
        { ResultCode::DataCentreUnknown, "DataCentreUnknown", "No data centre has this name." },
        { ResultCode::HostUnknown, "HostUnknown", "No entry host has this name." },
        { ResultCode::LastBackend, "LastBackend",
            "The change would leave the service without a ready backend server; --force overrides." },
        { ResultCode::MajorityLoss, "MajorityLoss",
            "The change would leave too few control hosts for a majority; --force overrides." },
        { ResultCode::MemberExists, "MemberExists", "The control host is already a member." },
        { ResultCode::MemberUnknown, "MemberUnknown", "No control host has this identity or name." },
        { ResultCode::MemberChangePending, "MemberChangePending",
            "Another member change is in progress; retry once it has finished." },
        { ResultCode::MemberNotCaughtUp, "MemberNotCaughtUp",
            "The learner does not have the whole log yet; repeat when it has." },
        { ResultCode::InvalidValue, "InvalidValue", "A value is not allowed; the message names it." },
        { ResultCode::RequestIdReused, "RequestIdReused",
            "The request identifier belongs to another command; choose a new one." },
        { ResultCode::DocumentMalformed, "DocumentMalformed",
            "The configuration document is invalid; the message names the error." },
        { ResultCode::DocumentInForce, "DocumentInForce",
            "A version of the configuration document has come into force on this host." },
        { ResultCode::DocumentOvertaken, "DocumentOvertaken",
            "The document version is not higher than the one in force; it was acknowledged and has no effect." },
        { ResultCode::EvacuationOrdered, "EvacuationOrdered",
            "An order to evacuate a data centre is in force; its targets get no new flows, open flows continue." },
        { ResultCode::EvacuationEnded, "EvacuationEnded",
            "The evacuation of a data centre was withdrawn; its targets get new flows again." },
        { ResultCode::EvacuationRepeated, "EvacuationRepeated",
            "The data centre is in the requested state already; the call was acknowledged and has no effect." },
        { ResultCode::EvacuationApplied, "EvacuationApplied",
            "This host has applied the list of evacuated data centres." },
        { ResultCode::EvacuationAcknowledged, "EvacuationAcknowledged",
            "All entry hosts that respond have applied the last order or withdrawal." },
        { ResultCode::EvacuationOfAll, "EvacuationOfAll",
            "All data centres with targets are evacuated: new flows are refused until one is returned to service "
            "(bergamotctl evacuation end)." },
        { ResultCode::NotLeader, "NotLeader",
            "This control host is not the leader; the client sends the request to the next one." },
        { ResultCode::NoQuorum, "NoQuorum", "No majority of control hosts can be reached; changes are refused." },
        { ResultCode::OutcomeUnknown, "OutcomeUnknown",
            "The outcome of the command is unknown; retry with the same request identifier." },
        { ResultCode::LeaseExpired, "LeaseExpired", "The leader's lease has expired; the answer may be outdated." },
        { ResultCode::StorageFailed, "StorageFailed",
            "A write or sync failed; the control host accepts no commands until its data folder can be written "
            "again." },
        { ResultCode::LogDamaged, "LogDamaged",
            "A record inside the log is damaged; replace this control host (docs/RUNBOOKS.md)." },
        { ResultCode::LogTornRecordCut, "LogTornRecordCut",
            "An incomplete last record was truncated at start; no acknowledged data is lost." },
        { ResultCode::IdentityRetired, "IdentityRetired",
            "The data folder belongs to a removed member; start with an empty folder." },
        { ResultCode::LeaderElected, "LeaderElected",
            "This control host became the leader or follows another one; the log line contains the term and the "
            "leader." },
        { ResultCode::MemberChanged, "MemberChanged", "The members of the quorum changed." },
        { ResultCode::StorageRecovered, "StorageRecovered",
            "The data folder is writable again; the member continues from its durable state." },
        { ResultCode::ControlHostFound, "ControlHostFound", "Another control host was discovered." },
        { ResultCode::ControlHostIsolated, "ControlHostIsolated",
            "This control host receives no messages from a majority; it answers no reads of the configuration." },
        { ResultCode::ControlHostCurrent, "ControlHostCurrent",
            "This control host receives messages from a majority again." },
        { ResultCode::MemberReplaced, "MemberReplaced",
            "Another identity answers at the address of a voter: the voter's log is gone, and it counts no more." },
        { ResultCode::HostDead, "HostDead", "A majority of entry hosts has received no heartbeat from this host." },
        { ResultCode::HostJoined, "HostJoined", "An entry host joined the steering group." },
        { ResultCode::HostLeft, "HostLeft", "An entry host left the steering group after completing its handover." },
        { ResultCode::LeaseLost, "LeaseLost",
            "This host received no heartbeat from a bucket owner within the lease and relays its packets." },
        { ResultCode::QuorumLost, "QuorumLost",
            "This host cannot reach a majority of its steering group and serves its own data centre." },
        { ResultCode::RevisionOlderRefused, "RevisionOlderRefused",
            "An older configuration revision was offered and refused." },
        { ResultCode::FlowLimitReached, "FlowLimitReached",
            "The flow table is full of pinned records; new flows are refused." },
        { ResultCode::FlowRefused, "FlowRefused",
            "A new flow was refused by the service's limits; none of its packets were forwarded." },
        { ResultCode::FlowSilentEnded, "FlowSilentEnded",
            "The client of an idle flow did not answer probes; the flow was reset." },
        { ResultCode::PeerMessageMalformed, "PeerMessageMalformed",
            "A message from a peer cannot be parsed; dropped." },
        { ResultCode::NotReady, "NotReady", "The host has not caught up yet." },
        { ResultCode::FlowPlaced, "FlowPlaced",
            "A new flow was assigned to a target; the log line contains the target and the load on which the choice "
            "was based." },
        { ResultCode::FlowPlacedAgain, "FlowPlacedAgain",
            "A repeated first packet was assigned to another target because the first one had not answered." },
        { ResultCode::FlowRouteUnknown, "FlowRouteUnknown",
            "A first packet arrived for an address and port without a route; the flow was refused." },
        { ResultCode::FlowNoTarget, "FlowNoTarget",
            "No target of the service accepts new flows; the flow was refused. Check the targets of the service." },
        { ResultCode::FlowTargetUnreachable, "FlowTargetUnreachable",
            "A packet belongs to a flow of an unreachable target; the flow was reset so that the client opens another "
            "one." },
        { ResultCode::FlowTargetGone, "FlowTargetGone",
            "A packet belongs to a flow of a target that is gone; the flow was reset so that the client opens another "
            "one." },
        { ResultCode::FlowCookieUnknown, "FlowCookieUnknown",
            "The cookie of a packet identifies a target that is unknown to this host; the packet was dropped." },
        { ResultCode::ControlHostLost, "ControlHostLost",
            "The entry host lost contact with its control host and switches to another one." },
        { ResultCode::ControlHostRegained, "ControlHostRegained",
            "The entry host receives answers from a control host again." },
        { ResultCode::SettingsReloaded, "SettingsReloaded", "The settings file was reloaded." },
        { ResultCode::LogLinesDropped, "LogLinesDropped",
            "Log lines were dropped because the log could not be written fast enough; the log line contains their "
            "number." },
        { ResultCode::FlowSlowStartLimited, "FlowSlowStartLimited",
            "Each target of the service that accepts new flows is in slow start, and this host may not send the flow "
            "to any of them; the flow was refused so that the client tries again through another host." },
        { ResultCode::FlowWaiting, "FlowWaiting",
            "A new flow waits for room on the link of this entry host, for at most a quarter of its route's latency "
            "objective." },
        { ResultCode::FlowNoRoom, "FlowNoRoom",
            "The link of this entry host has no room for a new flow within the time that the flow may wait; the flow "
            "was "
            "refused before any of its packets was forwarded." },
        { ResultCode::FlowWaitedTooLong, "FlowWaitedTooLong",
            "A new flow has waited for room on the link of this entry host for as long as it may; the flow was refused "
            "before any of its packets was forwarded." },
        { ResultCode::LinkOverloaded, "LinkOverloaded",
            "The link of this entry host is full in one direction or packets wait in its queue; the host does not "
            "judge "
            "targets meanwhile. Compare link_mbps with the capacity of the link; add entry hosts if it recurs." },
        { ResultCode::LinkRecovered, "LinkRecovered", "The link of this entry host is no longer overloaded." },
        { ResultCode::Unauthorized, "Unauthorized", "The bearer token is missing or wrong." },
        { ResultCode::DeadlineExceeded, "DeadlineExceeded", "No answer was received before the deadline." },
        { ResultCode::ConnectionLost, "ConnectionLost", "The connection was closed before an answer was received." },
        { ResultCode::HttpBadRequest, "HttpBadRequest", "The HTTP request is malformed." },
        { ResultCode::HttpNotFound, "HttpNotFound", "Nothing is served under this path." },
        { ResultCode::AddressUnavailable, "AddressUnavailable",
            "The address cannot be bound; it is in use or not on this host." },
        { ResultCode::StreamProbeFailed, "StreamProbeFailed",
            "A probe of the stream got no answer; the connection was closed and is reopened." },
        { ResultCode::UnknownRequest, "UnknownRequest",
            "No result is stored for a command with this request identifier." },
        { ResultCode::RunbookStepFailed, "RunbookStepFailed",
            "A runbook step failed; run the same runbook again to resume at that step." },
        { ResultCode::RunbookInterrupted, "RunbookInterrupted",
            "The runbook was interrupted; run it again to resume." },
        { ResultCode::ManifestMalformed, "ManifestMalformed",
            "The manifest does not match the schema; the message names file, line and key." },
        { ResultCode::UsageError, "UsageError", "The command line is invalid; see --help." },
        { ResultCode::WaitTimedOut, "WaitTimedOut",
            "The revision did not come into force on every reachable host within the given time." },
        { ResultCode::ProcessStartFailed, "ProcessStartFailed",
            "A program cannot be started; check its path and the process limits." },
    });

    class ResultCategory final : public std::error_category {
    public:
        const char* name() const noexcept override { return "bergamotroute"; }

        std::string message(int value) const override
        {
            const auto row = std::find_if(resultCodes.begin(), resultCodes.end(),
                [value](const ResultCodeInfo& info) { return static_cast<int>(info.code) == value; });
            return row == resultCodes.end() ? "unknown result code " + std::to_string(value) : std::string(row->help);
        }
    };

}

std::span<const ResultCodeInfo> resultCodeTable() { return resultCodes; }

const std::error_category& resultCategory()
{
    static const ResultCategory category;
    return category;
}

std::error_code make_error_code(ResultCode code) { return { static_cast<int>(code), resultCategory() }; }

}
