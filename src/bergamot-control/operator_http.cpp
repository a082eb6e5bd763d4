#include "operator_http.h"

#include "bergamotroute/result_code.h"
#include "libbergamotio/durable_file.h"
#include "libbergamotio/log.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

namespace bergamotroute {

namespace {

    constexpr int statusBadRequest = 400;
    constexpr int statusUnauthorized = 401;
    constexpr int statusNotFound = 404;
    constexpr int maxBodyBytes = 1024 * 1024;
    constexpr int maxHeaderBytes = 16 * 1024;
    /// Longer than the longest wait of /v1/watch.
    constexpr int idleSeconds = 60;

    std::string methodName(evhttp_request* request)
    {
        return evhttp_request_get_command(request) == EVHTTP_REQ_POST ? "POST" : "GET";
    }

    std::string pathOf(evhttp_request* request)
    {
        const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request);
        const char* path = uri ? evhttp_uri_get_path(uri) : nullptr;
        return path ? path : "";
    }

    /// Compares without an early end, so that the time tells nothing of the token.
    bool equalSecrets(std::string_view left, std::string_view right)
    {
        unsigned difference = left.size() == right.size() ? 0 : 1;
        for (std::size_t i = 0; i < left.size() && i < right.size(); ++i)
            difference |= static_cast<unsigned char>(left[i]) ^ static_cast<unsigned char>(right[i]);
        return difference == 0;
    }

    std::string errorBody(ResultCode code)
    {
        const std::string text = make_error_code(code).message();
        return "{\"code\":" + std::to_string(static_cast<int>(code)) + ",\"message\":\"" + text + "\"}\n";
    }

}

/// Entry points that libevent calls.
struct OperatorHttpCallbacks {
    static void onRequest(evhttp_request* request, void* context)
    {
        static_cast<OperatorHttp*>(context)->dispatch(request);
    }
};

std::string HttpExchange::body() const
{
    evbuffer* buffer = evhttp_request_get_input_buffer(m_request);
    std::string text(evbuffer_get_length(buffer), '\0');
    evbuffer_copyout(buffer, text.data(), text.size());
    return text;
}

std::string HttpExchange::query(const std::string& name) const
{
    const evhttp_uri* uri = evhttp_request_get_evhttp_uri(m_request);
    const char* text = uri ? evhttp_uri_get_query(uri) : nullptr;
    if (!text)
        return {};
    evkeyvalq parameters {};
    if (evhttp_parse_query_str(text, &parameters) != 0)
        return {};
    const char* value = evhttp_find_header(&parameters, name.c_str());
    std::string result = value ? value : "";
    evhttp_clear_headers(&parameters);
    return result;
}

std::string HttpExchange::peer() const
{
    char* address = nullptr;
    std::uint16_t port = 0;
    evhttp_connection* connection = evhttp_request_get_connection(m_request);
    if (!connection)
        return "gone";
    evhttp_connection_get_peer(connection, &address, &port);
    return std::string(address ? address : "") + ':' + std::to_string(port);
}

void HttpExchange::setHeader(const std::string& name, const std::string& value) const
{
    evhttp_add_header(evhttp_request_get_output_headers(m_request), name.c_str(), value.c_str());
}

void HttpExchange::reply(int status, const std::string& body, const std::string& contentType) const
{
    setHeader("Content-Type", contentType);
    evbuffer* buffer = evbuffer_new();
    evbuffer_add(buffer, body.data(), body.size());
    evhttp_send_reply(m_request, status, nullptr, buffer);
    evbuffer_free(buffer);
}

OperatorHttp::OperatorHttp(EventLoop& loop, std::string token)
    : m_http(evhttp_new(loop.base()), evhttp_free)
    , m_token(std::move(token))
{
    evhttp_set_allowed_methods(m_http.get(), EVHTTP_REQ_GET | EVHTTP_REQ_POST);
    evhttp_set_max_body_size(m_http.get(), maxBodyBytes);
    evhttp_set_max_headers_size(m_http.get(), maxHeaderBytes);
    evhttp_set_timeout(m_http.get(), idleSeconds);
    evhttp_set_gencb(m_http.get(), OperatorHttpCallbacks::onRequest, this);
}

OperatorHttp::~OperatorHttp() = default;

std::error_code OperatorHttp::listen(const Endpoint& endpoint)
{
    if (evhttp_bind_socket(m_http.get(), endpoint.address.toString().c_str(), endpoint.port) != 0)
        return ResultCode::AddressUnavailable;
    return {};
}

void OperatorHttp::route(const std::string& method, const std::string& path, bool isPublic, HttpHandler handler)
{
    m_routes[method + ' ' + path] = { std::move(handler), isPublic };
}

bool OperatorHttp::isAuthorized(evhttp_request* request) const
{
    constexpr std::string_view prefix = "Bearer ";
    const char* header = evhttp_find_header(evhttp_request_get_input_headers(request), "Authorization");
    const std::string_view text = header ? header : "";
    return !m_token.empty() && text.starts_with(prefix) && equalSecrets(text.substr(prefix.size()), m_token);
}

void OperatorHttp::dispatch(evhttp_request* request)
{
    const HttpExchange exchange(request);
    const std::string path = pathOf(request);
    const auto found = m_routes.find(methodName(request) + ' ' + path);
    const bool isPublic = found != m_routes.end() && found->second.isPublic;
    if (!isPublic && !isAuthorized(request)) {
        ++m_unauthorized;
        writeLog(LogLevel::Warning, ResultCode::Unauthorized, "request refused",
            { { "peer", exchange.peer() }, { "path", path } });
        exchange.reply(statusUnauthorized, errorBody(ResultCode::Unauthorized));
        return;
    }
    if (found == m_routes.end())
        exchange.reply(path.empty() ? statusBadRequest : statusNotFound, errorBody(ResultCode::HttpNotFound));
    else
        found->second.handler(exchange);
}

std::error_code readToken(const std::string& path, std::string& token)
{
    token.clear();
    if (path.empty())
        return {};
    bool exists = false;
    if (readFile(path, token, exists) || !exists)
        return ResultCode::SettingsUnreadable;
    constexpr const char* blanks = " \t\r\n";
    token.erase(token.find_last_not_of(blanks) + 1);
    token.erase(0, token.find_first_not_of(blanks));
    return {};
}

}
