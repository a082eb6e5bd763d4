/// @file
/// Guards against load reports that saturate small links. With 79 entry hosts on links of 3.1 Mbit/s, the reports
/// during a partition exceeded the capacity of the links, probes failed for lack of bandwidth, and the reports grew
/// further.

#include "bergamotroute/load_report_pacer.h"

#include <array>
#include <doctest/doctest.h>
#include <map>

using namespace bergamotroute;

namespace {

constexpr double smallLink = 3.1e6 / 8;
constexpr double largeLink = 1e9 / 8;

double bytesPerSecond(Duration interval, std::size_t reportBytes, std::size_t peers)
{
    return static_cast<double>(reportBytes * peers) / std::chrono::duration<double>(interval).count();
}

}

TEST_CASE("reports in a large group use at most a twentieth of a small link, whatever their size")
{
    const LoadReportPacer pacer(smallLink);
    for (const std::size_t reportBytes : { std::size_t { 150 }, std::size_t { 800 }, std::size_t { 2000 } }) {
        CAPTURE(reportBytes);
        const double local = bytesPerSecond(pacer.localInterval(reportBytes, 18), reportBytes, 18);
        const double remote = bytesPerSecond(pacer.remoteInterval(reportBytes, 61), reportBytes, 61);
        CHECK(local + remote <= smallLink / 20);
    }
}

TEST_CASE("a small group on a large link reports at short intervals")
{
    const LoadReportPacer pacer(largeLink);
    CHECK(pacer.localInterval(150, 2) <= Duration(25));
    CHECK(pacer.remoteInterval(150, 7) <= Duration(150));
}

TEST_CASE("an unknown link capacity does not lengthen the interval")
{
    CHECK(LoadReportPacer(0).localInterval(2000, 2) == LoadReportPacer(largeLink).localInterval(10, 2));
}

TEST_CASE("a report stays valid until the next two have been lost, at short and at long intervals")
{
    for (const Duration interval : { Duration(25), Duration(500), Duration(2000) }) {
        CAPTURE(interval.count());
        CHECK(LoadReportPacer::validity(interval) > 2 * LoadReportPacer::repeatInterval(interval));
    }
}

TEST_CASE("reports to a large group are spread evenly over the interval, and each host gets one per interval")
{
    ManualClock clock;
    std::vector<Endpoint> peers;
    for (std::uint16_t port = 1; port <= 60; ++port)
        peers.push_back({ IpAddress::fromV4(std::array<std::uint8_t, 4> { 10, 0, 0, 1 }), port });
    ReportRotation rotation;
    rotation.takeDue(peers, Duration(1200), clock.now());
    std::map<std::uint16_t, int> received;
    for (int tick = 0; tick < 40; ++tick) {
        clock.advance(Duration(120));
        const std::vector<Endpoint> due = rotation.takeDue(peers, Duration(1200), clock.now());
        CHECK(due.size() == 6);
        for (const Endpoint& peer : due)
            ++received[peer.port];
    }
    REQUIRE(received.size() == peers.size());
    for (const auto& [port, count] : received)
        CHECK(count == 4);
}

TEST_CASE("after a long pause each host gets one report, not one for each interval that has passed")
{
    ManualClock clock;
    const std::vector<Endpoint> peers(7);
    ReportRotation rotation;
    clock.advance(Duration(60'000));
    CHECK(rotation.takeDue(peers, Duration(100), clock.now()).size() == peers.size());
    CHECK(rotation.takeDue(peers, Duration(100), clock.now()).empty());
}
