#include "imbalance/backend_model.h"

namespace bergamotroute::bench {

namespace {

    constexpr std::size_t historyLength = 16;

}

double BackendModel::busyIntegral(double now)
{
    m_integral += m_busy * (now - m_integralAt);
    m_integralAt = now;
    return m_integral;
}

std::optional<double> BackendModel::startRequest(double now, double serviceMs)
{
    busyIntegral(now);
    if (m_busy >= m_slots) {
        m_waiting.push_back(serviceMs);
        return std::nullopt;
    }
    ++m_busy;
    return now + serviceMs;
}

std::optional<double> BackendModel::finishRequest(double now)
{
    busyIntegral(now);
    if (m_waiting.empty()) {
        --m_busy;
        return std::nullopt;
    }
    const double serviceMs = m_waiting.front();
    m_waiting.pop_front();
    return now + serviceMs;
}

void BackendModel::die(double now)
{
    busyIntegral(now);
    alive = false;
    m_busy = 0;
    m_feeds = 0;
    m_waiting.clear();
}

void BackendModel::recordSnapshot(double now)
{
    m_history.push_back({ now, openFlows(), m_busy, static_cast<std::uint32_t>(m_waiting.size()) });
    if (m_history.size() > historyLength)
        m_history.pop_front();
}

LoadSnapshot BackendModel::snapshot(double now, double ageMs) const
{
    LoadSnapshot result;
    for (const LoadSnapshot& snapshot : m_history) {
        if (snapshot.timeMs <= now - ageMs)
            result = snapshot;
    }
    return result;
}

}
