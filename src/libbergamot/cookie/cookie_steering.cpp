#include "bergamotroute/cookie_steering.h"

#include "cookie/flow_table.h"
#include "cookie/placement.h"
#include "cookie/target_pool.h"

#include <algorithm>
#include <xxhash.h>

namespace bergamotroute {

namespace {

    /// Minimum and maximum time for which a target that does not answer first packets gets no new flows; doubles
    /// each time in between.
    constexpr Duration minAvoidance { 600 };
    constexpr Duration maxAvoidance { 4800 };
    /// A target that is gone may still be sending its last responses; its flows are reset only after this time.
    constexpr Duration resetDelayAfterGone { 300 };
    /// A target that has responded within this time is not suspected because another target is unreachable.
    constexpr Duration recentResponse { 200 };
    /// Further retransmissions of a first packet go to another target in any case.
    constexpr std::uint32_t maxRetransmissionsToSameTarget = 1;

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
    {
    }

    SteeringDecision handleFirstPacket(const FlowPacket& packet, TimePoint now);
    SteeringDecision handleSubsequentPacket(const FlowPacket& packet, TimePoint now);
    SteeringDecision placeFlow(
        const FlowPacket& packet, const std::string& service, const PooledTarget* excluded, TimePoint now);
    static SteeringDecision forwardTo(const PooledTarget& target, ResultCode code);
    static SteeringDecision refuse(const FlowPacket& packet, ResultCode code);
    SteeringDecision refuseUnreachable(const FlowPacket& packet, const PooledTarget& target);
    void avoid(PooledTarget& target, TimePoint now);
    static void markResponsive(PooledTarget& target, TimePoint now);
    void suspect(PooledTarget& target, TimePoint now);
    /// Removes the targets that are no longer suspected or are gone.
    void pruneSuspects();
    const PooledTarget* findReference(const PooledTarget& suspected) const;
    bool isIdempotent(const FlowId& flow) const;
    void suspectDataCentre(const PooledTarget& unreachable, TimePoint now);

