#pragma once

/// @file
/// Steering by a cookie that both ends of a flow echo, without I/O. The first packet of a flow is given a target and
/// carries its cookie; every later packet names the target itself, at whichever entry host it arrives.
/// docs/notes/platform.md compares this with the bucket tables.

#include "bergamotroute/clock.h"
#include "bergamotroute/flow_packet.h"
#include "bergamotroute/result_code.h"
#include "bergamotroute/routing_document.h"
#include "bergamotroute/target_registry.h"
#include "bergamotroute/types.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace bergamotroute {

/// Derives the number that the carrier writes before packets from a target's id.
using TargetNumberFunction = std::uint64_t (*)(std::string_view id);

struct CookieSteeringOptions {
    std::string host;
    std::string dataCentre;
    TargetNumberFunction targetNumberOf = nullptr;
    /// Age after which a flow may be forgotten.
    Duration maxFlowAge { 60'000 };
    std::size_t flowCapacity = 65'536;
};

/// What happens to a packet.
enum class SteeringAction {
    Forward,
    /// Tell the client that its flow is over.
    Reset,
    Drop,
    /// Decide again when the registry or the document changes: this host does not know enough yet.
    Hold,
};

/// Outcome of a connection that only tests whether a target listens.
enum class ProbeOutcome {
    Connected,
    /// The machine answers and nothing listens: the target has ended.
    Refused,
    NoAnswer,
    /// This host was too slow to tell.
    Inconclusive,
};

/// A target that should be tested.
struct ProbeRequest {
    std::string target;
    Endpoint endpoint;
};

/// Decision on one packet.
struct SteeringDecision {
    SteeringAction action = SteeringAction::Drop;
    /// Ok for a later packet of a flow that needs no line in the log.
    ResultCode code = ResultCode::Ok;
    /// Where and with which cookie a forwarded packet goes.
    Endpoint endpoint;
    std::uint64_t targetNumber = 0;
    Cookie cookie = 0;
    /// Sequence number of a reset.
    std::uint32_t resetSequence = 0;
    /// For the log: target and route, empty if there is none; load that decided; targets that could have been chosen.
    std::string_view target;
    std::string_view route;
    std::string_view service;
    double cost = 0;
    std::size_t candidates = 0;
    /// Number of a repeated first packet.
    std::uint32_t retransmission = 0;
};

/// Numbers of decisions since the start.
struct SteeringCounters {
    std::uint64_t firstPackets = 0;
    std::uint64_t placed = 0;
    std::uint64_t placedAgain = 0;
    std::uint64_t forwarded = 0;
    std::uint64_t routeUnknown = 0;
    std::uint64_t noTarget = 0;
    std::uint64_t targetGone = 0;
    std::uint64_t cookieUnknown = 0;
    std::uint64_t avoidedTargets = 0;
    std::uint64_t targetUnreachable = 0;
    std::uint64_t probes = 0;
};

/// The decisions of one entry host.
class CookieSteering {
public:
    explicit CookieSteering(CookieSteeringOptions options);
    ~CookieSteering();
    CookieSteering(const CookieSteering&) = delete;
    CookieSteering& operator=(const CookieSteering&) = delete;

    /// Takes a document over unless a version as high is in force.
    /// @return true if it came into force.
    bool installDocument(RoutingDocument document);

    /// Takes over a change of the registry.
    void updateTarget(const RegisteredTarget& target, TimePoint now);

    /// Decides on a packet of a client. Views in the result are valid until the next call.
    SteeringDecision handlePacket(const FlowPacket& packet, TimePoint now);

    /// @return targets to test now, because packets to them have had no answer.
    std::vector<ProbeRequest> takeProbes(TimePoint now);

    /// Takes over the outcome of a test.
    /// @return true if it changes whether the target counts as reachable.
    bool handleProbeOutcome(const std::string& target, ProbeOutcome outcome, TimePoint now);

    /// Takes over what another entry host reports of its load.
    void handleReport(const schema::TargetLoadReport& report, TimePoint now);

    /// @return the load that this host sees.
    schema::TargetLoadReport makeReport();

    /// Forgets old flows and reports; to be called a few times a second.
    void advance(TimePoint now);

    std::uint64_t documentVersion() const;

    /// @return the version's route for an address and port, or null.
    const Route* findRoute(std::uint32_t address, std::uint16_t port) const;

    const SteeringCounters& counters() const;
    std::size_t flowCount() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

}
