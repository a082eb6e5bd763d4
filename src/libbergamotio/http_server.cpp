#include "libbergamotio/http_server.h"

#include "bergamotroute/result_code.h"
#include "bergamotroute/utf8.h"
#include "libbergamotio/json_schema.h"
#include "libbergamotio/log.h"
#include "libbergamotio/socket_address.h"

#include <algorithm>
#include <cstdlib>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <fstream>
#include <json/json.h>
#include <sys/socket.h>

namespace bergamotroute {

namespace {

    constexpr std::size_t largestBody = 4 * 1024 * 1024;
    constexpr std::size_t largestHeaders = 64 * 1024;
    /// Time after which a connection without a request is closed, so that silent ones do not use up descriptors.
    constexpr int idleSeconds = 30;

    std::string methodName(evhttp_request* request)
    {
        switch (evhttp_request_get_command(request)) {
        case EVHTTP_REQ_GET:
            return "GET";
        case EVHTTP_REQ_POST:
            return "POST";
        case EVHTTP_REQ_HEAD:
            return "HEAD";
        case EVHTTP_REQ_PUT:
            return "PUT";
        case EVHTTP_REQ_DELETE:
            return "DELETE";
        default:
            return "OTHER";
        }
    }

    std::string readBody(evhttp_request* request)
    {
        evbuffer* input = evhttp_request_get_input_buffer(request);
        std::string body(evbuffer_get_length(input), '\0');
        evbuffer_copyout(input, body.data(), body.size());
        return body;
    }

    IpAddress peerAddress(evhttp_request* request)
    {
        char* address = nullptr;
        ev_uint16_t port = 0;
        evhttp_connection_get_peer(evhttp_request_get_connection(request), &address, &port);
        std::error_code error;
        return address == nullptr ? IpAddress {} : IpAddress::parse(address, error);
    }

    std::map<std::string, std::string> readQuery(evhttp_request* request)
    {
        std::map<std::string, std::string> result;
        const char* text = evhttp_uri_get_query(evhttp_request_get_evhttp_uri(request));
        evkeyvalq values {};
        if (text == nullptr || evhttp_parse_query_str(text, &values) != 0)
            return result;
        for (const evkeyval* value = values.tqh_first; value != nullptr; value = value->next.tqe_next)
            result[value->key] = value->value;
        evhttp_clear_headers(&values);
        return result;
    }

    /// Compares in constant time, so the answer time does not tell how many characters of a token are right.
    bool equalTokens(std::string_view a, std::string_view b)
    {
        unsigned difference = a.size() == b.size() ? 0 : 1;
        for (std::size_t i = 0; i < a.size() && i < b.size(); ++i)
            difference |= static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i]);
        return difference == 0;
    }

}

HttpExchange::HttpExchange(evhttp_request* request)
    : m_request(request)
    , m_method(methodName(request))
    , m_body(readBody(request))
    , m_source(peerAddress(request))
    , m_query(readQuery(request))
{
    const char* path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));
    m_path = path == nullptr ? "" : path;
    evhttp_connection* connection = evhttp_request_get_connection(request);
    evhttp_connection_set_closecb(connection, handleClose, this);
    // evhttp stops reading while a request waits for its answer, and would not see that the client closes.
    bufferevent_enable(evhttp_connection_get_bufferevent(connection), EV_READ);
}

HttpExchange::~HttpExchange()
{
    if (m_request != nullptr)
        replyError(HttpStatus::ServiceUnavailable, ResultCode::NotReady, "the request was dropped");
}

std::string HttpExchange::query(const std::string& name) const
{
    const auto found = m_query.find(name);
    return found == m_query.end() ? "" : found->second;
}

std::string HttpExchange::header(const std::string& name) const
{
    if (m_request == nullptr)
        return "";
    const char* value = evhttp_find_header(evhttp_request_get_input_headers(m_request), name.c_str());
    return value == nullptr ? "" : value;
}

std::string HttpExchange::decodedPath() const
{
    std::size_t length = 0;
    const std::unique_ptr<char, decltype(&std::free)> decoded(evhttp_uridecode(m_path.c_str(), 0, &length), &std::free);
    return decoded ? std::string(decoded.get(), length) : m_path;
}

bool HttpExchange::hasReadableText() const
{
    const bool isQueryReadable = std::all_of(m_query.begin(), m_query.end(),
        [](const auto& parameter) { return isUtf8(parameter.first) && isUtf8(parameter.second); });
    return isQueryReadable && isUtf8(decodedPath()) && isUtf8(m_body);
}

bool HttpExchange::hasClientLeft() const
{
    if (m_request == nullptr)
        return true;
    evhttp_connection* connection = evhttp_request_get_connection(m_request);
    const evutil_socket_t socket = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
    char byte = 0;
    return recv(socket, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) == 0;
}

void HttpExchange::handleClose(evhttp_connection*, void* exchange)
{
    auto* self = static_cast<HttpExchange*>(exchange);
    // A request whose client closed before the answer is already taken off its connection, and evhttp leaves it to us.
    // A request that is still on a connection is freed with it.
    if (evhttp_request_get_connection(self->m_request) == nullptr)
        evhttp_request_free(self->m_request);
    self->m_request = nullptr;
    if (self->m_closed)
        self->m_closed();
}

void HttpExchange::release()
{
    evhttp_connection* connection = evhttp_request_get_connection(m_request);
    if (connection != nullptr)
        evhttp_connection_set_closecb(connection, nullptr, nullptr);
    m_request = nullptr;
}

