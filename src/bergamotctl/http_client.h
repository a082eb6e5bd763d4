#pragma once

/// @file
/// Blocking HTTP client: one request at a time on its own event loop, with a deadline.

#include "bergamotroute/types.h"

#include <chrono>
#include <memory>
#include <string>
#include <system_error>

struct event_base;

namespace bergamotroute {

enum class HttpMethod {
    Get,
    Post,
    Delete,
};

/// One HTTP request.
struct HttpRequest {
    Endpoint endpoint;
    /// Path with query.
    std::string path;
    /// A request with a body is a POST, one without has the method below.
    std::string body;
    HttpMethod method = HttpMethod::Get;
    /// Bearer token; empty sends none.
    std::string token;
    std::chrono::milliseconds timeout { 2000 };
};

/// What came back.
struct HttpAnswer {
    /// HTTP status; 0 without an answer.
    int status = 0;
    std::string body;
    /// Header Bergamot-Lease; empty if absent.
    std::string lease;
    /// No byte of the request was sent, so it cannot have run.
    bool isNotSent = false;
    /// ConnectionLost or DeadlineExceeded without an answer.
    std::error_code error;
};

/// Client on its own event loop.
class HttpClient {
public:
    HttpClient();

    /// Sends one request and waits for its answer.
    HttpAnswer send(const HttpRequest& request);

private:
    struct BaseDeleter {
        void operator()(event_base* base) const;
    };
    std::unique_ptr<event_base, BaseDeleter> m_base;
};

}
