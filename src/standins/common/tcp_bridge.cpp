#include "standins/common/tcp_bridge.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>
#include <utility>

namespace bergamotroute {

void BuffereventDeleter::operator()(bufferevent* item) const { bufferevent_free(item); }

TcpBridge::TcpBridge(
    EventLoop& loop, PacketPort& port, const FlowKey& flow, bufferevent* side, std::function<void()> done)
    : m_loop(loop)
    , m_port(port)
    , m_flow(flow)
    , m_side(side)
    , m_done(loop, std::move(done))
{
    bufferevent_setcb(side, handleReadable, handleWritten, handleEvent, this);
    bufferevent_enable(side, EV_READ | EV_WRITE);
}

void TcpBridge::onConnected() { forwardInput(); }

void TcpBridge::onData(std::string_view data) { bufferevent_write(m_side.get(), data.data(), data.size()); }

void TcpBridge::onPeerFinished()
{
    m_peerFinished = true;
    endWhenWritten();
}

void TcpBridge::onEnded(TcpEnd end)
{
    m_ended = true;
    if (end != TcpEnd::Closed)
        resetSocket();
    endWhenWritten();
}

void TcpBridge::handleReadable(bufferevent*, void* bridge)
{
    auto* self = static_cast<TcpBridge*>(bridge);
    self->forwardInput();
    self->finishRound();
}

void TcpBridge::handleWritten(bufferevent*, void* bridge) { static_cast<TcpBridge*>(bridge)->endWhenWritten(); }

void TcpBridge::handleEvent(bufferevent*, short events, void* bridge)
{
    auto* self = static_cast<TcpBridge*>(bridge);
    if (events & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
        self->handleSocketEnd((events & BEV_EVENT_EOF) != 0);
}

void TcpBridge::forwardInput()
{
    evbuffer* input = bufferevent_get_input(m_side.get());
    std::string data(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, data.data(), data.size());
    if (m_connection && !data.empty())
        m_connection->send(data, m_loop.now());
}

void TcpBridge::handleSocketEnd(bool orderly)
{
    bufferevent_disable(m_side.get(), EV_READ);
    if (!m_connection || m_connection->hasEnded()) {
        m_done.start(Duration(0));
        return;
    }
    forwardInput();
    if (orderly) {
        m_connection->finish(m_loop.now());
    } else {
        m_connection->abort();
        m_ended = true;
        m_done.start(Duration(0));
    }
    finishRound();
}

void TcpBridge::endWhenWritten()
{
    if (evbuffer_get_length(bufferevent_get_output(m_side.get())) > 0)
        return;
    if (m_ended)
        m_done.start(Duration(0));
    else if (m_peerFinished)
        shutdown(bufferevent_getfd(m_side.get()), SHUT_WR);
}

void TcpBridge::resetSocket()
{
    // A linger time of zero makes close() send a reset, so the caller sees that its flow broke.
    const linger noLinger { 1, 0 };
    setsockopt(bufferevent_getfd(m_side.get()), SOL_SOCKET, SO_LINGER, &noLinger, sizeof(noLinger));
    m_done.start(Duration(0));
}

void TcpBridge::finishRound()
{
    if (m_connection)
        m_port.tcp().touch(m_flow, m_connection);
    m_port.finishRound();
}

TcpBridge& TcpBridges::add(const FlowKey& flow, bufferevent* side)
{
    m_bridges.emplace_back();
    const auto place = std::prev(m_bridges.end());
    *place = std::make_unique<TcpBridge>(m_loop, m_port, flow, side, [this, place] { m_bridges.erase(place); });
    return **place;
}

}
