#include "standins/common/fault_plan.h"

#include "bergamotroute/result_code.h"

#include <cstdlib>

namespace bergamotroute {

namespace {

    constexpr double largestDelayMs = 600'000;

    bool parseNumber(const std::string& text, double largest, double& number)
    {
        char* end = nullptr;
        const double value = std::strtod(text.c_str(), &end);
        if (text.empty() || *end != 0 || !(value >= 0 && value <= largest))
            return false;
        number = value;
        return true;
    }

}

FaultPlan::FaultPlan(std::uint64_t seed)
    : m_random(seed)
{
}

std::error_code FaultPlan::set(std::string_view name, const std::string& value)
{
    if (name == "cut") {
        if (value != "none" && value != "up" && value != "down" && value != "both")
            return ResultCode::InvalidValue;
        m_settings.isCutUp = value == "up" || value == "both";
        m_settings.isCutDown = value == "down" || value == "both";
        return {};
    }
    double number = 0;
    for (auto [known, target] : { std::pair<std::string_view, Duration*> { "delay_ms", &m_settings.delay },
             { "jitter_ms", &m_settings.jitter }, { "reorder_ms", &m_settings.reorderBy } }) {
        if (name != known)
            continue;
        if (!parseNumber(value, largestDelayMs, number))
            return ResultCode::InvalidValue;
        *target = Duration(static_cast<Duration::rep>(number));
        return {};
    }
    for (auto [known, target] : { std::pair<std::string_view, double*> { "loss", &m_settings.loss },
             { "duplicate", &m_settings.duplicate }, { "reorder", &m_settings.reorder } }) {
        if (name == known)
            return parseNumber(value, 1, *target) ? ResultCode::Ok : ResultCode::InvalidValue;
    }
    return ResultCode::HttpNotFound;
}

bool FaultPlan::chance(double probability)
{
    return probability > 0 && std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
}

Duration FaultPlan::streamDelay()
{
    if (m_settings.jitter.count() == 0)
        return m_settings.delay;
    std::uniform_int_distribution<Duration::rep> extra(0, m_settings.jitter.count());
    return m_settings.delay + Duration(extra(m_random));
}

std::vector<Duration> FaultPlan::datagramDelays()
{
    if (chance(m_settings.loss))
        return {};
    std::vector<Duration> delays { streamDelay() };
    if (chance(m_settings.reorder))
        delays[0] += m_settings.reorderBy;
    if (chance(m_settings.duplicate))
        delays.push_back(streamDelay());
    return delays;
}

}
