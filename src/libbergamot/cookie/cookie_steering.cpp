#include "bergamotroute/cookie_steering.h"

#include "admission/flow_admission.h"
#include "bergamotroute/target_leave.h"
#include "cookie/capacity_learning.h"
#include "cookie/first_packet_steering.h"
#include "cookie/slow_start_limit.h"
#include "cookie/steering_decisions.h"
#include "cookie/target_groups.h"

#include <algorithm>
#include <xxhash.h>

namespace bergamotroute {

namespace {

    void markResponsive(PooledTarget& target, TimePoint now)
    {
        target.avoidUntil = {};
        target.avoidCount = 0;
        target.reachability.recordResponse(now, target.isFull());
    }

}

std::uint64_t hashFlow(const FlowId& flow, std::uint64_t seed)
{
    const std::array<std::uint32_t, 3> words { flow.clientAddress, flow.serviceAddress,
        (std::uint32_t { flow.clientPort } << 16) | flow.servicePort };
    return XXH3_64bits_withSeed(words.data(), sizeof(words), seed);
}

class CookieSteering::Implementation {
public:
    explicit Implementation(CookieSteeringOptions steeringOptions)
        : options(std::move(steeringOptions))
        , pool(options.targetNumberOf)
        , flows(options.flowCapacity)
        , placement({}, options.host, options.dataCentre)
        , groups(options.host, options.dataCentre, options.hostsPerGroup, pool)
        , reachability(pool, options.dataCentre)
        , slowStartLimit(
              { options.host, options.slowStartFactor, options.slowStartAllowance, options.targetHeartbeat }, pool)
        , firstPackets(routes, pool, flows, placement, reachability, slowStartLimit, counters)
        , admission(options.flowCapacity)
        , learning(pool, options.host, options.dataCentre)
    {
        flows.setObserver(&slowStartLimit);
        placement.setSlowStartLimit(&slowStartLimit);
        placement.setTargetGroups(&groups);
        updateOverload();
        if (!options.learnCapacity)
            return;
        flows.setSamples(learning.samples());
        firstPackets.setLearning(learning);
    }

    SteeringDecision handleSubsequentPacket(const FlowPacket& packet, TimePoint now);
    SteeringDecision refuseUnreachable(const FlowPacket& packet, const PooledTarget& target);
    /// Places a flow that has been admitted.
    SteeringDecision place(const FlowPacket& packet, TimePoint now);
    bool isIdempotent(const FlowId& flow) const;
    bool controlsOverload() const { return options.linkBytesPerSecond > 0 && hasUploads; }
    /// @return true if this host's own observations of targets are not reliable.
    bool isOverloaded() const { return controlsOverload() && linkState.isOverloaded; }
    void updateOverload();
    SteeringDecision handleFirstPacket(const FlowPacket& packet, TimePoint now);
    /// @return the decision on a first packet about whose flow admission has decided.
    SteeringDecision decide(const FlowPacket& packet, std::string_view route, FlowVerdict verdict, TimePoint now);
    PooledTarget* findTarget(const std::string& id) const;

