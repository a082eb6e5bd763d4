#include "libbergamotio/rpc_client.h"
#include "libbergamotio/rpc_server.h"
#include "libbergamotio/socket_address.h"

#include "bergamotroute/result_code.h"

#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace bergamotroute;

namespace {

Endpoint loopback(std::uint16_t port)
{
    std::error_code error;
    return Endpoint::parse("127.0.0.1:" + std::to_string(port), error);
}

}

// Guards against bodies that are cut at the size of a frame or of the flow control window.
TEST_CASE("a large body arrives whole in both directions")
{
    EventLoop loop;
    RpcServer server(loop);
    REQUIRE_FALSE(server.listen(loopback(0)));
    server.handle("/echo", [](const std::string& body, const RpcReply& reply) { reply.send(200, body); });
    RpcClient client(loop, loopback(server.port()));
    const std::string sent(6'000'000, 'x');
    RpcResult result;
    client.call("/echo", sent, Duration(10'000), [&](const RpcResult& answer) {
        result = answer;
        loop.stop();
    });
    loop.run();
    CHECK(result.succeeded());
    CHECK(result.body == sent);
}

// Guards against a call that never ends because the peer does not answer it.
TEST_CASE("a call without an answer ends by its deadline")
{
    EventLoop loop;
    RpcServer server(loop);
    REQUIRE_FALSE(server.listen(loopback(0)));
    std::vector<RpcReply> held;
    server.handle("/hold", [&](const std::string&, const RpcReply& reply) { held.push_back(reply); });
    RpcClient client(loop, loopback(server.port()));
    RpcResult result;
    client.call("/hold", "", Duration(50), [&](const RpcResult& answer) {
        result = answer;
        loop.stop();
    });
    loop.run();
    CHECK(result.error == ResultCode::DeadlineExceeded);
    CHECK(held.size() == 1);
    held[0].send(200, "late");
}

// Guards against a connection that takes bytes but is silent for good: the probe closes it and calls go on elsewhere.
TEST_CASE("a silent connection is closed by its probe and opened again")
{
    EventLoop loop;
    // The kernel accepts the connection; no process reads it.
    const int silent = ::socket(AF_INET, SOCK_STREAM, 0);
    const SocketAddress address = toSocketAddress(loopback(0));
    REQUIRE(::bind(silent, address.get(), address.length) == 0);
    REQUIRE(::listen(silent, 8) == 0);
    const std::uint16_t port = localEndpoint(silent).port;
    RpcClientOptions options;
    options.probeInterval = Duration(20);
    options.probeTimeout = Duration(50);
    RpcClient client(loop, loopback(port), options);
    std::vector<RpcResult> results;
    RpcServer server(loop);
    server.handle("/echo", [](const std::string& body, const RpcReply& reply) { reply.send(200, body); });
    client.call("/echo", "first", Duration(5000), [&](const RpcResult& answer) {
        results.push_back(answer);
        ::close(silent);
        REQUIRE_FALSE(server.listen(loopback(port)));
        client.call("/echo", "second", Duration(5000), [&](const RpcResult& second) {
            results.push_back(second);
            loop.stop();
        });
    });
    loop.run();
    REQUIRE(results.size() == 2);
    CHECK(results[0].error == ResultCode::ConnectionLost);
    CHECK(client.failedProbes() == 1);
    CHECK(results[1].body == "second");
}

// Guards against a race for a control host that never learns how an attempt ended, or that keeps a lost attempt open.
TEST_CASE("a connection is opened without a call, and each attempt reports its end once")
{
    EventLoop loop;
    RpcServer server(loop);
    server.handle("/echo", [](const std::string& body, const RpcReply& reply) { reply.send(200, body); });
    REQUIRE_FALSE(server.listen(loopback(0)));
    RpcClient open(loop, loopback(server.port()));
    RpcClient refused(loop, loopback(1));
    RpcClient cancelled(loop, loopback(server.port()));
    std::vector<bool> ends;
    bool isCancelledReported = false;
    std::string answer;
    cancelled.open([&](bool) { isCancelledReported = true; });
    cancelled.cancelOpen();
    refused.open([&](bool isOpen) {
        ends.push_back(isOpen);
        open.open([&](bool isOtherOpen) {
            ends.push_back(isOtherOpen);
            open.call("/echo", "text", Duration(5000), [&](const RpcResult& result) {
                answer = result.body;
                loop.stop();
            });
        });
    });
    loop.run();
    CHECK(ends == std::vector<bool> { false, true });
    CHECK(answer == "text");
    CHECK(open.isConnected());
    CHECK_FALSE(isCancelledReported);
    CHECK_FALSE(cancelled.isConnected());
}