    CookieSteeringOptions options;
    RouteTable routes;
    TargetPool pool;
    FlowTable flows;
    Placement placement;
    SteeringCounters counters;
    /// Targets to probe; those that are no longer suspected are removed by takeProbes().
    std::vector<PooledTarget*> suspects;
    std::uint64_t reportSequence = 0;
};

SteeringDecision CookieSteering::Implementation::forwardTo(const PooledTarget& target, ResultCode code)
{
    SteeringDecision decision;
    decision.action = SteeringAction::Forward;
    decision.code = code;
    decision.endpoint = target.endpoint;
    decision.targetNumber = target.number;
    decision.cookie = target.cookie;
    decision.target = target.id;
    decision.service = target.service;
    return decision;
}

SteeringDecision CookieSteering::Implementation::refuse(const FlowPacket& packet, ResultCode code)
{
    SteeringDecision decision;
    decision.action = SteeringAction::Reset;
    decision.code = code;
    decision.resetSequence = packet.acknowledgement;
    return decision;
}

SteeringDecision CookieSteering::Implementation::refuseUnreachable(const FlowPacket& packet, const PooledTarget& target)
{
    ++counters.targetUnreachable;
    SteeringDecision decision = refuse(packet, ResultCode::FlowTargetUnreachable);
    decision.target = target.id;
    decision.service = target.service;
    return decision;
}

void CookieSteering::Implementation::avoid(PooledTarget& target, TimePoint now)
{
    if (target.avoidUntil > now)
        return;
    const Duration duration = std::min(maxAvoidance, minAvoidance * (1 << std::min(target.avoidCount, 8U)));
    target.avoidUntil = now + duration;
    ++target.avoidCount;
    ++counters.avoidedTargets;
}

void CookieSteering::Implementation::markResponsive(PooledTarget& target, TimePoint now)
{
    target.avoidUntil = {};
    target.avoidCount = 0;
    target.reachability.recordResponse(now);
}

void CookieSteering::Implementation::suspect(PooledTarget& target, TimePoint now)
{
    if (target.reachability.isSuspected() || target.phase == schema::TARGET_GONE)
        return;
    target.reachability.suspect(now);
    suspects.push_back(&target);
}

void CookieSteering::Implementation::suspectDataCentre(const PooledTarget& unreachable, TimePoint now)
{
    if (unreachable.dataCentre == options.dataCentre)
        return;
    for (const auto& [id, target] : pool.all()) {
        if (target->dataCentre == unreachable.dataCentre && now - target->reachability.lastResponse() >= recentResponse)
            suspect(*target, now);
    }
}

void CookieSteering::Implementation::pruneSuspects()
{
    std::erase_if(suspects, [](PooledTarget* target) {
        // If a target that is gone comes back, its reachability is unknown.
        if (target->phase == schema::TARGET_GONE)
            target->reachability.restart();
        return !target->reachability.isSuspected();
    });
}

const PooledTarget* CookieSteering::Implementation::findReference(const PooledTarget& suspected) const
{
    const PooledTarget* reference = nullptr;
    for (const auto& [id, target] : pool.all()) {
        const bool isCandidate = target->dataCentre == suspected.dataCentre && target->phase == schema::TARGET_READY
            && !target->reachability.isSuspected();
        if (isCandidate && (!reference || target->reachability.lastResponse() > reference->reachability.lastResponse()))
            reference = target.get();
    }
    return reference;
}

bool CookieSteering::Implementation::isIdempotent(const FlowId& flow) const
{
    const Route* route = routes.find(flow.serviceAddress, flow.servicePort);
    return route && route->kind != RequestKind::NonIdempotent;
}

SteeringDecision CookieSteering::Implementation::placeFlow(
    const FlowPacket& packet, const std::string& service, const PooledTarget* excluded, TimePoint now)
{
    const PlacementChoice choice = placement.choose(pool.targetsOf(service), excluded, now);
    if (!choice.target) {
        SteeringDecision decision = refuse(packet, ResultCode::FlowNoTarget);
        // A host that knows no target at all has just started, so the packet is held.
        if (pool.all().empty())
            decision.action = SteeringAction::Hold;
        else
            ++counters.noTarget;
        decision.service = service;
        return decision;
    }
    flows.assign(packet.flow, *choice.target, now);
    SteeringDecision decision = forwardTo(*choice.target, ResultCode::FlowPlaced);
    decision.cost = choice.cost;
    decision.candidates = choice.candidates;
    ++counters.placed;
    return decision;
}

SteeringDecision CookieSteering::Implementation::handleFirstPacket(const FlowPacket& packet, TimePoint now)
{
    ++counters.firstPackets;
    const Route* route = routes.find(packet.flow.serviceAddress, packet.flow.servicePort);
    if (!route) {
        SteeringDecision unknown = refuse(packet, ResultCode::FlowRouteUnknown);
        // A host without a routing document cannot tell that a route does not exist.
        if (routes.version() == 0)
            unknown.action = SteeringAction::Hold;
        else
            ++counters.routeUnknown;
        return unknown;
    }
    const std::string& service = RouteTable::chooseService(*route, hashFlow(packet.flow, 0));
    SteeringDecision decision;
    FlowState* existing = flows.find(packet.flow);
    // The acknowledgement field of a first packet counts its retransmissions.
    if (existing && !existing->established && !existing->closed && packet.acknowledgement > 0) {
        PooledTarget& previous = *existing->target;
        const bool isUnresponsive = previous.reachability.lastResponse() < existing->lastPlaced;
        if (isUnresponsive) {
            avoid(previous, now);
            suspect(previous, now);
        }
        const bool keepsTarget = !isUnresponsive && packet.acknowledgement <= maxRetransmissionsToSameTarget
            && previous.takesNewFlows() && previous.service == service;
        if (keepsTarget) {
            existing->lastSeen = now;
            decision = forwardTo(previous, ResultCode::FlowPlaced);
        } else {
            decision = placeFlow(packet, service, &previous, now);
            if (decision.action == SteeringAction::Forward) {
                decision.code = ResultCode::FlowPlacedAgain;
                ++counters.placedAgain;
            }
        }
    } else {
        decision = placeFlow(packet, service, nullptr, now);
    }
    decision.route = route->name;
    decision.retransmission = packet.acknowledgement;
    return decision;
}

SteeringDecision CookieSteering::Implementation::handleSubsequentPacket(const FlowPacket& packet, TimePoint now)
{
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
        suspect(*target, now);
    // Data sent to an unreachable target is lost. A reset lets the client retry an idempotent request at once.
    if (target->reachability.isUnreachable() && packet.payloadBytes > 0 && isIdempotent(packet.flow))
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
    return m_implementation->routes.install(std::move(document));
}

void CookieSteering::updateTarget(const RegisteredTarget& target, TimePoint now)
{
    m_implementation->pool.update(target, now);
}

SteeringDecision CookieSteering::handlePacket(const FlowPacket& packet, TimePoint now)
{
    return packet.isFirst() ? m_implementation->handleFirstPacket(packet, now)
                            : m_implementation->handleSubsequentPacket(packet, now);
}

std::vector<ProbeRequest> CookieSteering::takeProbes(TimePoint now)
{
    Implementation& self = *m_implementation;
    self.pruneSuspects();
    std::vector<ProbeRequest> requests;
    for (PooledTarget* target : self.suspects) {
        if (!target->reachability.isProbeDue(now))
            continue;
        const PooledTarget* reference = target->reachability.wantsReference() ? self.findReference(*target) : nullptr;
        const ProbePlan plan = target->reachability.takeProbe(reference != nullptr);
        ProbeRequest request { target->id, target->endpoint, plan.timeout, std::nullopt };
        if (plan.needsReference)
            request.reference = reference->endpoint;
        requests.push_back(std::move(request));
        ++self.counters.probes;
    }
    return requests;
}

bool CookieSteering::handleProbeOutcome(const std::string& id, ProbeOutcome outcome, TimePoint now)
{
    const auto found = m_implementation->pool.all().find(id);
    if (found == m_implementation->pool.all().end())
        return false;
    PooledTarget& target = *found->second;
    const bool isChanged = target.reachability.recordOutcome(outcome, now);
    // A network partition usually isolates a whole data centre, so its other targets are probed too.
    if (isChanged && target.reachability.isUnreachable() && outcome == ProbeOutcome::NoAnswer)
        m_implementation->suspectDataCentre(target, now);
    return isChanged;
}

std::vector<FlowReset> CookieSteering::takeResets(const std::string& id)
{
    std::vector<FlowReset> resets;
    const auto found = m_implementation->pool.all().find(id);
    if (found == m_implementation->pool.all().end() || !found->second->reachability.isUnreachable())
        return resets;
    const auto isIdempotent = [this](const FlowId& flow) { return m_implementation->isIdempotent(flow); };
    for (const auto& [flow, acknowledgement] : m_implementation->flows.closePending(*found->second, isIdempotent)) {
        FlowPacket packet;
        packet.flow = flow;
        packet.acknowledgement = acknowledgement;
        resets.push_back({ packet, m_implementation->refuseUnreachable(packet, *found->second) });
    }
    return resets;
}

void CookieSteering::handleReport(const schema::TargetLoadReport& report, TimePoint now)
{
    const bool isLocal = report.data_centre() == m_implementation->options.dataCentre;
    m_implementation->pool.setReport(report, isLocal, now);
}

schema::TargetLoadReport CookieSteering::makeReport()
{
    schema::TargetLoadReport report = m_implementation->pool.ownReport();
    report.set_host(m_implementation->options.host);
    report.set_data_centre(m_implementation->options.dataCentre);
    report.set_sequence(++m_implementation->reportSequence);
    return report;
}

void CookieSteering::advance(TimePoint now)
{
    Implementation& self = *m_implementation;
    const Duration configured = self.routes.document().idleTimeout;
    const Duration idle = configured.count() > 0 ? configured : self.options.maxFlowAge;
    self.flows.expire(idle, self.options.maxFlowAge, now);
    self.pool.expireReports(now);
    // The state of every flow is younger than this, so none refers to a removed target.
    self.pruneSuspects();
    self.pool.purgeGone(2 * self.options.maxFlowAge, now);
}

std::uint64_t CookieSteering::documentVersion() const { return m_implementation->routes.version(); }

const Route* CookieSteering::findRoute(std::uint32_t address, std::uint16_t port) const
{
    return m_implementation->routes.find(address, port);
}

const SteeringCounters& CookieSteering::counters() const { return m_implementation->counters; }

std::size_t CookieSteering::flowCount() const { return m_implementation->flows.size(); }

}
