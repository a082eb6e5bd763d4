#pragma once

/// @file
/// Numbered result codes of all programs and libraries. docs/RESULT_CODES.md lists them for operators.

#include <span>
#include <string_view>
#include <system_error>

namespace bergamotroute {

/// Result codes. The numbers are stable because they appear in logs, answers and the final messages of programs.
enum class ResultCode {
    Ok = 0,

    // 1xx: settings and input files
    SettingsUnreadable = 100,
    SettingsSyntax = 101,
    SettingsUnknownKey = 102,
    SettingsWrongType = 103,
    SettingsOutOfRange = 104,
    SettingsMissingKey = 105,
    SettingsClash = 106,

    // 2xx: packets
    PacketTooShort = 200,
    PacketBadVersion = 201,
    PacketBadLength = 202,
    PacketUnsupportedProtocol = 203,
    PacketFragment = 204,
    PacketUnknownService = 205,

    // 3xx: announcements and targets
    AnnouncementMalformed = 300,
    AnnouncementUnknownService = 301,
    AnnouncementForbiddenNetwork = 302,
    AnnouncementAddressClaimed = 303,
    AnnouncementQuarantined = 304,
    AnnouncementStale = 305,
    TargetLeaseEnded = 306,
    TargetUnhealthy = 307,
    TargetRemoved = 308,
    TargetFound = 309,
    TargetDraining = 310,
    TargetGone = 311,
    TargetSilent = 312,
    TargetHeard = 313,
    TargetUnresponsive = 314,
    TargetResponsive = 315,
    TargetLeave = 316,
    TargetUnnamed = 317,

    // 4xx: configuration commands
    CommandMalformed = 400,
    RevisionStale = 401,
    ServiceExists = 402,
    ServiceUnknown = 403,
    AddressInUse = 404,
    BackendUnknown = 405,
    DataCentreUnknown = 406,
    HostUnknown = 407,
    LastBackend = 408,
    MajorityLoss = 409,
    MemberExists = 410,
    MemberUnknown = 411,
    MemberChangePending = 412,
    MemberNotCaughtUp = 413,
    InvalidValue = 414,
    RequestIdReused = 415,
    DocumentMalformed = 416,
    DocumentInForce = 417,
    DocumentOvertaken = 418,
    EvacuationOrdered = 419,
    EvacuationEnded = 420,
    EvacuationRepeated = 421,
    EvacuationApplied = 422,
    EvacuationAcknowledged = 423,
    EvacuationOfAll = 424,

    // 5xx: control hosts
    NotLeader = 500,
    NoQuorum = 501,
    OutcomeUnknown = 502,
    LeaseExpired = 503,
    StorageFailed = 504,
    LogDamaged = 505,
    LogTornRecordCut = 506,
    IdentityRetired = 507,
    LeaderElected = 508,
    MemberChanged = 509,
    StorageRecovered = 510,
    ControlHostFound = 511,
    ControlHostIsolated = 512,
    ControlHostCurrent = 513,
    MemberReplaced = 514,

    // 6xx: entry hosts
    HostDead = 600,
    HostJoined = 601,
    HostLeft = 602,
    LeaseLost = 603,
    QuorumLost = 604,
    RevisionOlderRefused = 605,
    FlowLimitReached = 606,
    FlowRefused = 607,
    FlowSilentEnded = 608,
    PeerMessageMalformed = 609,
    NotReady = 610,
    FlowPlaced = 611,
    FlowPlacedAgain = 612,
    FlowRouteUnknown = 613,
    FlowNoTarget = 614,
    FlowTargetUnreachable = 615,
    FlowTargetGone = 616,
    FlowCookieUnknown = 617,
    ControlHostLost = 618,
    ControlHostRegained = 619,
    SettingsReloaded = 620,
    LogLinesDropped = 621,
    FlowSlowStartLimited = 625,
    FlowWaiting = 626,
    FlowNoRoom = 627,
    FlowWaitedTooLong = 628,
    LinkOverloaded = 630,
    LinkRecovered = 631,

    // 7xx: transport and operator interface
    Unauthorized = 700,
    DeadlineExceeded = 701,
    ConnectionLost = 702,
    HttpBadRequest = 703,
    HttpNotFound = 704,
    AddressUnavailable = 705,
    StreamProbeFailed = 706,
    UnknownRequest = 707,

    // 8xx: runbooks and tools
    RunbookStepFailed = 800,
    RunbookInterrupted = 801,
    ManifestMalformed = 802,
    UsageError = 803,
    WaitTimedOut = 804,
    ProcessStartFailed = 805,
};

/// Entry of the result code table.
struct ResultCodeInfo {
    ResultCode code;
    /// Short name as printed in logs.
    std::string_view name;
    /// What happened and what an operator should do about it.
    std::string_view help;
};

/// @return the table of all result codes in ascending order.
std::span<const ResultCodeInfo> resultCodeTable();

/// @return the error category of std::error_code values that hold a ResultCode.
const std::error_category& resultCategory();

/// Converts a result code; std::error_code finds this function by argument-dependent lookup.
/// @return the error code, which converts to false for ResultCode::Ok.
std::error_code make_error_code(ResultCode code);

}

template <> struct std::is_error_code_enum<bergamotroute::ResultCode> : std::true_type {
};