void HttpExchange::addHeader(const std::string& name, const std::string& value)
{
    if (m_request != nullptr)
        evhttp_add_header(evhttp_request_get_output_headers(m_request), name.c_str(), value.c_str());
}

void HttpExchange::reply(HttpStatus status, std::string_view body, std::string_view contentType)
{
    if (m_request == nullptr)
        return;
    addHeader("Content-Type", std::string(contentType));
    evhttp_request* request = m_request;
    evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
    release();
    evhttp_send_reply(request, static_cast<int>(status), nullptr, nullptr);
}

void HttpExchange::replyJson(HttpStatus status, const google::protobuf::Message& message)
{
    reply(status, toJson(message, false) + '\n', "application/json");
}

void HttpExchange::replyError(HttpStatus status, ResultCode code, std::string_view message)
{
    Json::Value answer(Json::objectValue);
    answer["code"] = static_cast<int>(code);
    answer["message"] = std::string(message);
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    reply(status, Json::writeString(writer, answer) + '\n', "application/json");
}

void HttpExchange::beginParts(HttpStatus status)
{
    if (m_request != nullptr)
        evhttp_send_reply_start(m_request, static_cast<int>(status), nullptr);
}

void HttpExchange::sendPart(std::string_view part)
{
    if (m_request == nullptr)
        return;
    evbuffer* buffer = evbuffer_new();
    evbuffer_add(buffer, part.data(), part.size());
    evhttp_send_reply_chunk(m_request, buffer);
    evbuffer_free(buffer);
}

void HttpExchange::endParts()
{
    if (m_request == nullptr)
        return;
    evhttp_request* request = m_request;
    release();
    evhttp_send_reply_end(request);
}

void HttpServer::HttpDeleter::operator()(evhttp* http) const { evhttp_free(http); }

HttpServer::HttpServer(EventLoop& loop)
    : m_http(evhttp_new(loop.base()))
{
    evhttp_set_max_body_size(m_http.get(), largestBody);
    evhttp_set_max_headers_size(m_http.get(), largestHeaders);
    evhttp_set_timeout(m_http.get(), idleSeconds);
    evhttp_set_gencb(m_http.get(), handleRequest, this);
}

HttpServer::~HttpServer() = default;

std::error_code HttpServer::listen(const Endpoint& local)
{
    evhttp_bound_socket* bound
        = evhttp_bind_socket_with_handle(m_http.get(), local.address.toString().c_str(), local.port);
    if (bound == nullptr)
        return ResultCode::AddressUnavailable;
    m_local = localEndpoint(evhttp_bound_socket_get_fd(bound));
    return {};
}

void HttpServer::route(const std::string& method, const std::string& path, HttpAccess access, HttpHandler handler)
{
    m_routes[path][method] = { access, std::move(handler) };
}

void HttpServer::handleRequest(evhttp_request* request, void* server)
{
    static_cast<HttpServer*>(server)->dispatch(std::make_shared<HttpExchange>(request));
}

const std::map<std::string, HttpServer::Route>* HttpServer::findPath(const std::string& path) const
{
    if (const auto exact = m_routes.find(path); exact != m_routes.end())
        return &exact->second;
    const auto prefix = m_routes.find(path.substr(0, path.rfind('/') + 1));
    return prefix != m_routes.end() && prefix->first.size() > 1 ? &prefix->second : nullptr;
}

void HttpServer::dispatch(const std::shared_ptr<HttpExchange>& exchange)
{
    const std::map<std::string, Route>* path = findPath(exchange->path());
    if (path == nullptr) {
        exchange->replyError(HttpStatus::NotFound, ResultCode::HttpNotFound, "no such path");
        return;
    }
    const auto route = path->find(exchange->method());
    if (route == path->end()) {
        exchange->replyError(HttpStatus::MethodNotAllowed, ResultCode::HttpBadRequest, "method not allowed");
        return;
    }
    if (route->second.access == HttpAccess::Token && !isAuthorized(*exchange)) {
        writeLog(LogLevel::Warning, ResultCode::Unauthorized, "request without the right token",
            { { "source", exchange->source().toString() }, { "path", exchange->path() } });
        exchange->addHeader("WWW-Authenticate", "Bearer");
        exchange->replyError(HttpStatus::Unauthorized, ResultCode::Unauthorized, "wrong or missing bearer token");
        return;
    }
    if (!exchange->hasReadableText()) {
        writeLog(LogLevel::Warning, ResultCode::HttpBadRequest, "refused a request that is not valid UTF-8",
            { { "source", exchange->source().toString() }, { "method", exchange->method() },
                { "path", exchange->path() } });
        exchange->replyError(HttpStatus::BadRequest, ResultCode::HttpBadRequest, "the request is not valid UTF-8");
        return;
    }
    route->second.handler(exchange);
}

bool HttpServer::isAuthorized(const HttpExchange& exchange) const
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string value = exchange.header("Authorization");
    return !m_token.empty() && value.starts_with(scheme)
        && equalTokens(std::string_view(value).substr(scheme.size()), m_token);
}

std::string readToken(const std::string& file, std::error_code& error)
{
    error.clear();
    std::ifstream input(file);
    std::string token;
    if (!std::getline(input, token) || token.empty())
        error = ResultCode::SettingsUnreadable;
    return token;
}

}
