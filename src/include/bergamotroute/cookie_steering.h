#pragma once

/// @file
/// Steers flows by a cookie that both ends echo, without I/O. The first packet of a flow is assigned a target and gets
/// that target's cookie. Every later packet carries the cookie, so any entry host forwards it to the same target.
/// docs/notes/platform.md compares this with the bucket tables.

#include "bergamotroute/clock.h"
#include "bergamotroute/flow_packet.h"
#include "bergamotroute/link_state.h"
#include "bergamotroute/result_code.h"
#include "bergamotroute/routing_document.h"
#include "bergamotroute/target_registry.h"
#include "bergamotroute/types.h"

#include "entry_pages.pb.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bergamotroute {

/// Derives from a target's id the number that the encapsulation puts in front of packets to the target.
using TargetNumberFunction = std::uint64_t (*)(std::string_view id);

struct CookieSteeringOptions {
    std::string host;
    std::string dataCentre;
    TargetNumberFunction targetNumberOf = nullptr;
    /// Age at which the state of a flow may be removed.
    Duration maxFlowAge { 60'000 };
    std::size_t flowCapacity = 65'536;
    /// Capacity of this host's link in bytes per second; zero if unknown, in which case overload is not controlled.
    double linkBytesPerSecond = 0;
    /// Learn from response times how much each target takes well; docs/design/learned_capacity.md.
    bool learnCapacity = false;
    /// A target in slow start gets at most this factor times its service's rate, plus the allowance (requests per
    /// second), from all entry hosts together in any second. There is no limit if both are zero.
    double slowStartFactor = 0;
    double slowStartAllowance = 0;
    /// Approximate number of entry hosts that share a group of targets; zero for no groups.
    /// docs/design/target_groups.md.
    std::size_t hostsPerGroup = 0;
    /// Interval between heartbeats of a target.
    Duration targetHeartbeat { 1200 };
};

/// An entry host as control hosts list it.
struct EntryHostLocation {
    std::string host;
    std::string dataCentre;

    bool operator==(const EntryHostLocation&) const = default;
};

/// Targets under the limit on slow start.
struct SlowStartStatus {
    /// Targets in slow start of services with a limit.
    std::size_t targets = 0;
    /// Those of them on which this host places flows, and no other host does.
    std::size_t owned = 0;
};

/// What to do with a packet.
enum class SteeringAction {
    Forward,
    /// Reset the flow at the client.
    Reset,
    Drop,
    /// Decide again when the registry or the routing document changes: this host does not know enough yet.
    Hold,
    /// Keep the first packet until takeReleases() decides on its flow: the host has no room for the flow at present.
    Wait,
};

/// Outcome of a connection that is opened only to test whether a target listens.
enum class ProbeOutcome {
    Connected,
    /// The machine responds but nothing listens: the target has ended.
    Refused,
    NoAnswer,
    /// This host was too slow to measure the outcome.
    Inconclusive,
};

struct ProbeRequest {
    std::string target;
    Endpoint endpoint;
    Duration timeout { 0 };
    /// Another target of the same data centre. If present, an unanswered probe counts only if this one answers a probe
    /// within the same time; otherwise the outcome is inconclusive.
    std::optional<Endpoint> reference;
};

struct SteeringDecision {
    SteeringAction action = SteeringAction::Drop;
    /// Ok for a later packet of a flow that needs no log line.
    ResultCode code = ResultCode::Ok;
    /// Destination and cookie of a forwarded packet.
    Endpoint endpoint;
    std::uint64_t targetNumber = 0;
    Cookie cookie = 0;
    /// Sequence number of the reset packet.
    std::uint32_t resetSequence = 0;
    /// For the log: target, route and service (empty if there is none), cost of the chosen target, and number of
    /// targets that could have been chosen.
    std::string_view target;
    std::string_view route;
    std::string_view service;
    double cost = 0;
    std::size_t candidates = 0;
    /// How often the client has retransmitted this first packet; zero for the original.
    std::uint32_t retransmission = 0;
};

/// Decision on a flow whose first packet was told to wait.
struct FlowRelease {
    FlowPacket packet;
    SteeringDecision decision;
};

/// A flow that is reset without a packet of its client.
struct FlowReset {
    FlowPacket packet;
    SteeringDecision decision;
};

/// Stopped data centres as one entry host sees them.
struct StoppedDataCentreState {
    /// Revision of the applied list; zero if there is none.
    std::uint64_t revision = 0;
    /// Stopped data centres.
    std::size_t count = 0;
    /// Their targets that are not gone, and the open flows to them that this host observes.
    std::size_t targets = 0;
    std::uint32_t openFlows = 0;
};

/// Group of entry hosts and targets that this host belongs to; zeros if there are no groups.
struct TargetGroupStatus {
    /// Entry hosts of the group, this one included, and targets of the group.
    std::size_t hosts = 0;
    std::size_t targets = 0;
};

/// Counters since the start of the process.
struct SteeringCounters {
    std::uint64_t firstPackets = 0;
    std::uint64_t placed = 0;
    std::uint64_t placedAgain = 0;
    std::uint64_t forwarded = 0;
    std::uint64_t routeUnknown = 0;
    std::uint64_t noTarget = 0;
    /// Flows refused because no target of the service accepted them under the limit on targets in slow start.
    std::uint64_t slowStartLimited = 0;
    std::uint64_t targetGone = 0;
    std::uint64_t cookieUnknown = 0;
    /// Repeated first packets that stayed at their target because the budget of second choices was empty.
    std::uint64_t secondChoicesDenied = 0;
    std::uint64_t avoidedTargets = 0;
    std::uint64_t targetUnreachable = 0;
    std::uint64_t probes = 0;
};

/// New flows of one route that were refused for lack of room on the link.
struct FlowRefusals {
    /// Name of the route, or "other" beyond a bounded number of routes.
    std::string route;
    std::uint64_t noRoom = 0;
    std::uint64_t waitedTooLong = 0;
};

/// State and counters of flow admission.
struct AdmissionMetrics {
    /// Open flows that are sending much, the bytes of the room that they claim, and the bytes of the whole room.
    std::size_t bulkFlows = 0;
    std::uint64_t claimedBytes = 0;
    double roomBytes = 0;
    /// First packets that wait now, and flows that have waited since the start of the process.
    std::size_t waiting = 0;
    std::uint64_t waited = 0;
    std::vector<FlowRefusals> refusals;
};

/// What an entry host has learned of its targets, for metrics.
struct CapacitySummary {
    /// Slowness of the slowest target that takes new flows; 1 is typical.
    double maxSlowness = 1;
    std::size_t slowTargets = 0;
    std::size_t limitedTargets = 0;
    /// Counters since the start of the process.
    std::uint64_t samples = 0;
    std::uint64_t refusals = 0;
    std::uint64_t droppedOverloaded = 0;
    std::uint64_t droppedAmbiguous = 0;
};

/// Decides on the packets that one entry host receives.
class CookieSteering {
public:
    explicit CookieSteering(CookieSteeringOptions options);
    ~CookieSteering();
    CookieSteering(const CookieSteering&) = delete;
    CookieSteering& operator=(const CookieSteering&) = delete;

