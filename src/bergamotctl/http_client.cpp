#include "bergamotctl/http_client.h"

#include "bergamotroute/result_code.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>

namespace bergamotroute {

namespace {

    struct Exchange {
        event_base* base = nullptr;
        HttpAnswer answer;
        bool isDone = false;
        bool hasFailed = false;
        /// At least one byte of the request has been handed to the network.
        bool hasSent = false;
    };

    void onDeadline(evutil_socket_t, short, void* base) { event_base_loopbreak(static_cast<event_base*>(base)); }

    void onError(evhttp_request_error, void* context) { static_cast<Exchange*>(context)->hasFailed = true; }

    void onOutputChanged(evbuffer*, const evbuffer_cb_info* change, void* context)
    {
        static_cast<Exchange*>(context)->hasSent |= change->n_deleted > 0;
    }

    void readAnswer(evhttp_request& request, HttpAnswer& answer)
    {
        answer.status = evhttp_request_get_response_code(&request);
        evbuffer* input = evhttp_request_get_input_buffer(&request);
        const std::size_t size = evbuffer_get_length(input);
        answer.body.resize(size);
        evbuffer_copyout(input, answer.body.data(), size);
        const char* lease = evhttp_find_header(evhttp_request_get_input_headers(&request), "Bergamot-Lease");
        if (lease != nullptr)
            answer.lease = lease;
    }

    void onDone(evhttp_request* request, void* context)
    {
        auto& exchange = *static_cast<Exchange*>(context);
        exchange.isDone = true;
        if (request != nullptr && evhttp_request_get_response_code(request) != 0) {
            readAnswer(*request, exchange.answer);
        } else {
            exchange.answer.error = ResultCode::ConnectionLost;
            // evhttp reports a failed connect with a request without status and without a call of the error handler.
            exchange.answer.isNotSent = request != nullptr && !exchange.hasFailed;
        }
        event_base_loopbreak(exchange.base);
    }

    evhttp_cmd_type commandOf(const HttpRequest& request)
    {
        if (!request.body.empty() || request.method == HttpMethod::Post)
            return EVHTTP_REQ_POST;
        return request.method == HttpMethod::Delete ? EVHTTP_REQ_DELETE : EVHTTP_REQ_GET;
    }

    evhttp_request* makeRequest(const HttpRequest& request, Exchange& exchange)
    {
        evhttp_request* made = evhttp_request_new(onDone, &exchange);
        evhttp_request_set_error_cb(made, onError);
        evkeyvalq* headers = evhttp_request_get_output_headers(made);
        evhttp_add_header(headers, "Host", request.endpoint.toString().c_str());
        evhttp_add_header(headers, "Connection", "close");
        if (!request.token.empty())
            evhttp_add_header(headers, "Authorization", ("Bearer " + request.token).c_str());
        if (!request.body.empty()) {
            evhttp_add_header(headers, "Content-Type", "application/json");
            evbuffer_add(evhttp_request_get_output_buffer(made), request.body.data(), request.body.size());
        }
        return made;
    }

}

HttpClient::HttpClient()
    : m_base(event_base_new())
{
}

void HttpClient::BaseDeleter::operator()(event_base* base) const { event_base_free(base); }

HttpAnswer HttpClient::send(const HttpRequest& request)
{
    Exchange exchange;
    exchange.base = m_base.get();
    const std::string address = request.endpoint.address.toString();
    evhttp_connection* connection
        = evhttp_connection_base_new(m_base.get(), nullptr, address.c_str(), request.endpoint.port);
    bufferevent* stream = evhttp_connection_get_bufferevent(connection);
    evbuffer_add_cb(bufferevent_get_output(stream), onOutputChanged, &exchange);
    evhttp_request* made = makeRequest(request, exchange);
    if (evhttp_make_request(connection, made, commandOf(request), request.path.c_str()) != 0) {
        exchange.isDone = true;
        exchange.answer.error = ResultCode::ConnectionLost;
        exchange.answer.isNotSent = true;
    }
    const auto microseconds = std::chrono::duration_cast<std::chrono::microseconds>(request.timeout).count();
    const timeval limit { microseconds / 1'000'000, microseconds % 1'000'000 };
    event* timer = event_new(m_base.get(), -1, 0, onDeadline, m_base.get());
    event_add(timer, &limit);
    if (!exchange.isDone)
        event_base_dispatch(m_base.get());
    event_free(timer);
    if (!exchange.isDone) {
        exchange.answer.isNotSent = !exchange.hasSent;
        evhttp_cancel_request(made);
        exchange.answer.error = ResultCode::DeadlineExceeded;
    }
    evhttp_connection_free(connection);
    return exchange.answer;
}

}
