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
        { ResultCode::SettingsWrongType, "SettingsWrongType", "The value has another type than the schema asks for." },
        { ResultCode::SettingsOutOfRange, "SettingsOutOfRange",
            "The value is outside the range given in docs/SETTINGS.md." },
        { ResultCode::SettingsMissingKey, "SettingsMissingKey", "A required key is absent." },
        { ResultCode::SettingsClash, "SettingsClash",
            "Two keys name the same address and port, or contradict each other." },
        { ResultCode::PacketTooShort, "PacketTooShort", "The packet ends inside a header; dropped." },
        { ResultCode::PacketBadVersion, "PacketBadVersion", "The inner packet is neither IPv4 nor IPv6; dropped." },
        { ResultCode::PacketBadLength, "PacketBadLength",
            "A length field contradicts the size of the datagram; dropped." },
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
            "Another service holds the announced address." },
        { ResultCode::AnnouncementQuarantined, "AnnouncementQuarantined",
            "The address was released recently by another service; announce again after the quarantine." },
        { ResultCode::AnnouncementStale, "AnnouncementStale",
            "A newer incarnation of the backend server has announced itself." },
        { ResultCode::TargetLeaseEnded, "TargetLeaseEnded",
            "The backend server did not renew its announcement; it gets no new flows." },
        { ResultCode::TargetUnhealthy, "TargetUnhealthy", "Health checks fail; the target gets no new flows." },
        { ResultCode::TargetRemoved, "TargetRemoved", "An operator removed the target." },
        { ResultCode::CommandMalformed, "CommandMalformed", "The command does not match the schema." },
        { ResultCode::RevisionStale, "RevisionStale",
            "The expected revision is not the current one; read the current configuration and decide again." },
        { ResultCode::ServiceExists, "ServiceExists", "A service of this name exists." },
        { ResultCode::ServiceUnknown, "ServiceUnknown", "No service has this name." },
        { ResultCode::AddressInUse, "AddressInUse", "Another service uses this address and port." },
        { ResultCode::BackendUnknown, "BackendUnknown", "No backend server of this service has this address." },
        { ResultCode::DataCentreUnknown, "DataCentreUnknown", "No data centre has this name." },
        { ResultCode::HostUnknown, "HostUnknown", "No entry host has this name." },
        { ResultCode::LastBackend, "LastBackend",
            "The change would leave the service without a ready backend server; --force overrides." },
        { ResultCode::MajorityLoss, "MajorityLoss",
            "The change would leave too few control hosts for a majority; --force overrides." },
        { ResultCode::MemberExists, "MemberExists", "The control host is a member already." },
        { ResultCode::MemberUnknown, "MemberUnknown", "No control host has this identity or name." },
        { ResultCode::MemberChangePending, "MemberChangePending",
            "Another change of members is not finished; repeat when it is." },
        { ResultCode::MemberNotCaughtUp, "MemberNotCaughtUp",
            "The learner does not have the whole log yet; repeat when it has." },
        { ResultCode::InvalidValue, "InvalidValue", "A value is not allowed; the message names it." },
        { ResultCode::RequestIdReused, "RequestIdReused",
            "The request identifier belongs to another command; choose a new one." },
        { ResultCode::NotLeader, "NotLeader", "This control host does not lead; the client asks the next one." },
        { ResultCode::NoQuorum, "NoQuorum", "No majority of control hosts can be reached; changes are refused." },
        { ResultCode::OutcomeUnknown, "OutcomeUnknown",
            "The outcome is not known; ask again with the same request identifier." },
        { ResultCode::LeaseExpired, "LeaseExpired", "The leader's lease has ended; the answer may be old." },
        { ResultCode::StorageFailed, "StorageFailed",
            "A write or sync failed; the control host accepts nothing until it is restarted with a working disk." },
        { ResultCode::LogDamaged, "LogDamaged",
            "A record inside the log is damaged; replace this control host (docs/RUNBOOKS.md)." },
        { ResultCode::LogTornRecordCut, "LogTornRecordCut",
            "An incomplete last record was cut at start; nothing that was answered is lost." },
        { ResultCode::IdentityRetired, "IdentityRetired",
            "The data folder belongs to a removed member; start with an empty folder." },
        { ResultCode::HostDead, "HostDead", "A majority of entry hosts has not heard from this host." },
        { ResultCode::HostJoined, "HostJoined", "An entry host joined the steering group." },
        { ResultCode::HostLeft, "HostLeft", "An entry host left the steering group after handing over." },
        { ResultCode::LeaseLost, "LeaseLost",
            "This host has not heard from a bucket owner within the lease and relays its packets." },
        { ResultCode::QuorumLost, "QuorumLost",
            "This host does not reach a majority of its steering group and serves its own data centre." },
        { ResultCode::RevisionOlderRefused, "RevisionOlderRefused",
            "An older configuration revision was offered and refused." },
        { ResultCode::FlowLimitReached, "FlowLimitReached",
            "The flow table is full of pinned records; new flows are refused." },
        { ResultCode::FlowRefused, "FlowRefused",
            "A new flow was refused by the service's limits; nothing of it was forwarded." },
        { ResultCode::FlowSilentEnded, "FlowSilentEnded",
            "The client of a silent flow did not answer probes; the flow was reset." },
        { ResultCode::PeerMessageMalformed, "PeerMessageMalformed", "A message from a peer cannot be read; dropped." },
        { ResultCode::NotReady, "NotReady", "The host has not caught up yet." },
        { ResultCode::Unauthorized, "Unauthorized", "The bearer token is absent or wrong." },
        { ResultCode::DeadlineExceeded, "DeadlineExceeded", "The answer did not come in time." },
        { ResultCode::ConnectionLost, "ConnectionLost", "The connection ended before the answer." },
        { ResultCode::HttpBadRequest, "HttpBadRequest", "The HTTP request cannot be understood." },
        { ResultCode::HttpNotFound, "HttpNotFound", "Nothing is served under this path." },
        { ResultCode::AddressUnavailable, "AddressUnavailable",
            "The address cannot be bound; it is in use or not on this host." },
        { ResultCode::StreamProbeFailed, "StreamProbeFailed",
            "The stream's probe had no answer; the connection was closed and is opened again." },
        { ResultCode::UnknownRequest, "UnknownRequest", "No command with this request identifier is remembered." },
        { ResultCode::RunbookStepFailed, "RunbookStepFailed",
            "A runbook step failed; run the same runbook again to resume at that step." },
        { ResultCode::RunbookInterrupted, "RunbookInterrupted",
            "The runbook was interrupted; run it again to resume." },
        { ResultCode::ManifestMalformed, "ManifestMalformed",
            "The manifest does not match the schema; the message names file, line and key." },
        { ResultCode::UsageError, "UsageError", "The command line cannot be understood; see --help." },
        { ResultCode::WaitTimedOut, "WaitTimedOut",
            "The revision is not in force on every reachable host within the given time." },
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
