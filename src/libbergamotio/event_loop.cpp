#include "libbergamotio/event_loop.h"

#include <csignal>
#include <event2/event.h>
#include <stdexcept>
#include <utility>

namespace bergamotroute {

namespace {

    constexpr long microsecondsPerMillisecond = 1000;
    constexpr long millisecondsPerSecond = 1000;

    /// Adapts libevent's callback to the handler that the argument points to.
    void callHandler(evutil_socket_t, short, void* handler) { (*static_cast<std::function<void()>*>(handler))(); }

    /// Calls a copy, because the handler of a timer may destroy the timer.
    void callTimerHandler(evutil_socket_t, short, void* handler)
    {
        const std::function<void()> copy = *static_cast<std::function<void()>*>(handler);
        copy();
    }

    timeval toTimeval(Duration delay)
    {
        const long milliseconds = delay.count() < 0 ? 0 : delay.count();
        return { milliseconds / millisecondsPerSecond,
            (milliseconds % millisecondsPerSecond) * microsecondsPerMillisecond };
    }

    event_base* createBase()
    {
        // A write to a connection that its peer has closed must be an error code, not the end of the process.
        std::signal(SIGPIPE, SIG_IGN);
        event_base* base = event_base_new();
        if (base == nullptr)
            throw std::runtime_error("cannot create the event loop");
        return base;
    }

}

void EventBaseDeleter::operator()(event_base* base) const { event_base_free(base); }

void EventDeleter::operator()(event* item) const { event_free(item); }

struct EventLoop::SignalHandler {
    std::function<void()> handler;
    std::unique_ptr<event, EventDeleter> item;
};

EventLoop::EventLoop()
    : m_base(createBase())
{
}

EventLoop::~EventLoop() = default;

TimePoint EventLoop::now() const
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now());
}

std::uint64_t EventLoop::wallMilliseconds() const
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

void EventLoop::run() { event_base_loop(m_base.get(), EVLOOP_NO_EXIT_ON_EMPTY); }

void EventLoop::stop() { event_base_loopbreak(m_base.get()); }

void EventLoop::onSignal(int signal, std::function<void()> handler)
{
    auto entry = std::make_unique<SignalHandler>();
    entry->handler = std::move(handler);
    entry->item.reset(evsignal_new(m_base.get(), signal, callHandler, &entry->handler));
    event_add(entry->item.get(), nullptr);
    m_signals[signal] = std::move(entry);
}

Timer::Timer(EventLoop& loop, std::function<void()> handler)
    : m_loop(loop)
    , m_handler(std::move(handler))
    , m_event(evtimer_new(loop.base(), callTimerHandler, &m_handler))
{
}

void Timer::start(Duration delay)
{
    const timeval interval = toTimeval(delay);
    evtimer_add(m_event.get(), &interval);
}

void Timer::startAt(TimePoint deadline)
{
    if (deadline == noDeadline)
        stop();
    else
        start(deadline - m_loop.now());
}

void Timer::stop() { evtimer_del(m_event.get()); }

ReadWatch::ReadWatch(EventLoop& loop, int descriptor, std::function<void()> handler)
    : m_handler(std::move(handler))
    , m_event(event_new(loop.base(), descriptor, EV_READ | EV_PERSIST, callHandler, &m_handler))
{
    event_add(m_event.get(), nullptr);
}

}
