#pragma once

/// @file
/// HTTP server on the event loop: routes, JSON answers, bearer token, answers that come later or in parts.

#include "bergamotroute/result_code.h"
#include "bergamotroute/types.h"
#include "libbergamotio/event_loop.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

struct evhttp;
struct evhttp_connection;
struct evhttp_request;

namespace google::protobuf {
class Message;
}

namespace bergamotroute {

/// Status codes that the project's programs answer with (RFC 9110).
enum class HttpStatus {
    Ok = 200,
    Accepted = 202,
    TemporaryRedirect = 307,
    BadRequest = 400,
    Unauthorized = 401,
    Forbidden = 403,
    NotFound = 404,
    MethodNotAllowed = 405,
    Conflict = 409,
    ServiceUnavailable = 503,
    GatewayTimeout = 504,
};

/// One request and its answer. It may be kept and answered later; an answer to a client that has gone is discarded.
class HttpExchange {
public:
    explicit HttpExchange(evhttp_request* request);
    ~HttpExchange();
    HttpExchange(const HttpExchange&) = delete;
    HttpExchange& operator=(const HttpExchange&) = delete;

    const std::string& method() const { return m_method; }
    const std::string& path() const { return m_path; }
    /// @return the path with its percent-encoded characters decoded (RFC 3986).
    std::string decodedPath() const;
    const std::string& body() const { return m_body; }
    const IpAddress& source() const { return m_source; }

    /// @return value of a query parameter, or empty.
    std::string query(const std::string& name) const;

    /// @return value of a request header, or empty.
    std::string header(const std::string& name) const;

    /// @return whether the decoded path, the query and the body are UTF-8.
    bool hasReadableText() const;

    /// @return true once the client has closed the connection.
    bool isClosed() const { return m_request == nullptr; }

    /// Checks whether the client has already closed its side of the connection. Unlike isClosed() it does not depend on
    /// the event loop, which handles the request before the end of the connection when both wait to be read.
    bool hasClientLeft() const;

    /// Calls the handler when the client closes before the end of the answer.
    void onClosed(std::function<void()> handler) { m_closed = std::move(handler); }

    /// Adds a header to the answer.
    void addHeader(const std::string& name, const std::string& value);

    /// Sends a whole answer; later calls have no effect.
    void reply(HttpStatus status, std::string_view body, std::string_view contentType = "text/plain");

    /// Sends a message as JSON.
    void replyJson(HttpStatus status, const google::protobuf::Message& message);

    /// Sends {"code": ..., "message": ...}.
    void replyError(HttpStatus status, ResultCode code, std::string_view message);

    /// Begins an answer in parts (chunked transfer).
    void beginParts(HttpStatus status);
    void sendPart(std::string_view part);
    void endParts();

private:
    static void handleClose(evhttp_connection* connection, void* exchange);
    void release();

    evhttp_request* m_request;
    std::string m_method;
    std::string m_path;
    std::string m_body;
    IpAddress m_source;
    std::map<std::string, std::string> m_query;
    std::function<void()> m_closed;
};

using HttpHandler = std::function<void(const std::shared_ptr<HttpExchange>&)>;

/// Who may call a route.
enum class HttpAccess {
    Open,
    /// The request must carry the server's bearer token.
    Token,
};

/// An evhttp server.
class HttpServer {
public:
    explicit HttpServer(EventLoop& loop);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// Listens; port zero takes a free one.
    /// @return ResultCode::AddressUnavailable if the address cannot be bound.
    std::error_code listen(const Endpoint& local);

    /// @return the bound address.
    Endpoint local() const { return m_local; }

    /// Sets the bearer token. Without a token every route with HttpAccess::Token answers 401.
    void setToken(std::string token) { m_token = std::move(token); }

    /// Adds a route for a method ("GET", "POST", "PUT", "DELETE") and a path. A path that ends with a slash matches
    /// every path that it begins and that has no route of its own.
    void route(const std::string& method, const std::string& path, HttpAccess access, HttpHandler handler);

private:
    struct Route {
        HttpAccess access;
        HttpHandler handler;
    };

    static void handleRequest(evhttp_request* request, void* server);
    void dispatch(const std::shared_ptr<HttpExchange>& exchange);
    const std::map<std::string, Route>* findPath(const std::string& path) const;
    bool isAuthorized(const HttpExchange& exchange) const;

    struct HttpDeleter {
        void operator()(evhttp* http) const;
    };

    std::unique_ptr<evhttp, HttpDeleter> m_http;
    Endpoint m_local;
    std::string m_token;
    std::map<std::string, std::map<std::string, Route>> m_routes;
};

/// Reads a bearer token: the first line of a file.
/// @param[out] error ResultCode::SettingsUnreadable if the file cannot be read or is empty.
std::string readToken(const std::string& file, std::error_code& error);

}
