/// @file
/// Guards against a target that is taken for dead while it listens, and the reverse.

#include "libbergamotio/connect_probe.h"

#include "libbergamotio/http_server.h"
#include "libbergamotio/socket_address.h"

#include <doctest/doctest.h>
#include <optional>
#include <sys/socket.h>
#include <unistd.h>

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

TEST_CASE("an unanswered probe counts only if the reference target answers")
{
    EventLoop loop;
    HttpServer server(loop);
    std::error_code error;
    REQUIRE_FALSE(server.listen(Endpoint::parse("127.0.0.1:0", error)));
    // The queue of this listener is full, so that connections to it stay without an answer.
    const int full = ::socket(AF_INET, SOCK_STREAM, 0);
    const SocketAddress address = toSocketAddress(Endpoint::parse("127.0.0.1:0", error));
    REQUIRE(::bind(full, address.get(), address.length) == 0);
    REQUIRE(::listen(full, 0) == 0);
    const Endpoint silent = localEndpoint(full);
    std::vector<int> waiting;
    for (int connection = 0; connection < 3; ++connection) {
        waiting.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
        const SocketAddress target = toSocketAddress(silent);
        // Returns before the connection is open.
        static_cast<void>(::connect(waiting.back(), target.get(), target.length));
    }
    const auto probeWith = [&](const Endpoint& target, const Endpoint& reference) {
        std::optional<ProbeOutcome> result;
        probeTarget(loop, { "target", target, Duration(100), reference }, [&](ProbeOutcome outcome) {
            result = outcome;
            loop.stop();
        });
        loop.run();
        return result;
    };
    CHECK(probeWith(silent, server.local()) == ProbeOutcome::NoAnswer);
    CHECK(probeWith(silent, silent) == ProbeOutcome::Inconclusive);
    CHECK(probeWith(server.local(), silent) == ProbeOutcome::Connected);
    for (const int descriptor : waiting)
        ::close(descriptor);
    ::close(full);
}
