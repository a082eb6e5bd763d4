#include "libbergamotio/http_client.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <memory>
#include <utility>

namespace bergamotroute {

namespace {

    struct UriDeleter {
        void operator()(evhttp_uri* uri) const { evhttp_uri_free(uri); }
    };

    /// A request under way. It ends at the answer, at a connection error or at the deadline, whichever comes first.
    class PendingRequest {
    public:
        PendingRequest(EventLoop& loop, HttpAnswerHandler handler)
            : m_handler(std::move(handler))
            , m_timer(loop, [this] { handleTimeout(); })
        {
        }

        ~PendingRequest()
        {
            if (m_connection != nullptr)
                evhttp_connection_free(m_connection);
        }

        PendingRequest(const PendingRequest&) = delete;
        PendingRequest& operator=(const PendingRequest&) = delete;

        void start(EventLoop& loop, const std::string& method, const std::string& url, const std::string& body,
            Duration timeout)
        {
            m_timer.start(timeout);
            const std::unique_ptr<evhttp_uri, UriDeleter> uri(evhttp_uri_parse(url.c_str()));
            const char* host = uri ? evhttp_uri_get_host(uri.get()) : nullptr;
            if (host == nullptr) {
                m_timer.start(Duration(0));
                return;
            }
            connect(loop, host, evhttp_uri_get_port(uri.get()));
            send(method, host, requestTarget(uri.get()), body);
        }

    private:
        static std::string requestTarget(const evhttp_uri* uri)
        {
            const char* path = evhttp_uri_get_path(uri);
            const char* query = evhttp_uri_get_query(uri);
            std::string target = path == nullptr || *path == '\0' ? "/" : path;
            return query == nullptr ? target : target + '?' + query;
        }

        void connect(EventLoop& loop, const char* host, int port)
        {
            constexpr int defaultPort = 80;
            const int actualPort = port < 0 ? defaultPort : port;
            m_connection = evhttp_connection_base_new(loop.base(), nullptr, host, static_cast<ev_uint16_t>(actualPort));
            evhttp_connection_set_retries(m_connection, 0);
        }

        void send(const std::string& method, const char* host, const std::string& target, const std::string& body)
        {
            evhttp_request* request = evhttp_request_new(handleAnswer, this);
            evkeyvalq* headers = evhttp_request_get_output_headers(request);
            evhttp_add_header(headers, "Host", host);
            evhttp_add_header(headers, "Connection", "close");
            if (!body.empty()) {
                evhttp_add_header(headers, "Content-Type", "application/json");
                evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
            }
            const auto command = method == "POST" ? EVHTTP_REQ_POST : EVHTTP_REQ_GET;
            if (evhttp_make_request(m_connection, request, command, target.c_str()) != 0)
                m_timer.start(Duration(0));
        }

        static void handleAnswer(evhttp_request* request, void* argument)
        {
            auto* self = static_cast<PendingRequest*>(argument);
            if (request != nullptr && evhttp_request_get_response_code(request) != 0) {
                self->m_answer.status = evhttp_request_get_response_code(request);
                evbuffer* input = evhttp_request_get_input_buffer(request);
                self->m_answer.body.resize(evbuffer_get_length(input));
                evbuffer_copyout(input, self->m_answer.body.data(), self->m_answer.body.size());
            }
            self->m_answered = true;
            // The connection is freed from the timer, because libevent still uses it after this callback.
            self->m_timer.start(Duration(0));
        }

        void handleTimeout()
        {
            const std::unique_ptr<PendingRequest> self(this);
            if (!m_answered)
                m_answer = {};
            m_answered = true;
            m_handler(m_answer);
        }

        HttpAnswerHandler m_handler;
        Timer m_timer;
        HttpAnswer m_answer;
        bool m_answered = false;
        evhttp_connection* m_connection = nullptr;
    };

}

void sendHttpRequest(EventLoop& loop, const std::string& method, const std::string& url, const std::string& body,
    Duration timeout, HttpAnswerHandler handler)
{
    // The request owns itself and ends itself from its timer, which always runs.
    auto* request = new PendingRequest(loop, std::move(handler));
    request->start(loop, method, url, body, timeout);
}

}
