#pragma once

/// @file
/// HTTP client on the event loop, for health checks, load reports and announcements.

#include "libbergamotio/event_loop.h"

#include <functional>
#include <string>

namespace bergamotroute {

/// Result of a request.
struct HttpAnswer {
    /// HTTP status, or zero if there was no whole answer within the time limit.
    int status = 0;
    std::string body;
};

using HttpAnswerHandler = std::function<void(const HttpAnswer&)>;

/// Makes one request on its own connection.
/// @param method "GET" or "POST".
/// @param url http URL with a numeric address.
/// @param body sent as JSON if not empty.
/// @param timeout limit for the whole request.
/// @param handler called exactly once, later on the loop.
void sendHttpRequest(EventLoop& loop, const std::string& method, const std::string& url, const std::string& body,
    Duration timeout, HttpAnswerHandler handler);

}
