/// @file
/// Guards against a target that is taken for dead while it listens, and the reverse.

#include "libbergamotio/connect_probe.h"

#include "libbergamotio/http_server.h"

#include <doctest/doctest.h>
#include <optional>

using namespace bergamotroute;

namespace {

ProbeOutcome probe(EventLoop& loop, const Endpoint& endpoint)
{
    std::optional<ProbeOutcome> result;
    probeListener(loop, endpoint, Duration(2000), [&](ProbeOutcome outcome) {
        result = outcome;
        loop.stop();
    });
    loop.run();
    REQUIRE(result.has_value());
    return *result;
}

}

TEST_CASE("a listener is connected, a closed port refuses")
{
    EventLoop loop;
    std::error_code error;
    Endpoint endpoint;
    {
        HttpServer server(loop);
        REQUIRE_FALSE(server.listen(Endpoint::parse("127.0.0.1:0", error)));
        endpoint = server.local();
        CHECK(probe(loop, endpoint) == ProbeOutcome::Connected);
    }
    CHECK(probe(loop, endpoint) == ProbeOutcome::Refused);
}

TEST_CASE("silence counts only if this process came back to the test in time")
{
    CHECK(judgeSilence(Duration(300), Duration(301)) == ProbeOutcome::NoAnswer);
    CHECK(judgeSilence(Duration(300), Duration(350)) == ProbeOutcome::NoAnswer);
    CHECK(judgeSilence(Duration(300), Duration(900)) == ProbeOutcome::Inconclusive);
}
