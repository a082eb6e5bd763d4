/// @file
/// Guards against evidence that takes too many bytes or says too little in large deployments, and against values of
/// another host that are out of range.

#include "capacity/capacity_exchange.h"

#include "bergamotroute/load_report_pacer.h"

#include <algorithm>
#include <cmath>
#include <doctest/doctest.h>
#include <random>
#include <vector>

using namespace bergamotroute;

namespace {

std::vector<std::pair<Cookie, CapacityEvidence>> decode(const schema::TargetLoadReport& report)
{
    std::vector<std::pair<Cookie, CapacityEvidence>> list;
    forEachEvidence(report, [&list](Cookie cookie, const auto& evidence) { list.emplace_back(cookie, evidence); });
    return list;
}

}

TEST_CASE("evidence keeps its values within a sixteenth of a power of two")
{
    schema::TargetLoadReport report;
    for (const double slowness : { 0.125, 0.5, 1.0, 3.0, 8.0 })
        addEvidence(report, 7, { std::log(slowness), 2, {} });
    addEvidence(report, 8, { 0, 40, 9 });
    const auto list = decode(report);
    REQUIRE(list.size() == 6);
    CHECK(std::exp(list[0].second.logSlowness) == doctest::Approx(0.125));
    CHECK(std::exp(list[3].second.logSlowness) == doctest::Approx(3.0).epsilon(0.03));
    CHECK(std::exp(list[4].second.logSlowness) == doctest::Approx(8.0));
    CHECK(!list[0].second.limit);
    CHECK(list[5].first == 8);
    CHECK(list[5].second.samples == 15);
    CHECK(list[5].second.limit == 9);
}

TEST_CASE("lists of different length and values out of range are bounded")
{
    schema::TargetLoadReport report;
    report.add_measured_cookies(1);
    report.add_measured_cookies(2);
    report.set_slowness("\x7f\x80\x01");
    report.set_samples("\xff\x01");
    report.set_limits(std::string("\0", 1));
    const auto list = decode(report);
    REQUIRE(list.size() == 1);
    CHECK(list[0].second.logSlowness == doctest::Approx(std::log(maxSampleFactor)));
    CHECK(list[0].second.samples == 15);
}

TEST_CASE(
    "294 hosts with 480 targets: a slow third is found from one sample per target in 0.6 s, within the byte budget")
{
    constexpr int dataCentres = 6;
    constexpr int hosts = 294 / dataCentres;
    constexpr int targets = 480 / dataCentres;
    constexpr std::uint32_t slots = 2;
    constexpr double linkBytesPerSecond = 3.1e6 / 8;
    constexpr double samplesPerHost = targets / 0.6 / hosts;
    ManualClock clock;
    std::mt19937 random(1);
    std::lognormal_distribution<double> length(0, 0.5);
    const LoadReportPacer pacer(linkBytesPerSecond);
    // Hosts and targets of one data centre; the first host observes.
    std::vector<std::vector<CapacityEstimate>> estimates(hosts, std::vector<CapacityEstimate>(targets));
    std::vector<TimePoint> nextReports(hosts, clock.now());
    std::vector<TimePoint> lastReports(hosts, clock.now());
    double bytesOfHost = 0;
    int found = 0;
    int falsePositives = 0;
    int checks = 0;
    constexpr Duration step { 5 };
    constexpr Duration duration { 20'000 };
    for (const TimePoint end = clock.now() + duration; clock.now() < end; clock.advance(step)) {
        for (int host = 0; host < hosts; ++host) {
            std::uniform_real_distribution<double> chance(0, 1);
            if (chance(random) < samplesPerHost * std::chrono::duration<double>(step).count()) {
                const std::size_t target = random() % targets;
                estimates[host][target].addSample((target % 3 == 0 ? 6 : 1) * length(random), clock.now());
            }
            if (clock.now() < nextReports[host])
                continue;
            schema::TargetLoadReport report;
            for (std::size_t target = 0; target < targets; ++target) {
                if (estimates[host][target].hasOwnEvidenceSince(lastReports[host]))
                    addEvidence(report, 1000 + static_cast<Cookie>(target),
                        *estimates[host][target].ownEvidence(slots, clock.now()));
            }
            // Headers of the four lists, 4 bytes for the cookie and 3 for the evidence.
            CHECK(report.ByteSizeLong() <= 8 + 7 * static_cast<std::size_t>(report.measured_cookies_size()));
            bytesOfHost += host == 0 ? static_cast<double>(report.ByteSizeLong() * (hosts - 1)) : 0;
            lastReports[host] = clock.now() + Duration(1);
            nextReports[host] = clock.now() + pacer.localInterval(report.ByteSizeLong(), hosts - 1);
            if (host == 0)
                continue;
            for (const auto& [cookie, evidence] : decode(report))
                estimates[0][cookie - 1000].setReported(host, evidence, true, clock.now());
        }
        if (clock.now() + Duration(10'000) < end || clock.now().time_since_epoch().count() % 500 != 0)
            continue;
        ++checks;
        for (int target = 0; target < targets; ++target) {
            estimates[0][target].refresh(slots, clock.now());
            const bool isSlow = estimates[0][target].slowness() > slowTarget;
            (target % 3 == 0 ? found : falsePositives) += isSlow ? 1 : 0;
        }
    }
    const int slowTargets = (targets + 2) / 3;
    REQUIRE(checks > 0);
    CHECK(found >= checks * slowTargets * 3 / 4);
    CHECK(falsePositives <= checks * (targets - slowTargets) / 20);
    CHECK(bytesOfHost / std::chrono::duration<double>(duration).count() <= linkBytesPerSecond * 0.02);
    MESSAGE("slow targets found: " << found << " of " << checks * slowTargets << ", false: " << falsePositives << " of "
                                   << checks * (targets - slowTargets) << ", bytes per second of a host: "
                                   << bytesOfHost / std::chrono::duration<double>(duration).count());
}

TEST_CASE("of the hosts of a data centre, two send a slow target its minimum traffic")
{
    constexpr int hosts = 28;
    ManualClock clock;
    std::vector<EvidenceHosts> views;
    for (int host = 0; host < hosts; ++host) {
        EvidenceHosts& view = views.emplace_back("entry-" + std::to_string(host), "a");
        for (int other = 0; other < 2 * hosts; ++other) {
            schema::TargetLoadReport report;
            report.set_host("entry-" + std::to_string(other));
            report.set_data_centre(other < hosts ? "a" : "b");
            if (other != host)
                view.note(report, clock.now());
        }
    }
    for (std::uint64_t target = 0; target < 50; ++target)
        CHECK(std::count_if(views.begin(), views.end(), [target](const auto& view) { return view.isTesterOf(target); })
            == 2);
}

TEST_CASE("a refusal does not pass an old response time on as new evidence")
{
    constexpr std::uint32_t slots = 2;
    ManualClock clock;
    CapacityEstimate estimate;
    estimate.addSample(6, clock.now());
    clock.advance(Duration(20'000));
    estimate.addRefusal(10, slots, clock.now());
    const auto evidence = estimate.ownEvidence(slots, clock.now());
    REQUIRE(evidence);
    CHECK(evidence->samples == 0);
    CHECK(evidence->logSlowness == 0);
    CHECK(evidence->limit == 9);
}
