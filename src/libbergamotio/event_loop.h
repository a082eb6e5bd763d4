#pragma once

/// @file
/// The one event loop of a process: libevent base, clock, timers, signals and descriptors.

#include "bergamotroute/clock.h"

#include <functional>
#include <map>
#include <memory>

struct event;
struct event_base;

namespace bergamotroute {

struct EventBaseDeleter {
    void operator()(event_base* base) const;
};

struct EventDeleter {
    void operator()(event* item) const;
};

/// Owns the libevent base. All callbacks run on the thread that calls run().
class EventLoop final : public Clock {
public:
    EventLoop();
    ~EventLoop() override;
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    /// @return the libevent base, for evhttp and bufferevents.
    event_base* base() const { return m_base.get(); }

    TimePoint now() const override;
    std::uint64_t wallMilliseconds() const override;

    /// Runs until stop().
    void run();

    /// Makes run() return after the current callback.
    void stop();

    /// Calls the handler each time the process gets the signal.
    void onSignal(int signal, std::function<void()> handler);

private:
    struct SignalHandler;

    std::unique_ptr<event_base, EventBaseDeleter> m_base;
    std::map<int, std::unique_ptr<SignalHandler>> m_signals;
};

/// A timer that runs once for each start. Must not outlive its loop.
class Timer {
public:
    Timer(EventLoop& loop, std::function<void()> handler);
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;

    /// Runs the handler after the delay; replaces an earlier start.
    void start(Duration delay);

    /// Runs the handler at a time of the loop's clock; noDeadline stops the timer.
    void startAt(TimePoint deadline);

    void stop();

private:
    EventLoop& m_loop;
    std::function<void()> m_handler;
    std::unique_ptr<event, EventDeleter> m_event;
};

/// Calls a handler whenever a descriptor is readable. Must not outlive its loop or the descriptor.
class ReadWatch {
public:
    ReadWatch(EventLoop& loop, int descriptor, std::function<void()> handler);
    ReadWatch(const ReadWatch&) = delete;
    ReadWatch& operator=(const ReadWatch&) = delete;

private:
    std::function<void()> m_handler;
    std::unique_ptr<event, EventDeleter> m_event;
};

}
