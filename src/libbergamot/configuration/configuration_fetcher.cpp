#include "bergamotroute/configuration_fetcher.h"

#include <algorithm>

namespace bergamotroute {

ConfigurationFetcher::ConfigurationFetcher(
    FetcherOptions options, schema::Configuration initial, FetchSink& sink, TimePoint now)
    : m_options(std::move(options))
    , m_guard(std::move(initial))
    , m_sink(sink)
    , m_random(m_options.seed)
    , m_backoff(m_options.backoffMin)
    , m_controlDue(m_options.controlEndpoints.empty() ? noDeadline : now)
    , m_neighbourDue(noDeadline)
{
    // Entry hosts start at different control hosts, which spreads their requests.
    if (!m_options.controlEndpoints.empty())
        m_nextControl = m_random() % m_options.controlEndpoints.size();
}

FetchRequest ConfigurationFetcher::makeRequest(const std::string& endpoint, Duration wait)
{
    FetchRequest request;
    request.id = m_nextId++;
    request.endpoint = endpoint;
    request.haveRevision = m_needWhole ? 0 : m_guard.current().revision();
    request.wait = wait;
    request.deadline = wait + m_options.answerMargin;
    return request;
}

void ConfigurationFetcher::askControl(TimePoint)
{
    const std::string& endpoint = m_options.controlEndpoints[m_nextControl];
    // A host without a configuration must not wait: it needs the current revision, whatever it is.
    const bool mayWait = m_guard.current().revision() > 0 && !m_needWhole;
    const FetchRequest request = makeRequest(endpoint, mayWait ? m_options.wait : Duration(0));
    m_controlRequest = request.id;
    m_controlDue = noDeadline;
    m_sink.fetch(request);
}

void ConfigurationFetcher::askNeighbour(const std::string& endpoint)
{
    const FetchRequest request = makeRequest(endpoint, Duration(0));
    m_neighbourRequest = request.id;
    m_askedNeighbour = endpoint;
    m_neighbourDue = noDeadline;
    m_sink.fetch(request);
}

std::string ConfigurationFetcher::bestNeighbour(TimePoint now) const
{
    std::string best;
    std::uint64_t bestRevision = m_guard.current().revision();
    for (const auto& [endpoint, neighbour] : m_neighbours) {
        const bool due = now >= neighbour.aheadSince + m_options.neighbourDelay;
        if (neighbour.revision <= bestRevision || !due)
            continue;
        best = endpoint;
        bestRevision = neighbour.revision;
    }
    return best;
}

void ConfigurationFetcher::handleNeighbour(const std::string& endpoint, std::uint64_t revision, TimePoint now)
{
    Neighbour& neighbour = m_neighbours[endpoint];
    const bool wasAhead = neighbour.revision > m_guard.current().revision();
    neighbour.revision = revision;
    if (revision <= m_guard.current().revision())
        return;
    if (!wasAhead)
        neighbour.aheadSince = now;
    if (m_neighbourRequest == 0)
        m_neighbourDue = std::min(m_neighbourDue, neighbour.aheadSince + m_options.neighbourDelay);
}

void ConfigurationFetcher::handleAnswer(std::uint64_t id, const schema::ConfigurationAnswer& answer, TimePoint now)
{
    const bool isControl = id == m_controlRequest;
    if (!isControl && id != m_neighbourRequest)
        return;
    const bool isNewer = answer.revision() > m_guard.current().revision();
    const ResultCode code = m_guard.offer(answer);
    m_needWhole = code == ResultCode::InvalidValue;
    if (code == ResultCode::Ok)
        m_sink.apply(m_guard.current());
    else if (isNewer || answer.has_configuration())
        m_sink.logEvent(code, "revision " + std::to_string(answer.revision()));
    if (!isControl) {
        m_neighbourRequest = 0;
        m_neighbours.erase(m_askedNeighbour);
        return;
    }
    m_controlRequest = 0;
    m_failuresInRow = 0;
    // A control host that is behind may be cut off; the next one is asked after a pause.
    const bool isBehind = answer.revision() < m_guard.current().revision();
    const bool refused = isNewer && code != ResultCode::Ok;
    if (isBehind)
        m_nextControl = (m_nextControl + 1) % m_options.controlEndpoints.size();
    m_backoff = isBehind || refused ? std::min(m_backoff * 2, m_options.backoffMax) : m_options.backoffMin;
    const bool pause = isBehind || refused || m_guard.current().revision() == 0;
    m_controlDue = pause ? now + m_backoff : now;
}

void ConfigurationFetcher::handleFailure(std::uint64_t id, TimePoint now)
{
    if (id == m_neighbourRequest) {
        m_neighbourRequest = 0;
        m_neighbours.erase(m_askedNeighbour);
        return;
    }
    if (id != m_controlRequest)
        return;
    m_controlRequest = 0;
    m_nextControl = (m_nextControl + 1) % m_options.controlEndpoints.size();
    // Each control host is asked once without a pause; then the pauses grow.
    if (++m_failuresInRow < m_options.controlEndpoints.size()) {
        m_controlDue = now;
        return;
    }
    const auto jitter = static_cast<Duration::rep>(m_random() % static_cast<std::uint64_t>(m_backoff.count() + 1));
    m_controlDue = now + m_backoff + Duration(jitter);
    m_backoff = std::min(m_backoff * 2, m_options.backoffMax);
}

void ConfigurationFetcher::advance(TimePoint now)
{
    if (m_controlRequest == 0 && now >= m_controlDue)
        askControl(now);
    if (m_neighbourRequest != 0 || now < m_neighbourDue)
        return;
    m_neighbourDue = noDeadline;
    if (const std::string endpoint = bestNeighbour(now); !endpoint.empty())
        askNeighbour(endpoint);
}

TimePoint ConfigurationFetcher::nextDeadline() const
{
    return std::min(
        m_controlRequest == 0 ? m_controlDue : noDeadline, m_neighbourRequest == 0 ? m_neighbourDue : noDeadline);
}

}
