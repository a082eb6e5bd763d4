#include "bergamotroute/result_code.h"
#include "libbergamotio/http_client.h"
#include "libbergamotio/http_server.h"
#include "libbergamotio/socket_address.h"

#include <array>
#include <doctest/doctest.h>
#include <sys/socket.h>
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

namespace {

/// Sends raw bytes to a server.
/// @param leaves close the connection before the server reads the request.
/// @return the first bytes of the answer.
std::string exchangeBytes(EventLoop& loop, const HttpServer& server, const std::string& bytes, bool leaves = false)
{
    const SocketAddress address = toSocketAddress(server.local());
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    REQUIRE(::connect(socket, address.get(), address.length) == 0);
    REQUIRE(::send(socket, bytes.data(), bytes.size(), 0) == static_cast<ssize_t>(bytes.size()));
    if (leaves)
        ::shutdown(socket, SHUT_WR);
    std::string answer;
    ReadWatch watch(loop, socket, [&] {
        std::array<char, 256> buffer {};
        const ssize_t count = ::recv(socket, buffer.data(), buffer.size(), 0);
        answer.assign(buffer.data(), count > 0 ? static_cast<std::size_t>(count) : 0);
        loop.stop();
    });
    Timer end(loop, [&] { loop.stop(); });
    end.start(Duration(500));
    loop.run();
    ::close(socket);
    return answer;
}

}

TEST_CASE("a POST without a body reaches the route of its path prefix, with the path decoded")
{
    // Guards against an order that is answered with an error because its caller states no length or keeps the
    // connection open.
    EventLoop loop;
    HttpServer server(loop);
    REQUIRE_FALSE(server.listen(freePort()));
    std::string path;
    server.route("POST", "/orders/", HttpAccess::Open, [&](const std::shared_ptr<HttpExchange>& exchange) {
        path = exchange->decodedPath();
        exchange->reply(HttpStatus::Ok, "");
    });
    for (const char* headers : { "", "Content-Length: 0\r\n", "Connection: keep-alive\r\n", "Connection: close\r\n" }) {
        path.clear();
        const std::string head = std::string("POST /orders/hall%202 HTTP/1.1\r\nHost: x\r\n") + headers + "\r\n";
        CHECK(exchangeBytes(loop, server, head).starts_with("HTTP/1.1 200"));
        CHECK(path == "/orders/hall 2");
    }
}

TEST_CASE("a request whose client has already left is recognized when it is handled")
{
    // Guards against an order that waited in a frozen process and takes effect after its caller has given up.
    EventLoop loop;
    HttpServer server(loop);
    REQUIRE_FALSE(server.listen(freePort()));
    std::vector<bool> left;
    server.route("POST", "/orders/", HttpAccess::Open, [&](const std::shared_ptr<HttpExchange>& exchange) {
        left.push_back(exchange->hasClientLeft());
        exchange->reply(HttpStatus::Ok, "");
    });
    const std::string head = "POST /orders/a HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
    exchangeBytes(loop, server, head);
    exchangeBytes(loop, server, head, true);
    CHECK(left == std::vector<bool> { false, true });
}

TEST_CASE("a call with a text that is no UTF-8 is refused before its handler")
{
    // Guards against a text of one caller that enters messages which no other host can parse.
    EventLoop loop;
    HttpServer server(loop);
    REQUIRE_FALSE(server.listen(freePort()));
    int calls = 0;
    server.route("PUT", "/orders/", HttpAccess::Open, [&](const std::shared_ptr<HttpExchange>& exchange) {
        ++calls;
        exchange->reply(HttpStatus::Ok, "");
    });
    const auto put = [&](const std::string& path, const std::string& body) {
        return exchangeBytes(loop, server,
            "PUT " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                + body);
    };
    CHECK(put("/orders/%C3%A9", "gr\xc3\xbc\xc3\x9f").starts_with("HTTP/1.1 200"));
    CHECK(calls == 1);
    for (const char* path : { "/orders/%FF", "/orders/%ED%B0%80", "/orders/a?by=%C3", "/orders/a?by=%FE%FF" })
        CHECK(put(path, "").starts_with("HTTP/1.1 400"));
    for (const char* body : { "\xff\xfe", "\xc3", "\xed\xb0\x80", "\xc0\x80", "\xf5\x80\x80\x80" })
        CHECK(put("/orders/a", body).starts_with("HTTP/1.1 400"));
    CHECK(calls == 1);
}
