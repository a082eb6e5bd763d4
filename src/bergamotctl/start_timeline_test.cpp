/// @file
/// Guards against a timeline that gives a step to the wrong host or the wrong start, which would hide the slow step of
/// a recovery.

#include "bergamotctl/start_timeline.h"

#include "bergamotctl/log_lines.h"

#include <doctest/doctest.h>
#include <sstream>

using namespace bergamotroute;

namespace {

std::vector<HostStart> startsIn(const std::string& text)
{
    std::istringstream input(text);
    std::vector<Json::Value> lines;
    std::size_t ignored = 0;
    readLogLines(input, lines, ignored);
    CHECK(ignored == 0);
    return findStarts(selectLogLines(std::move(lines), {}));
}

/// Lines of two entry hosts and one control host, out of order; entry-1 is started twice.
constexpr const char* twoStarts = R"(
{"time":"2026-12-04T23:59:59.900Z","program":"bergamot-entry","host":"entry-1","code":0,"message":"started","cpu_ms":"9"}
{"time":"2026-12-05T00:00:00.100Z","program":"bergamot-entry","host":"entry-1","code":417,"message":"document in force"}
{"time":"2026-12-05T00:00:00.050Z","program":"bergamot-entry","host":"entry-1","code":619,"message":"connected to the control host"}
{"time":"2026-12-05T00:00:00.000Z","program":"bergamot-entry","host":"entry-2","code":0,"message":"started"}
{"time":"2026-12-05T00:00:00.200Z","program":"bergamot-entry","host":"entry-2","code":611,"message":"steering decision"}
{"time":"2026-12-05T00:00:00.300Z","program":"bergamot-entry","host":"entry-2","code":611,"message":"steering decision"}
{"time":"2026-12-05T00:00:01.000Z","program":"bergamot-entry","host":"entry-1","code":0,"message":"started"}
{"time":"2026-12-05T00:00:01.007Z","program":"bergamot-entry","host":"entry-1","code":417,"message":"document in force"})";

}

TEST_CASE("each step belongs to its host and to the last start before it")
{
    const std::vector<HostStart> starts = startsIn(std::string(twoStarts).substr(1));
    REQUIRE(starts.size() == 3);
    CHECK(starts[0].host == "entry-1");
    CHECK(starts[0].processorTime == Duration(9));
    CHECK(starts[0].controlHost == Duration(150));
    CHECK(starts[0].document == Duration(200));
    CHECK_FALSE(starts[0].firstFlow.has_value());
    CHECK(starts[1].host == "entry-2");
    CHECK(starts[1].firstFlow == Duration(200));
    CHECK_FALSE(starts[1].processorTime.has_value());
    CHECK(starts[2].document == Duration(7));
    CHECK_FALSE(starts[2].controlHost.has_value());
}

TEST_CASE("a text that is no time of a log line is no time")
{
    CHECK(parseLogTime("1970-01-01T00:00:01.500Z") == Duration(1500));
    CHECK_FALSE(parseLogTime("2026-13-04T00:00:00.000Z").has_value());
    CHECK_FALSE(parseLogTime("yesterday").has_value());
}
