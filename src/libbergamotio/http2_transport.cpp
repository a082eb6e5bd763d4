#include "libbergamotio/http2_transport.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nghttp2/nghttp2.h>

using bergamotroute::Http2Transport;

/// Entry points that the C libraries call.
struct Http2Callbacks {
    static Http2Transport& self(void* context) { return *static_cast<Http2Transport*>(context); }

    static void onRead(bufferevent*, void* context) { self(context).receive(); }

    static void onEvent(bufferevent*, short what, void* context)
    {
        if (what & BEV_EVENT_CONNECTED) {
            self(context).disableDelay();
            self(context).m_events.connected();
        } else if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) {
            self(context).end();
        }
    }

    static int onHeader(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name, std::size_t nameLength,
        const std::uint8_t* value, std::size_t valueLength, std::uint8_t, void* context)
    {
        self(context).m_events.headerReceived(frame->hd.stream_id, { reinterpret_cast<const char*>(name), nameLength },
            { reinterpret_cast<const char*>(value), valueLength });
        return 0;
    }

    static int onData(nghttp2_session*, std::uint8_t, std::int32_t stream, const std::uint8_t* data, std::size_t length,
        void* context)
    {
        self(context).m_events.dataReceived(stream, { reinterpret_cast<const char*>(data), length });
        return 0;
    }

    static int onFrame(nghttp2_session*, const nghttp2_frame* frame, void* context)
    {
        const bool isPingAnswer = frame->hd.type == NGHTTP2_PING && (frame->hd.flags & NGHTTP2_FLAG_ACK);
        const bool carriesMessage = frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
        if (isPingAnswer)
            self(context).m_events.pingAcknowledged();
        if (carriesMessage && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM))
            self(context).m_events.messageEnded(frame->hd.stream_id);
        return 0;
    }

    static int onClose(nghttp2_session*, std::int32_t stream, std::uint32_t, void* context)
    {
        self(context).m_bodies.erase(stream);
        self(context).m_events.streamClosed(stream);
        return 0;
    }

    static ssize_t readBody(nghttp2_session*, std::int32_t stream, std::uint8_t* buffer, std::size_t length,
        std::uint32_t* flags, nghttp2_data_source*, void* context)
    {
        Http2Transport::Body& body = self(context).m_bodies[stream];
        const std::size_t count = std::min(length, body.bytes.size() - body.sent);
        std::copy_n(body.bytes.begin() + static_cast<std::ptrdiff_t>(body.sent), count, buffer);
        body.sent += count;
        if (body.sent == body.bytes.size())
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        return static_cast<ssize_t>(count);
    }
};

namespace bergamotroute {

namespace {

    constexpr std::uint32_t maxStreams = 1000;
    /// A snapshot of the largest configuration must not wait for window updates.
    constexpr std::int32_t windowBytes = 4 * 1024 * 1024;

    nghttp2_nv toHeader(const std::string& name, const std::string& value)
    {
        nghttp2_nv header {};
        header.name = reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data()));
        header.value = reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data()));
        header.namelen = name.size();
        header.valuelen = value.size();
        return header;
    }

}

Http2Transport::Http2Transport(bufferevent* stream, Http2Side side, Http2Events& events)
    : m_events(events)
    , m_stream(stream)
{
    createSession(side);
    submitSettings(side);
    disableDelay();
    bufferevent_setcb(m_stream, Http2Callbacks::onRead, nullptr, Http2Callbacks::onEvent, this);
    bufferevent_enable(m_stream, EV_READ | EV_WRITE);
    flush();
}

Http2Transport::~Http2Transport()
{
    bufferevent_free(m_stream);
    nghttp2_session_del(m_session);
}

void Http2Transport::createSession(Http2Side side)
{
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, Http2Callbacks::onHeader);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, Http2Callbacks::onData);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, Http2Callbacks::onFrame);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, Http2Callbacks::onClose);
    if (side == Http2Side::Client)
        nghttp2_session_client_new(&m_session, callbacks, this);
    else
        nghttp2_session_server_new(&m_session, callbacks, this);
    nghttp2_session_callbacks_del(callbacks);
}

void Http2Transport::submitSettings(Http2Side side)
{
    std::array<nghttp2_settings_entry, 2> settings { {
        { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, static_cast<std::uint32_t>(windowBytes) },
        { NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, maxStreams },
    } };
    const std::size_t count = side == Http2Side::Server ? 2 : 1;
    nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, settings.data(), count);
    nghttp2_session_set_local_window_size(m_session, NGHTTP2_FLAG_NONE, 0, windowBytes);
}

void Http2Transport::disableDelay()
{
    // Messages are small and wait for answers; collecting them in the kernel would cost up to 40 ms each.
    const int enabled = 1;
    if (const int descriptor = bufferevent_getfd(m_stream); descriptor >= 0)
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
}

void Http2Transport::receive()
{
    evbuffer* input = bufferevent_get_input(m_stream);
    const std::size_t length = evbuffer_get_length(input);
    if (length == 0)
        return;
    m_inReceive = true;
    const ssize_t used = nghttp2_session_mem_recv(m_session, evbuffer_pullup(input, -1), length);
    m_inReceive = false;
    if (used < 0) {
        end();
        return;
    }
    evbuffer_drain(input, static_cast<std::size_t>(used));
    flush();
    if (!nghttp2_session_want_read(m_session) && !nghttp2_session_want_write(m_session))
        end();
}

void Http2Transport::flush()
{
    // Callbacks of nghttp2 must not send; receive() sends after them.
    if (m_inReceive)
        return;
    const std::uint8_t* bytes = nullptr;
    for (ssize_t length = nghttp2_session_mem_send(m_session, &bytes); length > 0;
         length = nghttp2_session_mem_send(m_session, &bytes))
        bufferevent_write(m_stream, bytes, static_cast<std::size_t>(length));
}

void Http2Transport::end() { m_events.disconnected(); }

std::int32_t Http2Transport::submitRequest(const Headers& headers, std::string body)
{
    std::vector<nghttp2_nv> values;
    values.reserve(headers.size());
    for (const auto& [name, value] : headers)
        values.push_back(toHeader(name, value));
    nghttp2_data_provider provider {};
    provider.read_callback = Http2Callbacks::readBody;
    const std::int32_t stream
        = nghttp2_submit_request(m_session, nullptr, values.data(), values.size(), &provider, nullptr);
    if (stream < 0)
        return stream;
    m_bodies[stream].bytes = std::move(body);
    flush();
    return stream;
}

void Http2Transport::submitResponse(std::int32_t stream, unsigned status, std::string body)
{
    const std::string name = ":status";
    const std::string value = std::to_string(status);
    const nghttp2_nv header = toHeader(name, value);
    nghttp2_data_provider provider {};
    provider.read_callback = Http2Callbacks::readBody;
    m_bodies[stream].bytes = std::move(body);
    if (nghttp2_submit_response(m_session, stream, &header, 1, &provider) != 0)
        m_bodies.erase(stream);
    flush();
}

void Http2Transport::resetStream(std::int32_t stream)
{
    nghttp2_submit_rst_stream(m_session, NGHTTP2_FLAG_NONE, stream, NGHTTP2_CANCEL);
    flush();
}

void Http2Transport::ping()
{
    nghttp2_submit_ping(m_session, NGHTTP2_FLAG_NONE, nullptr);
    flush();
}

}
