#include "bergamotroute/connection_race.h"

#include <algorithm>
#include <utility>

namespace bergamotroute {

namespace {

    /// Bounds the work for hosts that refuse connections for long.
    constexpr int maxRetryFactor = 4;

}

void ConnectionRace::start(std::vector<std::string> endpoints, TimePoint now)
{
    m_waiting.clear();
    m_pending.clear();
    for (std::string& endpoint : endpoints)
        m_waiting.push_back({ std::move(endpoint), now, m_retryDelay });
    m_nextAttempt = now;
}

void ConnectionRace::add(const std::string& endpoint)
{
    const auto isEndpoint = [&endpoint](const Attempt& attempt) { return attempt.endpoint == endpoint; };
    const bool isKnown = std::any_of(m_waiting.begin(), m_waiting.end(), isEndpoint)
        || std::any_of(m_pending.begin(), m_pending.end(), isEndpoint);
    if (isRunning() && !isKnown)
        m_waiting.push_back({ endpoint, m_nextAttempt, m_retryDelay });
}

std::optional<std::string> ConnectionRace::takeDueAttempt(TimePoint now)
{
    if (now < m_nextAttempt)
        return std::nullopt;
    const auto due = std::find_if(
        m_waiting.begin(), m_waiting.end(), [now](const Attempt& attempt) { return now >= attempt.time; });
    if (due == m_waiting.end())
        return std::nullopt;
    m_pending.push_back({ std::move(due->endpoint), now, due->retryDelay });
    m_waiting.erase(due);
    m_nextAttempt = now + m_attemptDelay;
    return m_pending.back().endpoint;
}

TimePoint ConnectionRace::nextAttempt() const
{
    TimePoint next = noDeadline;
    for (const Attempt& attempt : m_waiting)
        next = std::min(next, std::max(attempt.time, m_nextAttempt));
    return next;
}

std::vector<ConnectionRace::Attempt>::iterator ConnectionRace::findPending(const std::string& endpoint)
{
    return std::find_if(m_pending.begin(), m_pending.end(),
        [&endpoint](const Attempt& attempt) { return attempt.endpoint == endpoint; });
}

void ConnectionRace::recordFailure(const std::string& endpoint, TimePoint now)
{
    const auto failed = findPending(endpoint);
    if (failed == m_pending.end())
        return;
    m_nextAttempt = now;
    const Duration delay = failed->retryDelay;
    const bool isRefused = now - failed->time < delay;
    const Duration nextDelay = isRefused ? std::min(2 * delay, maxRetryFactor * m_retryDelay) : m_retryDelay;
    if (m_retryDelay > Duration(0))
        m_waiting.push_back({ endpoint, failed->time + delay, nextDelay });
    m_pending.erase(failed);
}

std::optional<std::vector<std::string>> ConnectionRace::recordConnected(const std::string& endpoint)
{
    const auto winner = findPending(endpoint);
    if (winner == m_pending.end())
        return std::nullopt;
    m_pending.erase(winner);
    std::vector<std::string> losers;
    for (Attempt& attempt : m_pending)
        losers.push_back(std::move(attempt.endpoint));
    m_pending.clear();
    m_waiting.clear();
    return losers;
}

}
