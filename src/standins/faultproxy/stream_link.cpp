#include "standins/faultproxy/stream_link.h"

#include <algorithm>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <sys/socket.h>

namespace bergamotroute {

StreamLink::Direction::Direction(StreamLink& owner, bool isUpward)
    : link(owner)
    , isUp(isUpward)
    , timer(owner.m_loop, [this] { link.forward(*this); })
{
}

StreamLink::StreamLink(EventLoop& loop, FaultPlan& plan, int descriptor, const Endpoint& target,
    std::optional<std::size_t> cutAfter, std::function<void(StreamLink&)> onClosed)
    : m_loop(loop)
    , m_plan(plan)
    , m_bytesLeft(cutAfter)
    , m_onClosed(std::move(onClosed))
    , m_up(*this, true)
    , m_down(*this, false)
{
    m_up.from = bufferevent_socket_new(loop.base(), descriptor, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    m_up.to = bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    m_down.from = m_up.to;
    m_down.to = m_up.from;
    for (bufferevent* stream : { m_up.from, m_up.to }) {
        bufferevent_setcb(stream, onRead, onWritten, onEvent, this);
        bufferevent_enable(stream, EV_READ | EV_WRITE);
    }
    const SocketName name(target);
    bufferevent_socket_connect(m_up.to, reinterpret_cast<const sockaddr*>(name.bytes), static_cast<int>(name.length));
    resume();
}

StreamLink::~StreamLink()
{
    bufferevent_free(m_up.from);
    bufferevent_free(m_up.to);
}

bool StreamLink::isHeld(const Direction& direction) const
{
    return m_isFrozen || (direction.isUp ? m_plan.settings().isCutUp : m_plan.settings().isCutDown);
}

void StreamLink::freeze()
{
    m_isFrozen = true;
    resume();
}

void StreamLink::resume()
{
    for (Direction* direction : { &m_up, &m_down }) {
        // A held direction is not read, so that even the end of the stream stays hidden.
        if (isHeld(*direction)) {
            bufferevent_disable(direction->from, EV_READ);
            continue;
        }
        bufferevent_enable(direction->from, EV_READ);
        direction->timer.start(Duration(0));
    }
}

void StreamLink::onRead(bufferevent* stream, void* context)
{
    auto& link = *static_cast<StreamLink*>(context);
    link.read(link.directionFrom(stream));
}

void StreamLink::read(Direction& direction)
{
    if (isHeld(direction) || m_isClosed)
        return;
    evbuffer* input = bufferevent_get_input(direction.from);
    std::string data(evbuffer_get_length(input), 0);
    evbuffer_remove(input, data.data(), data.size());
    if (data.empty())
        return;
    // A stream keeps its order, so no piece is due before an earlier one.
    direction.lastDue = std::max(direction.lastDue, m_loop.now() + m_plan.streamDelay());
    direction.pieces.push_back({ direction.lastDue, std::move(data) });
    forward(direction);
}

std::string StreamLink::limited(const Direction& direction, std::string data)
{
    if (!direction.isUp || !m_bytesLeft)
        return data;
    if (data.size() >= *m_bytesLeft) {
        data.resize(*m_bytesLeft);
        m_isCut = true;
    }
    *m_bytesLeft -= data.size();
    return data;
}

void StreamLink::forward(Direction& direction)
{
    if (m_isClosed || m_isCut)
        return;
    if (isHeld(direction))
        return;
    while (!direction.pieces.empty() && direction.pieces.front().due <= m_loop.now() && !m_isCut) {
        const std::string data = limited(direction, std::move(direction.pieces.front().data));
        direction.pieces.pop_front();
        bufferevent_write(direction.to, data.data(), data.size());
    }
    if (m_isCut && evbuffer_get_length(bufferevent_get_output(direction.to)) == 0)
        close();
    else if (!direction.pieces.empty())
        direction.timer.startAt(direction.pieces.front().due);
    else if (evbuffer_get_length(bufferevent_get_input(direction.from)) > 0)
        read(direction);
    else if (direction.isEnded && !direction.isFinished)
        finish(direction);
}

/// Passes on the end of a stream when all its pieces have been written.
void StreamLink::finish(Direction& direction)
{
    if (evbuffer_get_length(bufferevent_get_output(direction.to)) > 0)
        return;
    direction.isFinished = true;
    ::shutdown(bufferevent_getfd(direction.to), SHUT_WR);
    if (m_up.isFinished && m_down.isFinished)
        close();
}

void StreamLink::onWritten(bufferevent* stream, void* context)
{
    auto& link = *static_cast<StreamLink*>(context);
    if (link.m_isCut && stream == link.m_up.to) {
        link.close();
        return;
    }
    Direction& direction = stream == link.m_up.to ? link.m_up : link.m_down;
    if (direction.isEnded && direction.pieces.empty() && !direction.isFinished && !link.isHeld(direction))
        link.finish(direction);
}

void StreamLink::onEvent(bufferevent* stream, short what, void* context)
{
    auto& link = *static_cast<StreamLink*>(context);
    if ((what & BEV_EVENT_CONNECTED) != 0)
        return;
    if ((what & BEV_EVENT_ERROR) != 0) {
        // A frozen link tells neither end that the other one is gone.
        if (!link.m_isFrozen)
            link.close();
        return;
    }
    Direction& direction = link.directionFrom(stream);
    link.read(direction);
    direction.isEnded = true;
    link.forward(direction);
}

void StreamLink::close()
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    m_onClosed(*this);
}

}