    /// Installs a document unless the installed one has the same or a higher version.
    /// @return true if it was installed.
    bool installDocument(RoutingDocument document);

    /// Sets whether all targets that a control host knows have been received; true unless set. New flows are held until
    /// then, because hosts that start together would otherwise place all of them on the few targets of the first part.
    void setRegistryLoaded(bool isLoaded);

    /// Applies a change of a target in the registry.
    void updateTarget(const RegisteredTarget& target, TimePoint now);

    /// Applies the list of data centres whose targets get no new flows; their open flows continue. A list is ignored
    /// unless its revision is higher than that of the applied one, so that a control host that lags behind cannot bring
    /// an older state back.
    /// @return true if it was applied.
    bool setStoppedDataCentres(const schema::StoppedDataCentres& list, TimePoint now);

    /// @return state of the stopped data centres as this host has applied it.
    StoppedDataCentreState stoppedDataCentres() const;

    /// Sets the entry hosts that a control host lists, this host included. The list takes effect with the next
    /// refreshView().
    void setEntryHosts(std::vector<EntryHostLocation> hosts);

    /// @return true if another entry host is in the group of this one, so that both report their load to each other
    /// at short intervals; also if there are no groups and it is in the same data centre.
    bool isGroupMember(const EntryHostLocation& host) const;

    /// Records a response of a control host that is in contact with a majority.
    void refreshView(TimePoint now);

    /// @return where a new flow would go now and why, without any effect.
    schema::PlacementExplanation explainPlacement(const FlowId& flow, TimePoint now) const;

    /// Decides on a client's packet. String views in the result are valid until the next call.
    SteeringDecision handlePacket(const FlowPacket& packet, TimePoint now);

    /// @return targets to probe now, because packets to them got no response. Each has one probe open at a time.
    std::vector<ProbeRequest> takeProbes(TimePoint now);

    /// @return true if the outcome changes whether the target counts as reachable.
    bool handleProbeOutcome(const std::string& target, ProbeOutcome outcome, TimePoint now);

    /// @return resets for the idempotent requests that wait at an unreachable target, so that clients retry them now;
    /// none if the target is reachable. Views in the result are valid until the next call.
    std::vector<FlowReset> takeResets(const std::string& target);

    /// Applies a load report of another entry host.
    void handleReport(const schema::TargetLoadReport& report, TimePoint now);

    /// @return the load that this host observes; each call takes the next sequence number.
    schema::TargetLoadReport makeReport();

    /// Replaces the evidence on the capacity of targets in a report of this host. Does nothing unless capacity is
    /// learned.
    /// @param since time from which on evidence is to be reported: that of the last report to the same hosts.
    void setEvidence(schema::TargetLoadReport& report, TimePoint since, TimePoint now) const;

    CapacitySummary capacitySummary() const;

    /// @return what is learned of each target that takes new flows, ordered by id.
    schema::TargetCapacityPage targetCapacities(TimePoint now) const;

    /// @return true if this host controls overload: its link's capacity is known and the document in force has a route
    /// with large requests.
    bool controlsOverload() const;

    /// Applies the state of this host's link.
    void setLinkState(const LinkState& state);

    /// @return decisions on waiting flows that are due: each is placed now, or refused because it has waited for as
    /// long as it may. Views in the result are valid until the next call.
    std::vector<FlowRelease> takeReleases(TimePoint now);

    /// @return the time at which takeReleases() is due at the latest, or nothing if no flow waits for a decision.
    std::optional<TimePoint> nextRelease() const;

    /// Removes expired flows, reports and targets; to be called a few times per second.
    void advance(TimePoint now);

    std::uint64_t documentVersion() const;

    /// @return the installed document's route for an address and port, or null.
    const Route* findRoute(std::uint32_t address, std::uint16_t port) const;

    const SteeringCounters& counters() const;
    TargetGroupStatus targetGroup() const;
    SlowStartStatus slowStartStatus(TimePoint now) const;
    AdmissionMetrics admissionMetrics() const;
    std::size_t flowCount() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

}
