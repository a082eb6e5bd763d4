#include "standins/common/http_listener.h"

#include "bergamotroute/types.h"

#include <cstdio>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <fstream>
#include <netinet/in.h>
#include <sys/socket.h>

namespace bergamotroute {

namespace {

    std::uint16_t boundPort(evhttp_bound_socket* bound)
    {
        sockaddr_storage address {};
        socklen_t length = sizeof address;
        if (getsockname(evhttp_bound_socket_get_fd(bound), reinterpret_cast<sockaddr*>(&address), &length) != 0)
            return 0;
        // The port has the same place in IPv4 and IPv6 socket addresses.
        return ntohs(reinterpret_cast<const sockaddr_in&>(address).sin_port);
    }

    ListenerRequest readRequest(evhttp_request* request)
    {
        ListenerRequest result;
        result.raw = request;
        result.isPost = evhttp_request_get_command(request) == EVHTTP_REQ_POST;
        const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request);
        const char* path = evhttp_uri_get_path(uri);
        const char* query = evhttp_uri_get_query(uri);
        const char* authorization = evhttp_find_header(evhttp_request_get_input_headers(request), "Authorization");
        result.path = path == nullptr ? "" : path;
        result.query = query == nullptr ? "" : query;
        result.authorization = authorization == nullptr ? "" : authorization;
        evbuffer* input = evhttp_request_get_input_buffer(request);
        result.body.resize(evbuffer_get_length(input));
        evbuffer_copyout(input, result.body.data(), result.body.size());
        return result;
    }

}

HttpListener::HttpListener(event_base* base, const std::string& endpoint, Handler handler)
    : m_http(evhttp_new(base))
    , m_handler(std::move(handler))
{
    std::error_code error;
    const Endpoint parsed = Endpoint::parse(endpoint, error);
    if (error)
        return;
    evhttp_bound_socket* bound
        = evhttp_bind_socket_with_handle(m_http.get(), parsed.address.toString().c_str(), parsed.port);
    if (bound == nullptr)
        return;
    m_port = boundPort(bound);
    evhttp_set_gencb(m_http.get(), onRequest, this);
}

void HttpListener::Deleter::operator()(evhttp* http) const { evhttp_free(http); }

void HttpListener::onRequest(evhttp_request* request, void* context)
{
    const ListenerAnswer answer = static_cast<HttpListener*>(context)->m_handler(readRequest(request));
    if (!answer.isLater)
        answerRequest(request, answer);
}

void answerRequest(evhttp_request* request, const ListenerAnswer& answer)
{
    if (answer.isLost) {
        // evhttp frees connection and request when it sees the end of the stream.
        bufferevent* stream = evhttp_connection_get_bufferevent(evhttp_request_get_connection(request));
        ::shutdown(bufferevent_getfd(stream), SHUT_RDWR);
        return;
    }
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Content-Type", "application/json");
    if (!answer.lease.empty())
        evhttp_add_header(headers, "Bergamot-Lease", answer.lease.c_str());
    evbuffer* body = evbuffer_new();
    evbuffer_add(body, answer.body.data(), answer.body.size());
    evhttp_send_reply(request, answer.status, nullptr, body);
    evbuffer_free(body);
}

std::string queryValue(const std::string& query, const std::string& key)
{
    evkeyvalq values {};
    if (evhttp_parse_query_str(query.c_str(), &values) != 0)
        return {};
    const char* value = evhttp_find_header(&values, key.c_str());
    std::string result = value == nullptr ? "" : value;
    evhttp_clear_headers(&values);
    return result;
}

bool writeReadyFile(const std::string& path, const std::string& content)
{
    if (path.empty())
        return true;
    const std::string unfinished = path + ".new";
    {
        std::ofstream file(unfinished);
        file << content;
        if (!file.flush())
            return false;
    }
    return std::rename(unfinished.c_str(), path.c_str()) == 0;
}

}
