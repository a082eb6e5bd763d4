/// @file
/// Guards against a log that floods under load and against rare lines that frequent ones push out.

#include "libbergamotio/log_limiter.h"

#include <doctest/doctest.h>

using namespace bergamotroute;

TEST_CASE("a frequent code is limited, counts what it lost, and leaves room for a rare one")
{
    ManualClock clock;
    LogLimiter limiter({ 10, 5 });
    std::uint64_t suppressed = 0;
    int written = 0;
    for (int i = 0; i < 100; ++i)
        written += limiter.admit(ResultCode::FlowPlaced, clock.now(), suppressed) ? 1 : 0;
    CHECK(written == 10);
    CHECK(limiter.admit(ResultCode::FlowNoTarget, clock.now(), suppressed));
    CHECK(suppressed == 0);
    clock.advance(Duration(1000));
    CHECK(limiter.admit(ResultCode::FlowPlaced, clock.now(), suppressed));
    CHECK(suppressed == 90);
    CHECK(limiter.suppressedLines() == 90);
}
