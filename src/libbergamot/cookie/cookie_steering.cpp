#include "bergamotroute/cookie_steering.h"

#include "cookie/capacity_learning.h"
#include "cookie/first_packet_steering.h"
#include "cookie/steering_decisions.h"

#include <algorithm>
#include <xxhash.h>

namespace bergamotroute {

namespace {

    /// A target that is gone may still be sending its last responses; its flows are reset only after this time.
    constexpr Duration resetDelayAfterGone { 300 };

    void markResponsive(PooledTarget& target, TimePoint now)
    {
        target.avoidUntil = {};
        target.avoidCount = 0;
        target.reachability.recordResponse(now);
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
        , reachability(pool, options.dataCentre)
        , firstPackets(routes, pool, flows, placement, reachability, counters)
        , learning(pool, options.host, options.dataCentre)
    {
        if (!options.learnCapacity)
            return;
        flows.setSamples(learning.samples());
        firstPackets.setLearning(learning);
    }

    SteeringDecision handleSubsequentPacket(const FlowPacket& packet, TimePoint now);
    SteeringDecision refuseUnreachable(const FlowPacket& packet, const PooledTarget& target);
    bool isIdempotent(const FlowId& flow) const;
    PooledTarget* findTarget(const std::string& id) const;

    CookieSteeringOptions options;
    RouteTable routes;
    TargetPool pool;
    FlowTable flows;
    Placement placement;
    ReachabilityMonitor reachability;
    SteeringCounters counters;
    LinkState linkState;
    FirstPacketSteering firstPackets;
    CapacityLearning learning;
    std::uint64_t reportSequence = 0;
};

SteeringDecision CookieSteering::Implementation::refuseUnreachable(const FlowPacket& packet, const PooledTarget& target)
{
    ++counters.targetUnreachable;
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
        reachability.suspect(*target, now);
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
    return packet.isFirst() ? m_implementation->firstPackets.handle(packet, now)
                            : m_implementation->handleSubsequentPacket(packet, now);
}

schema::PlacementExplanation CookieSteering::explainPlacement(const FlowId& flow, TimePoint now) const
{
    FlowPacket packet;
    packet.flow = flow;
    packet.syn = true;
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
    return target && m_implementation->reachability.handleOutcome(*target, outcome, now);
}

std::vector<FlowReset> CookieSteering::takeResets(const std::string& id)
{
    std::vector<FlowReset> resets;
    const PooledTarget* target = m_implementation->findTarget(id);
    if (!target || !target->reachability.isUnreachable())
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

bool CookieSteering::controlsOverload() const
{
    return m_implementation->options.linkBytesPerSecond > 0 && m_implementation->routes.document().hasUploads();
}

void CookieSteering::setLinkState(const LinkState& state)
{
    m_implementation->linkState = state;
    m_implementation->learning.samples().setOverloaded(state.isOverloaded);
}

std::vector<FlowRelease> CookieSteering::takeReleases(TimePoint) { return {}; }

std::optional<TimePoint> CookieSteering::nextRelease() const { return std::nullopt; }

void CookieSteering::advance(TimePoint now)
{
    Implementation& self = *m_implementation;
    const Duration configured = self.routes.document().idleTimeout;
    const Duration idle = configured.count() > 0 ? configured : self.options.maxFlowAge;
    self.flows.expire(idle, self.options.maxFlowAge, now);
    self.pool.expireReports(now);
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

std::size_t CookieSteering::flowCount() const { return m_implementation->flows.size(); }

}
