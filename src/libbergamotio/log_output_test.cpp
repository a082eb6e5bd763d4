/// @file
/// Guards against a process that stops serving because nobody reads its log.

#include "libbergamotio/log_output.h"

#include <array>
#include <doctest/doctest.h>
#include <unistd.h>

using namespace bergamotroute;

TEST_CASE("a reader that does not read costs lines and never blocks")
{
    std::array<int, 2> ends {};
    REQUIRE(::pipe(ends.data()) == 0);
    constexpr std::size_t capacity = 1000;
    LogOutput output(ends[1], capacity);
    const std::string line(99, 'x');
    // More than the buffer and the pipe take together.
    for (int i = 0; i < 20'000; ++i)
        output.add(line);
    CHECK(output.droppedLines() > 0);
    CHECK(output.takeDropped() == output.droppedLines());
    CHECK(output.takeDropped() == 0);
    std::array<char, 100> first {};
    REQUIRE(::read(ends[0], first.data(), first.size()) == 100);
    CHECK(first[99] == '\n');
    ::close(ends[0]);
    ::close(ends[1]);
}
