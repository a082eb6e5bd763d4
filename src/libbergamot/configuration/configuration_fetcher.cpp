#include "bergamotroute/configuration_fetcher.h"

#include <algorithm>

namespace bergamotroute {

ConfigurationFetcher::ConfigurationFetcher(
    FetcherOptions options, schema::Configuration initial, FetchSink& sink, TimePoint now)
    : m_options(std::move(options))
    , m_accepted(std::move(initial))
    , m_sink(sink)
    , m_random(m_options.seed)
    , m_backoff(m_options.backoffMin)
    , m_controlDue(m_options.controlEndpoints.empty() ? noDeadline : now)
    , m_peerDue(noDeadline)
{
    // Entry hosts start with different control hosts, which distributes their requests.
    if (!m_options.controlEndpoints.empty())
        m_controlIndex = m_random() % m_options.controlEndpoints.size();
}

FetchRequest ConfigurationFetcher::makeRequest(const std::string& endpoint, Duration longPollTimeout)
{
    FetchRequest request;
    request.id = m_nextRequestId++;
    request.endpoint = endpoint;
    request.haveRevision = m_needsFullConfiguration ? 0 : m_accepted.current().revision();
    request.longPollTimeout = longPollTimeout;
    request.timeout = longPollTimeout + m_options.answerMargin;
    return request;
}

void ConfigurationFetcher::requestFromControlHost(TimePoint)
{
    const std::string& endpoint = m_options.controlEndpoints[m_controlIndex];
    // A host without a configuration does not long-poll, because it needs the current revision immediately.
    const bool mayLongPoll = m_accepted.current().revision() > 0 && !m_needsFullConfiguration;
    const FetchRequest request = makeRequest(endpoint, mayLongPoll ? m_options.longPollTimeout : Duration(0));
    m_controlRequestId = request.id;
    m_controlDue = noDeadline;
    m_sink.fetch(request);
}

void ConfigurationFetcher::requestFromPeer(const std::string& endpoint)
{
    const FetchRequest request = makeRequest(endpoint, Duration(0));
    m_peerRequestId = request.id;
    m_requestedPeer = endpoint;
    m_peerDue = noDeadline;
    m_sink.fetch(request);
}

std::string ConfigurationFetcher::bestPeer(TimePoint now) const
{
    std::string best;
    std::uint64_t bestRevision = m_accepted.current().revision();
    for (const auto& [endpoint, peer] : m_peers) {
        const bool due = now >= peer.aheadSince + m_options.peerDelay;
        if (peer.revision <= bestRevision || !due)
            continue;
        best = endpoint;
        bestRevision = peer.revision;
    }
    return best;
}

void ConfigurationFetcher::handlePeerRevision(const std::string& endpoint, std::uint64_t revision, TimePoint now)
{
    Peer& peer = m_peers[endpoint];
    const bool wasAhead = peer.revision > m_accepted.current().revision();
    peer.revision = revision;
    if (revision <= m_accepted.current().revision())
        return;
    if (!wasAhead)
        peer.aheadSince = now;
    if (m_peerRequestId == 0)
        m_peerDue = std::min(m_peerDue, peer.aheadSince + m_options.peerDelay);
}

void ConfigurationFetcher::handleAnswer(std::uint64_t id, const schema::ConfigurationAnswer& answer, TimePoint now)
{
    const bool isControl = id == m_controlRequestId;
    if (!isControl && id != m_peerRequestId)
        return;
    const bool isNewer = answer.revision() > m_accepted.current().revision();
    const ResultCode code = m_accepted.update(answer);
    m_needsFullConfiguration = code == ResultCode::InvalidValue;
    if (code == ResultCode::Ok)
        m_sink.apply(m_accepted.current());
    else if (isNewer || answer.has_configuration())
        m_sink.logEvent(code, "revision " + std::to_string(answer.revision()));
    if (!isControl) {
        m_peerRequestId = 0;
        m_peers.erase(m_requestedPeer);
        return;
    }
    m_controlRequestId = 0;
    m_consecutiveFailures = 0;
    // A control host with an older revision may be partitioned from the others, so the next request goes to another one
    // after a delay.
    const bool isBehind = answer.revision() < m_accepted.current().revision();
    const bool refused = isNewer && code != ResultCode::Ok;
    if (isBehind)
        m_controlIndex = (m_controlIndex + 1) % m_options.controlEndpoints.size();
    m_backoff = isBehind || refused ? std::min(m_backoff * 2, m_options.backoffMax) : m_options.backoffMin;
    const bool pause = isBehind || refused || m_accepted.current().revision() == 0;
    m_controlDue = pause ? now + m_backoff : now;
}

void ConfigurationFetcher::handleFailure(std::uint64_t id, TimePoint now)
{
    if (id == m_peerRequestId) {
        m_peerRequestId = 0;
        m_peers.erase(m_requestedPeer);
        return;
    }
    if (id != m_controlRequestId)
        return;
    m_controlRequestId = 0;
    m_controlIndex = (m_controlIndex + 1) % m_options.controlEndpoints.size();
    // Every control host is tried once without a delay; after that the delay grows exponentially.
    if (++m_consecutiveFailures < m_options.controlEndpoints.size()) {
        m_controlDue = now;
        return;
    }
    const auto jitter = static_cast<Duration::rep>(m_random() % static_cast<std::uint64_t>(m_backoff.count() + 1));
    m_controlDue = now + m_backoff + Duration(jitter);
    m_backoff = std::min(m_backoff * 2, m_options.backoffMax);
}

void ConfigurationFetcher::advance(TimePoint now)
{
    if (m_controlRequestId == 0 && now >= m_controlDue)
        requestFromControlHost(now);
    if (m_peerRequestId != 0 || now < m_peerDue)
        return;
    m_peerDue = noDeadline;
    if (const std::string endpoint = bestPeer(now); !endpoint.empty())
        requestFromPeer(endpoint);
}

TimePoint ConfigurationFetcher::nextDeadline() const
{
    return std::min(m_controlRequestId == 0 ? m_controlDue : noDeadline, m_peerRequestId == 0 ? m_peerDue : noDeadline);
}

}
