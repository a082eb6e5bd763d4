#include "bergamotroute/result_code.h"
#include "libbergamotio/http_client.h"
#include "libbergamotio/http_server.h"
#include "libbergamotio/socket_address.h"

#include <doctest/doctest.h>
#include <unistd.h>

using namespace bergamotroute;

namespace {

Endpoint freePort()
{
    std::error_code error;
    return Endpoint::parse("127.0.0.1:0", error);
}

HttpAnswer request(EventLoop& loop, const HttpServer& server, const std::string& path)
{
    HttpAnswer result;
    sendHttpRequest(
        loop, "GET", "http://" + server.local().toString() + path, "", Duration(2000), [&](const HttpAnswer& answer) {
            result = answer;
            loop.stop();
        });
    loop.run();
    return result;
}

}

TEST_CASE("routes, queries and answers in parts arrive whole")
{
    // Guards against an answer in parts that ends before its last part.
    EventLoop loop;
    HttpServer server(loop);
    REQUIRE_FALSE(server.listen(freePort()));
    server.route("GET", "/parts", HttpAccess::Open, [](const std::shared_ptr<HttpExchange>& exchange) {
        exchange->beginParts(HttpStatus::Ok);
        exchange->sendPart("one ");
        exchange->sendPart(exchange->query("word"));
        exchange->endParts();
    });
    const HttpAnswer answer = request(loop, server, "/parts?word=two");
    CHECK(answer.status == 200);
    CHECK(answer.body == "one two");
    CHECK(request(loop, server, "/other").status == 404);
}

TEST_CASE("a route with a token refuses a request without it")
{
    // Guards against an operators' command that runs for anyone who reaches the port.
    EventLoop loop;
    HttpServer server(loop);
    REQUIRE_FALSE(server.listen(freePort()));
    int calls = 0;
    server.route("GET", "/secret", HttpAccess::Token, [&](const std::shared_ptr<HttpExchange>& exchange) {
        ++calls;
        exchange->reply(HttpStatus::Ok, "");
    });
    CHECK(request(loop, server, "/secret").status == 401);
    server.setToken("right");
    CHECK(request(loop, server, "/secret").status == 401);
    CHECK(calls == 0);
}

TEST_CASE("a request that gets no answer ends at its time limit")
{
    // Guards against a health check that stays open for good behind a silent target.
    EventLoop loop;
    HttpServer server(loop);
    REQUIRE_FALSE(server.listen(freePort()));
    std::shared_ptr<HttpExchange> kept;
    bool closed = false;
    server.route("GET", "/silent", HttpAccess::Open, [&](const std::shared_ptr<HttpExchange>& exchange) {
        kept = exchange;
        exchange->onClosed([&] { closed = true; });
    });
    HttpAnswer result { 1, "" };
    sendHttpRequest(loop, "GET", "http://" + server.local().toString() + "/silent", "", Duration(50),
        [&](const HttpAnswer& answer) { result = answer; });
    Timer end(loop, [&] { loop.stop(); });
    end.start(Duration(200));
    loop.run();
    CHECK(result.status == 0);
    CHECK(kept != nullptr);
    CHECK(closed);
    CHECK(kept->isClosed());
}
