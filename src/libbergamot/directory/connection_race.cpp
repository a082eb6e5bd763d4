#include "bergamotroute/connection_race.h"

#include <utility>

namespace bergamotroute {

void ConnectionRace::start(std::vector<std::string> endpoints, TimePoint now)
{
    m_waiting.assign(endpoints.rbegin(), endpoints.rend());
    m_pending.clear();
    m_nextAttempt = now;
}

std::optional<std::string> ConnectionRace::takeDueAttempt(TimePoint now)
{
    if (m_waiting.empty() || now < m_nextAttempt)
        return std::nullopt;
    m_pending.push_back(std::move(m_waiting.back()));
    m_waiting.pop_back();
    m_nextAttempt = now + m_attemptDelay;
    return m_pending.back();
}

TimePoint ConnectionRace::nextAttempt() const { return m_waiting.empty() ? noDeadline : m_nextAttempt; }

void ConnectionRace::recordFailure(const std::string& endpoint, TimePoint now)
{
    if (std::erase(m_pending, endpoint) > 0)
        m_nextAttempt = now;
}

std::optional<std::vector<std::string>> ConnectionRace::recordConnected(const std::string& endpoint)
{
    if (std::erase(m_pending, endpoint) == 0)
        return std::nullopt;
    m_waiting.clear();
    return std::exchange(m_pending, {});
}

}