    CookieSteeringOptions options;
    RouteTable routes;
    TargetPool pool;
    FlowTable flows;
    Placement placement;
    TargetGroups groups;
    ReachabilityMonitor reachability;
    SlowStartLimit slowStartLimit;
    SteeringCounters counters;
    LinkState linkState;
    /// The document in force has routes with large requests.
    bool hasUploads = false;
    FirstPacketSteering firstPackets;
    FlowAdmission admission;
    /// Keeps the names in the decisions that takeReleases() has returned.
    std::vector<AdmissionRelease> releases;
    CapacityLearning learning;
    std::uint64_t reportSequence = 0;
};

void CookieSteering::Implementation::updateOverload()
{
    reachability.setOverloaded(isOverloaded());
    firstPackets.setOverload(controlsOverload(), isOverloaded());
    LinkState state = linkState;
    if (state.bytesPerSecond <= 0)
        state.bytesPerSecond = options.linkBytesPerSecond;
    admission.setLinkState(state);
    learning.samples().setOverloaded(linkState.isOverloaded);
}

SteeringDecision CookieSteering::Implementation::place(const FlowPacket& packet, TimePoint now)
{
    groups.refresh();
    SteeringDecision decision = firstPackets.handle(packet, now);
    if (decision.action == SteeringAction::Reset)
        admission.forget(packet.flow);
    return decision;
}

SteeringDecision CookieSteering::Implementation::decide(
    const FlowPacket& packet, std::string_view route, FlowVerdict verdict, TimePoint now)
{
    SteeringDecision decision;
    switch (verdict) {
    case FlowVerdict::Admit:
        return place(packet, now);
    case FlowVerdict::Wait:
        decision.action = SteeringAction::Wait;
        decision.code = ResultCode::FlowWaiting;
        break;
    case FlowVerdict::RefuseNoRoom:
        decision = refuse(packet, ResultCode::FlowNoRoom);
        break;
    case FlowVerdict::RefuseWaitedTooLong:
        decision = refuse(packet, ResultCode::FlowWaitedTooLong);
        break;
    case FlowVerdict::DropWaitedTooLong:
        decision.code = ResultCode::FlowWaitedTooLong;
        break;
    case FlowVerdict::DropOpenElsewhere:
        break;
    }
    decision.route = route;
    decision.retransmission = packet.acknowledgement;
    return decision;
}

SteeringDecision CookieSteering::Implementation::handleFirstPacket(const FlowPacket& packet, TimePoint now)
{
    const Route* route
        = controlsOverload() ? routes.find(packet.flow.serviceAddress, packet.flow.servicePort) : nullptr;
    // The first packet of an opening flow has been forwarded, so the flow is not refused.
    if (!route || flows.isOpening(packet.flow))
        return place(packet, now);
    return decide(packet, route->name, admission.decide(packet, *route, now), now);
}

SteeringDecision CookieSteering::Implementation::refuseUnreachable(const FlowPacket& packet, const PooledTarget& target)
{
    ++counters.targetUnreachable;
    admission.forget(packet.flow);
    SteeringDecision decision = refuse(packet, ResultCode::FlowTargetUnreachable);
    decision.target = target.id;
    decision.service = target.service;
    return decision;
}

bool CookieSteering::Implementation::isIdempotent(const FlowId& flow) const
{
    const Route* route = routes.find(flow.serviceAddress, flow.servicePort);
    return route && bergamotroute::isIdempotent(route->kind);
}

PooledTarget* CookieSteering::Implementation::findTarget(const std::string& id) const
{
    const auto found = pool.all().find(id);
    return found == pool.all().end() ? nullptr : found->second.get();
}

SteeringDecision CookieSteering::Implementation::handleSubsequentPacket(const FlowPacket& packet, TimePoint now)
{
    if (controlsOverload()) {
        if (const Route* route = routes.find(packet.flow.serviceAddress, packet.flow.servicePort))
            admission.observe(packet, *route, now);
    }
    PooledTarget* target = pool.findByCookie(packet.cookie);
    if (!target) {
        ++counters.cookieUnknown;
        SteeringDecision decision;
        // The target may have just started and be known to another entry host only.
        decision.action = SteeringAction::Hold;
        decision.code = ResultCode::FlowCookieUnknown;
        decision.cookie = packet.cookie;
        return decision;
    }
    if (target->phase == schema::TARGET_GONE && now - target->goneSince >= resetDelayAfterGone) {
        ++counters.targetGone;
        if (packet.rst)
            return {};
        admission.forget(packet.flow);
        SteeringDecision decision = refuse(packet, ResultCode::FlowTargetGone);
        decision.target = target->id;
        decision.service = target->service;
        return decision;
    }
    const FlowObservation observation = flows.observe(packet, *target, now);
    const bool isReported = target->reachability.isReported() && packet.payloadBytes > 0;
    if (observation == FlowObservation::Responded)
        markResponsive(*target, now);
    else if (observation == FlowObservation::Retransmitted || isReported)
        reachability.suspect(*target, now);
    // Data sent to an unreachable target is lost. A reset lets the client retry an idempotent request at once.
    const bool canReset = target->reachability.isUnreachable() && !isOverloaded();
    if (canReset && packet.payloadBytes > 0 && isIdempotent(packet.flow))
        return refuseUnreachable(packet, *target);
    ++counters.forwarded;
    SteeringDecision decision = forwardTo(*target, ResultCode::Ok);
    decision.cookie = packet.cookie;
    return decision;
}

CookieSteering::CookieSteering(CookieSteeringOptions options)
    : m_implementation(std::make_unique<Implementation>(std::move(options)))
{
}

CookieSteering::~CookieSteering() = default;

bool CookieSteering::installDocument(RoutingDocument document)
{
    Implementation& self = *m_implementation;
    if (!self.routes.install(std::move(document)))
        return false;
    self.hasUploads = self.routes.document().hasUploads();
    self.slowStartLimit.setDocument(self.routes.document());
    self.admission.setDocument(self.routes.document());
    self.updateOverload();
    return true;
}

void CookieSteering::setEntryHosts(std::vector<EntryHostLocation> hosts)
{
    m_implementation->groups.setEntryHosts(hosts);
    m_implementation->slowStartLimit.setEntryHosts(std::move(hosts));
}

bool CookieSteering::isGroupMember(const EntryHostLocation& host) const
{
    const TargetGroups& groups = m_implementation->groups;
    return groups.isActive() ? groups.isMember(host.host) : host.dataCentre == m_implementation->options.dataCentre;
}

void CookieSteering::refreshView(TimePoint now) { m_implementation->slowStartLimit.refreshView(now); }

void CookieSteering::setRegistryLoaded(bool isLoaded) { m_implementation->firstPackets.setRegistryLoaded(isLoaded); }

void CookieSteering::updateTarget(const RegisteredTarget& target, TimePoint now)
{
    m_implementation->pool.update(target, now);
    m_implementation->groups.noteTargetChange();
}

bool CookieSteering::setStoppedDataCentres(const schema::StoppedDataCentres& list, TimePoint now)
{
    m_implementation->groups.noteTargetChange();
    return m_implementation->pool.setStoppedDataCentres(list, now);
}

StoppedDataCentreState CookieSteering::stoppedDataCentres() const
{
    const TargetPool& pool = m_implementation->pool;
    const StoppedDataCentreList& list = pool.stoppedDataCentres();
    return { list.revision(), list.size(), pool.stoppedTargetCount(), pool.flowsAtStopped() };
}

SteeringDecision CookieSteering::handlePacket(const FlowPacket& packet, TimePoint now)
{
    return packet.isFirst() ? m_implementation->handleFirstPacket(packet, now)
                            : m_implementation->handleSubsequentPacket(packet, now);
}

schema::PlacementExplanation CookieSteering::explainPlacement(const FlowId& flow, TimePoint now) const
{
    FlowPacket packet;
    packet.flow = flow;
    packet.syn = true;
    m_implementation->groups.refresh();
    const FirstPacketSteering& firstPackets = m_implementation->firstPackets;
    schema::PlacementExplanation explanation = firstPackets.explain(packet, now);
    explanation.set_host(m_implementation->options.host);
    return explanation;
}

std::vector<ProbeRequest> CookieSteering::takeProbes(TimePoint now)
{
    std::vector<ProbeRequest> requests = m_implementation->reachability.takeProbes(now);
    m_implementation->counters.probes += requests.size();
    return requests;
}

bool CookieSteering::handleProbeOutcome(const std::string& id, ProbeOutcome outcome, TimePoint now)
{
    PooledTarget* target = m_implementation->findTarget(id);
    const bool isChanged = target && m_implementation->reachability.handleOutcome(*target, outcome, now);
    if (isChanged && !target->reachability.isUnreachable())
        m_implementation->slowStartLimit.recordRecovery(*target, now);
    return isChanged;
}

std::vector<FlowReset> CookieSteering::takeResets(const std::string& id)
{
    std::vector<FlowReset> resets;
    const PooledTarget* target = m_implementation->findTarget(id);
    if (!target || !target->reachability.isUnreachable() || m_implementation->isOverloaded())
        return resets;
    const auto isIdempotent = [this](const FlowId& flow) { return m_implementation->isIdempotent(flow); };
    for (const auto& [flow, acknowledgement] : m_implementation->flows.closePending(*target, isIdempotent)) {
        FlowPacket packet;
        packet.flow = flow;
        packet.acknowledgement = acknowledgement;
        resets.push_back({ packet, m_implementation->refuseUnreachable(packet, *target) });
    }
    return resets;
}

void CookieSteering::handleReport(const schema::TargetLoadReport& report, TimePoint now)
{
    const bool isLocal = report.data_centre() == m_implementation->options.dataCentre;
    if (m_implementation->pool.setReport(report, isLocal, now) && m_implementation->options.learnCapacity)
        m_implementation->learning.handleReport(report, isLocal, now);
}

schema::TargetLoadReport CookieSteering::makeReport()
{
    schema::TargetLoadReport report = m_implementation->pool.ownReport();
    report.set_host(m_implementation->options.host);
    report.set_data_centre(m_implementation->options.dataCentre);
    report.set_sequence(++m_implementation->reportSequence);
    report.set_overloaded(m_implementation->isOverloaded());
    return report;
}

void CookieSteering::setEvidence(schema::TargetLoadReport& report, TimePoint since, TimePoint now) const
{
    if (m_implementation->options.learnCapacity)
        m_implementation->learning.setEvidence(report, since, now);
}

CapacitySummary CookieSteering::capacitySummary() const { return m_implementation->learning.summary(); }

schema::TargetCapacityPage CookieSteering::targetCapacities(TimePoint now) const
{
    schema::TargetCapacityPage page = m_implementation->learning.describeTargets(now);
    page.set_host(m_implementation->options.host);
    page.set_learns(m_implementation->options.learnCapacity);
    return page;
}

bool CookieSteering::controlsOverload() const { return m_implementation->controlsOverload(); }

void CookieSteering::setLinkState(const LinkState& state)
{
    m_implementation->linkState = state;
    m_implementation->updateOverload();
}

std::vector<FlowRelease> CookieSteering::takeReleases(TimePoint now)
{
    Implementation& self = *m_implementation;
    self.releases = self.controlsOverload() ? self.admission.takeReleases(now) : self.admission.releaseAll(now);
    std::vector<FlowRelease> decisions;
    for (const AdmissionRelease& release : self.releases) {
        decisions.push_back({ release.packet, self.decide(release.packet, release.routeName, release.verdict, now) });
    }
    return decisions;
}

std::optional<TimePoint> CookieSteering::nextRelease() const
{
    const std::optional<TimePoint> next = m_implementation->admission.nextRelease();
    // Without control of overload, waiting flows are placed at once.
    return next && !controlsOverload() ? TimePoint {} : next;
}

void CookieSteering::advance(TimePoint now)
{
    Implementation& self = *m_implementation;
    const Duration configured = self.routes.document().idleTimeout;
    const Duration idle = configured.count() > 0 ? configured : self.options.maxFlowAge;
    self.flows.expire(idle, self.options.maxFlowAge, now);
    self.admission.advance(now);
    self.pool.expireReports(now);
    self.slowStartLimit.advance(now);
    if (self.options.learnCapacity)
        self.learning.advance(now);
    // The state of every flow is younger than this, so none refers to a removed target.
    self.reachability.prune();
    self.pool.purgeGone(2 * self.options.maxFlowAge, now);
}

std::uint64_t CookieSteering::documentVersion() const { return m_implementation->routes.version(); }

const Route* CookieSteering::findRoute(std::uint32_t address, std::uint16_t port) const
{
    return m_implementation->routes.find(address, port);
}

const SteeringCounters& CookieSteering::counters() const { return m_implementation->counters; }

TargetGroupStatus CookieSteering::targetGroup() const
{
    m_implementation->groups.refresh();
    return m_implementation->groups.status();
}

SlowStartStatus CookieSteering::slowStartStatus(TimePoint now) const
{
    return m_implementation->slowStartLimit.status(now);
}

AdmissionMetrics CookieSteering::admissionMetrics() const { return m_implementation->admission.metrics(); }

std::size_t CookieSteering::flowCount() const { return m_implementation->flows.size(); }

}
