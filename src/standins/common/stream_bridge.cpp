#include "standins/common/stream_bridge.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>

namespace bergamotroute {

namespace {

    /// Stops reading from the socket while this much waits for the peer's acknowledgement.
    constexpr std::size_t maxUnacknowledgedBytes = 256 * 1024;
    constexpr Duration readPause { 20 };

}

void BuffereventDeleter::operator()(bufferevent* stream) const { bufferevent_free(stream); }

StreamBridge::StreamBridge(
    EventLoop& loop, StreamHandle stream, const FlowKey& outgoing, std::uint32_t initialSequence, PacketSender sender)
    : m_loop(loop)
    , m_stream(std::move(stream))
    , m_connection(outgoing, initialSequence, std::move(sender))
    , m_timer(loop,
          [this] {
              m_connection.advance(m_loop.now());
              readStream();
          })
    , m_endTimer(loop, [this] {
        if (m_endHandler)
            m_endHandler();
    })
{
    m_connection.setObserver(this);
    bufferevent_setcb(m_stream.get(), handleRead, handleWritten, handleEvent, this);
}

StreamBridge::~StreamBridge() = default;

void StreamBridge::start()
{
    bufferevent_enable(m_stream.get(), EV_READ | EV_WRITE);
    restartTimer();
}

void StreamBridge::handlePacket(const PacketView& packet)
{
    m_connection.handlePacket(packet, m_loop.now());
    restartTimer();
}

void StreamBridge::onData(std::string_view data) { bufferevent_write(m_stream.get(), data.data(), data.size()); }

void StreamBridge::onPeerFinished()
{
    m_finishAfterWrite = true;
    if (evbuffer_get_length(bufferevent_get_output(m_stream.get())) == 0)
        handleWritten(m_stream.get(), this);
}

void StreamBridge::onEnded(TcpEnd end)
{
    if (end != TcpEnd::Closed) {
        // A linger time of zero makes the system send a reset, so the caller sees the same end as the packets show.
        const linger hardClose { 1, 0 };
        setsockopt(bufferevent_getfd(m_stream.get()), SOL_SOCKET, SO_LINGER, &hardClose, sizeof(hardClose));
    }
    scheduleEnd();
}

void StreamBridge::handleRead(bufferevent*, void* bridge) { static_cast<StreamBridge*>(bridge)->readStream(); }

void StreamBridge::readStream()
{
    evbuffer* input = bufferevent_get_input(m_stream.get());
    while (!m_connection.hasEnded() && evbuffer_get_length(input) > 0
        && m_connection.unacknowledged() < maxUnacknowledgedBytes) {
        const std::size_t size = evbuffer_get_contiguous_space(input);
        const auto* data = reinterpret_cast<const char*>(evbuffer_pullup(input, static_cast<ev_ssize_t>(size)));
        m_connection.send({ data, size }, m_loop.now());
        evbuffer_drain(input, size);
    }
    restartTimer();
}

void StreamBridge::handleWritten(bufferevent* stream, void* bridge)
{
    if (static_cast<StreamBridge*>(bridge)->m_finishAfterWrite)
        shutdown(bufferevent_getfd(stream), SHUT_WR);
}

void StreamBridge::handleEvent(bufferevent*, short events, void* bridge)
{
    auto& self = *static_cast<StreamBridge*>(bridge);
    if (events & BEV_EVENT_EOF) {
        self.readStream();
        self.m_connection.finish(self.m_loop.now());
        self.restartTimer();
    } else if (events & BEV_EVENT_ERROR) {
        self.m_connection.abort();
        self.scheduleEnd();
    }
}

void StreamBridge::restartTimer()
{
    const bool hasUnreadInput = evbuffer_get_length(bufferevent_get_input(m_stream.get())) > 0;
    TimePoint next = m_connection.nextDeadline();
    if (hasUnreadInput)
        next = std::min(next, m_loop.now() + readPause);
    m_timer.startAt(next);
}

void StreamBridge::scheduleEnd()
{
    if (m_ended)
        return;
    m_ended = true;
    m_timer.stop();
    // The end handler destroys this object, so it runs from its own timer and never inside a callback of the stream.
    constexpr Duration lastWriteTime { 50 };
    m_endTimer.start(lastWriteTime);
}

}
