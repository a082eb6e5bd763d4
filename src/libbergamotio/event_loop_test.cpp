#include "libbergamotio/event_loop.h"

#include <csignal>
#include <doctest/doctest.h>
#include <string>

using namespace bergamotroute;

TEST_CASE("timers run in order of their deadlines and a stopped timer does not run")
{
    // Guards against a restart of a timer that leaves the earlier start pending.
    EventLoop loop;
    std::string order;
    Timer last(loop, [&] {
        order += 'c';
        loop.stop();
    });
    Timer first(loop, [&] { order += 'a'; });
    Timer stopped(loop, [&] { order += 'x'; });
    last.start(Duration(1));
    last.start(Duration(30));
    first.startAt(loop.now() + Duration(5));
    stopped.start(Duration(2));
    stopped.startAt(noDeadline);
    loop.run();
    CHECK(order == "ac");
}

TEST_CASE("a signal calls its handler on the loop")
{
    // Guards against a daemon that ends at SIGTERM without its graceful leave.
    EventLoop loop;
    int calls = 0;
    loop.onSignal(SIGUSR1, [&] {
        ++calls;
        loop.stop();
    });
    std::raise(SIGUSR1);
    loop.run();
    CHECK(calls == 1);
}

TEST_CASE("a timer may be destroyed by its own handler")
{
    // Guards against a handler that is freed while it runs.
    EventLoop loop;
    auto calls = std::make_shared<int>(0);
    std::unique_ptr<Timer> timer;
    timer = std::make_unique<Timer>(loop, [&timer, &loop, calls] {
        timer.reset();
        ++*calls;
        loop.stop();
    });
    timer->start(Duration(0));
    loop.run();
    CHECK(*calls == 1);
}
