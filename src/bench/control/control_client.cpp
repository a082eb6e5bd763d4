#include "control/control_client.h"

#include "control/control_processes.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <memory>

namespace bergamotroute::bench {

namespace {

    constexpr int timeoutSeconds = 10;

    void onAnswer(evhttp_request* request, void* context)
    {
        const std::unique_ptr<ControlClient::Callback> callback(static_cast<ControlClient::Callback*>(context));
        if (!request) {
            (*callback)(0, {});
            return;
        }
        evbuffer* input = evhttp_request_get_input_buffer(request);
        std::string body(evbuffer_get_length(input), '\0');
        evbuffer_copyout(input, body.data(), body.size());
        (*callback)(evhttp_request_get_response_code(request), body);
    }

}

ControlClient::ControlClient(EventLoop& loop, std::uint16_t port)
    : m_connection(evhttp_connection_base_new(loop.base(), nullptr, "127.0.0.1", port))
{
    evhttp_connection_set_timeout(m_connection, timeoutSeconds);
}

ControlClient::~ControlClient() { evhttp_connection_free(m_connection); }

void ControlClient::send(const std::string& path, const std::string& body, Callback callback)
{
    evhttp_request* request = evhttp_request_new(onAnswer, new Callback(std::move(callback)));
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", "127.0.0.1");
    evhttp_add_header(headers, "Authorization", (std::string("Bearer ") + benchToken).c_str());
    evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
    evhttp_make_request(m_connection, request, body.empty() ? EVHTTP_REQ_GET : EVHTTP_REQ_POST, path.c_str());
}

std::string get(EventLoop& loop, std::uint16_t port, const std::string& path)
{
    std::string result;
    ControlClient client(loop, port);
    client.send(path, {}, [&](int status, const std::string& body) {
        if (status == 200)
            result = body;
        loop.stop();
    });
    loop.run();
    return result;
}

}
