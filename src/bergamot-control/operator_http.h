#pragma once

/// @file
/// Operators' HTTP interface: listener, bearer token and routes.

#include "libbergamotio/event_loop.h"

#include "bergamotroute/types.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <system_error>

struct evhttp;
struct evhttp_request;

namespace bergamotroute {

/// One request. It must be answered exactly once; the answer to a caller that has gone is dropped.
class HttpExchange {
public:
    explicit HttpExchange(evhttp_request* request)
        : m_request(request)
    {
    }

    std::string body() const;

    /// @return the value of a query parameter, or an empty text.
    std::string query(const std::string& name) const;

    /// @return address of the caller.
    std::string peer() const;

    void setHeader(const std::string& name, const std::string& value) const;
    void reply(int status, const std::string& body, const std::string& contentType = "application/json") const;

private:
    friend class OperatorHttp;
    evhttp_request* m_request;
};

using HttpHandler = std::function<void(const HttpExchange& exchange)>;

/// Listens for operators.
class OperatorHttp {
public:
    /// @param token bearer token; empty refuses all paths that need one.
    OperatorHttp(EventLoop& loop, std::string token);
    ~OperatorHttp();
    OperatorHttp(const OperatorHttp&) = delete;
    OperatorHttp& operator=(const OperatorHttp&) = delete;

    /// @return ResultCode::AddressUnavailable if the address cannot be bound.
    std::error_code listen(const Endpoint& endpoint);

    /// Adds a route.
    /// @param isPublic the route needs no token.
    void route(const std::string& method, const std::string& path, bool isPublic, HttpHandler handler);

    std::uint64_t unauthorizedRequests() const { return m_unauthorized; }

private:
    friend struct OperatorHttpCallbacks;

    struct Route {
        HttpHandler handler;
        bool isPublic = false;
    };

    void dispatch(evhttp_request* request);
    bool isAuthorized(evhttp_request* request) const;

    std::unique_ptr<evhttp, void (*)(evhttp*)> m_http;
    std::string m_token;
    std::map<std::string, Route> m_routes;
    std::uint64_t m_unauthorized = 0;
};

/// Reads a token file; white space at both ends is dropped.
/// @param path empty gives an empty token.
std::error_code readToken(const std::string& path, std::string& token);

}
