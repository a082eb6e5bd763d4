#pragma once

/// @file
/// Small HTTP server of the stand-ins: every request goes to one handler.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

struct event_base;
struct evhttp;
struct evhttp_request;

namespace bergamotroute {

/// A request as the stand-ins see it.
struct ListenerRequest {
    bool isPost = false;
    std::string path;
    /// Query without the question mark, decoded values are taken with queryValue().
    std::string query;
    std::string authorization;
    std::string body;
    /// The request of evhttp, for answers that are given later.
    evhttp_request* raw = nullptr;
};

/// An answer.
struct ListenerAnswer {
    int status = 200;
    std::string body;
    std::string lease;
    /// The connection is closed without an answer.
    bool isLost = false;
    /// The handler keeps the request and answers it later with answerRequest().
    bool isLater = false;
};

/// HTTP server on an event loop.
class HttpListener {
public:
    using Handler = std::function<ListenerAnswer(const ListenerRequest&)>;

    /// @param base event loop that outlives the listener.
    /// @param endpoint "address:port"; port 0 takes a free one.
    HttpListener(event_base* base, const std::string& endpoint, Handler handler);

    /// @return the bound port; 0 if the address cannot be bound.
    std::uint16_t port() const { return m_port; }

private:
    static void onRequest(evhttp_request* request, void* context);
    struct Deleter {
        void operator()(evhttp* http) const;
    };
    std::unique_ptr<evhttp, Deleter> m_http;
    Handler m_handler;
    std::uint16_t m_port = 0;
};

/// Sends an answer.
void answerRequest(evhttp_request* request, const ListenerAnswer& answer);

/// @return the value of a key in a query; empty if it is absent.
std::string queryValue(const std::string& query, const std::string& key);

/// Writes a file with the bound ports under its final name only when it is complete.
/// @param path empty writes nothing.
bool writeReadyFile(const std::string& path, const std::string& content);

}
