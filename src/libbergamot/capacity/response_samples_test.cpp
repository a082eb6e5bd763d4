/// @file
/// Guards against samples that do not show the speed of a target: refusals, retransmissions, flows that have passed
/// other hosts, and pauses of clients.

#include "capacity/response_samples.h"

#include <cmath>
#include <doctest/doctest.h>

using namespace bergamotroute;

namespace {

constexpr std::uint32_t slots = 2;
constexpr std::uint32_t responseBytes = 6000;
constexpr Duration typicalTime { 40 };

/// One flow after another to one target, and later a flow of several requests.
struct Fixture {
    ManualClock clock;
    ResponseSamples samples;
    CapacityEstimate estimate;
    RequestTarget target { .routeKey = 1, .requests = 1, .slots = slots, .isSlowStart = false };
    RequestMeasurement flow;
    std::uint32_t acknowledgement = 1;

    Fixture()
    {
        for (int i = 0; i < 30; ++i)
            exchange(typicalTime, responseBytes);
        // Forgets the responses that made the route known.
        clock.advance(Duration(60'000));
        estimate = {};
    }

    void observe(const RequestProgress& progress) { samples.observe(flow, progress, target, estimate, clock.now()); }

    void send(bool isContiguous = true)
    {
        observe({ .acknowledgement = acknowledgement, .hasNewData = true, .isContiguous = isContiguous });
    }

    void acknowledge(std::uint32_t bytes, bool isEnd = false)
    {
        acknowledgement += bytes;
        observe({ .acknowledgement = acknowledgement, .acknowledgesNewData = true, .isEnd = isEnd });
    }

    /// A request and its response on a flow of its own.
    void exchange(Duration time, std::uint32_t bytes)
    {
        flow = {};
        send();
        clock.advance(time);
        for (std::uint32_t received = 2400; received < bytes; received += 2400)
            acknowledge(2400);
        acknowledge(bytes % 2400 == 0 ? 2400 : bytes % 2400, true);
    }

    double logSlowness()
    {
        const auto evidence = estimate.ownEvidence(slots, clock.now());
        return evidence ? evidence->logSlowness : 0;
    }

    bool hasSample() { return estimate.hasOwnEvidenceSince(clock.now()); }
};

}

TEST_CASE_FIXTURE(Fixture, "a response time is a sample, corrected for the queue at a full target")
{
    exchange(4 * typicalTime, responseBytes);
    CHECK(logSlowness() == doctest::Approx(std::log(4)).epsilon(0.01));
    estimate = {};
    target.requests = 4 * slots;
    exchange(4 * typicalTime, responseBytes);
    CHECK(logSlowness() == doctest::Approx(0));
}

TEST_CASE_FIXTURE(Fixture, "a full target that answers at once with refusals is limited and does not look fast")
{
    target.requests = 10;
    for (int i = 0; i < 5; ++i)
        exchange(Duration(2), 300);
    estimate.refresh(slots, clock.now());
    CHECK(estimate.limit() == 9);
    CHECK(estimate.slowness() >= 1);
    CHECK(samples.counters().refusals == 5);
    // Responses of half the size that are faster than typical are no refusals and no evidence of speed.
    estimate = {};
    exchange(typicalTime / 2, 300);
    CHECK(!hasSample());
}

TEST_CASE_FIXTURE(Fixture, "a target that refuses although it has free slots counts as slow")
{
    for (int i = 0; i < 5; ++i)
        exchange(Duration(2), 300);
    estimate.refresh(slots, clock.now());
    CHECK(estimate.slowness() > slowTarget);
}

TEST_CASE_FIXTURE(Fixture, "a fast response of the usual size is a sample as soon as half of it has been acknowledged")
{
    flow = {};
    send();
    clock.advance(typicalTime / 8);
    acknowledge(2400);
    CHECK(!hasSample());
    acknowledge(2400);
    CHECK(logSlowness() < -1);
}

TEST_CASE_FIXTURE(Fixture, "a retransmitted request is ambiguous")
{
    flow = {};
    send();
    clock.advance(Duration(200));
    observe({ .acknowledgement = acknowledgement, .isRetransmission = true });
    clock.advance(typicalTime);
    acknowledge(2400);
    CHECK(!hasSample());
    CHECK(samples.counters().droppedAmbiguous == 1);
}

TEST_CASE_FIXTURE(Fixture, "requests of which another host may have seen packets are dropped, the next one counts")
{
    flow = {};
    // The flow was opened through another host.
    observe({ .acknowledgement = acknowledgement, .isUntracked = true, .hasNewData = true, .isContiguous = true });
    clock.advance(8 * typicalTime);
    acknowledge(2400);
    CHECK(!hasSample());
    // Data is missing before this request.
    send(false);
    clock.advance(8 * typicalTime);
    acknowledge(2400);
    CHECK(!hasSample());
    // The first acknowledgement covers too much.
    send();
    clock.advance(8 * typicalTime);
    acknowledge(responseBytes);
    CHECK(!hasSample());
    send();
    clock.advance(2 * typicalTime);
    acknowledge(2400);
    CHECK(logSlowness() == doctest::Approx(std::log(2)).epsilon(0.01));
}

TEST_CASE_FIXTURE(
    Fixture, "an acknowledgement that comes with the next request of a long flow includes the client's pause")
{
    flow = {};
    send();
    clock.advance(Duration(900));
    acknowledgement += 1200;
    observe(
        { .acknowledgement = acknowledgement, .hasNewData = true, .isContiguous = true, .acknowledgesNewData = true });
    CHECK(!hasSample());
    // The request that came with it is measured.
    clock.advance(2 * typicalTime);
    acknowledge(2400);
    CHECK(logSlowness() == doctest::Approx(std::log(2)).epsilon(0.01));
}

TEST_CASE_FIXTURE(Fixture, "a target that hangs is slow before it answers, and the request does not count twice")
{
    flow = {};
    send();
    clock.advance(typicalTime / 2);
    samples.examine(flow, target, estimate, clock.now());
    CHECK(!hasSample());
    clock.advance(6 * typicalTime);
    for (int i = 0; i < 2; ++i) {
        clock.advance(Duration(10));
        samples.examine(flow, target, estimate, clock.now());
    }
    CHECK(logSlowness() > std::log(6));
    CHECK(estimate.ownEvidence(slots, clock.now())->samples == doctest::Approx(1));
}
