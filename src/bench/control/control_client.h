#pragma once

/// @file
/// HTTP clients of the control benchmark on one event loop.

#include "libbergamotio/event_loop.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

struct evhttp_connection;

namespace bergamotroute::bench {

/// One kept-open connection to the operators' interface.
class ControlClient {
public:
    using Callback = std::function<void(int status, const std::string& body)>;

    ControlClient(EventLoop& loop, std::uint16_t port);
    ~ControlClient();
    ControlClient(const ControlClient&) = delete;
    ControlClient& operator=(const ControlClient&) = delete;

    /// Sends a request; an empty body sends a GET.
    /// @param callback status 0 if there is no answer.
    void send(const std::string& path, const std::string& body, Callback callback);

private:
    evhttp_connection* m_connection;
};

/// Sends a GET and waits for the answer.
/// @return the body, or an empty text unless the status is 200.
std::string get(EventLoop& loop, std::uint16_t port, const std::string& path);

}
