#include "capacity/capacity_exchange.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <xxhash.h>

namespace bergamotroute {

namespace {

    constexpr double stepsPerOctave = 16;
    /// Bounds of a coded value; those of the slowness are the bounds of a single sample.
    constexpr int maxSlownessSteps = 48;
    constexpr double maxSamples = 15;
    constexpr std::uint32_t maxLimit = 255;
    /// Time without a report after which a host counts as gone; hosts repeat an unchanged report more often.
    constexpr Duration hostLifetime { 10'000 };
    /// Hosts that send a slow target its minimum traffic: other hosts need the evidence of two.
    constexpr int testingHosts = 2;

    /// @return the value of a signed byte.
    int fromByte(char value)
    {
        const int byte = static_cast<std::uint8_t>(value);
        return byte > INT8_MAX ? byte - (UINT8_MAX + 1) : byte;
    }

    char toByte(int value) { return static_cast<char>(static_cast<std::uint8_t>(value)); }

    std::uint64_t rank(std::uint64_t targetNumber, std::uint64_t hostSeed)
    {
        return XXH3_64bits_withSeed(&targetNumber, sizeof(targetNumber), hostSeed);
    }

    std::uint64_t seedOf(const std::string& host) { return XXH3_64bits(host.data(), host.size()); }

}

void addEvidence(schema::TargetLoadReport& report, Cookie cookie, const CapacityEvidence& evidence)
{
    const auto steps = static_cast<int>(std::lround(evidence.logSlowness / std::numbers::ln2 * stepsPerOctave));
    const double samples = std::min(maxSamples, std::ceil(evidence.samples));
    report.add_measured_cookies(cookie);
    report.mutable_slowness()->push_back(toByte(std::clamp(steps, -maxSlownessSteps, maxSlownessSteps)));
    report.mutable_samples()->push_back(toByte(static_cast<int>(samples)));
    report.mutable_limits()->push_back(toByte(static_cast<int>(std::min(maxLimit, evidence.limit.value_or(0)))));
}

void clearEvidence(schema::TargetLoadReport& report)
{
    report.clear_measured_cookies();
    report.clear_slowness();
    report.clear_samples();
    report.clear_limits();
}

void forEachEvidence(
    const schema::TargetLoadReport& report, const std::function<void(Cookie, const CapacityEvidence&)>& function)
{
    const std::size_t count = std::min({ static_cast<std::size_t>(report.measured_cookies_size()),
        report.slowness().size(), report.samples().size(), report.limits().size() });
    for (std::size_t i = 0; i < count; ++i) {
        const int steps = fromByte(report.slowness()[i]);
        const auto samples = static_cast<std::uint8_t>(report.samples()[i]);
        const auto limit = static_cast<std::uint8_t>(report.limits()[i]);
        CapacityEvidence evidence;
        evidence.logSlowness
            = std::clamp(steps, -maxSlownessSteps, maxSlownessSteps) * std::numbers::ln2 / stepsPerOctave;
        evidence.samples = std::min(maxSamples, static_cast<double>(samples));
        if (limit > 0)
            evidence.limit = limit;
        function(report.measured_cookies(static_cast<int>(i)), evidence);
    }
}

EvidenceHosts::EvidenceHosts(const std::string& host, std::string dataCentre)
    : m_dataCentre(std::move(dataCentre))
    , m_ownSeed(seedOf(host))
{
}

EvidenceHost EvidenceHosts::note(const schema::TargetLoadReport& report, TimePoint now)
{
    Host& host = m_hosts[report.host()];
    if (host.number == 0) {
        host.number = ++m_lastNumber;
        host.seed = seedOf(report.host());
    }
    host.isLocal = report.data_centre() == m_dataCentre;
    host.lastReport = now;
    return host.number;
}

void EvidenceHosts::expire(TimePoint now)
{
    std::erase_if(m_hosts, [now](const auto& item) { return now - item.second.lastReport >= hostLifetime; });
}

bool EvidenceHosts::isTesterOf(std::uint64_t targetNumber) const
{
    const std::uint64_t own = rank(targetNumber, m_ownSeed);
    const auto precedingHosts = std::count_if(m_hosts.begin(), m_hosts.end(), [targetNumber, own](const auto& item) {
        return item.second.isLocal && rank(targetNumber, item.second.seed) > own;
    });
    return precedingHosts < testingHosts;
}

}
