#include "bergamotroute/result_code.h"

#include <doctest/doctest.h>

using namespace bergamotroute;

// Guards against two result codes with the same number and against codes without a help text for operators.
TEST_CASE("the result code table is in ascending order and every code has a name and a help text")
{
    int previous = -1;
    for (const ResultCodeInfo& info : resultCodeTable()) {
        CHECK(static_cast<int>(info.code) > previous);
        CHECK_FALSE(info.name.empty());
        CHECK(info.help.ends_with("."));
        previous = static_cast<int>(info.code);
    }
    CHECK(previous == static_cast<int>(ResultCode::ProcessStartFailed));
}

// Guards against a failure that is taken for success, and the reverse.
TEST_CASE("only ResultCode::Ok converts to a std::error_code that is false")
{
    CHECK_FALSE(static_cast<bool>(std::error_code(ResultCode::Ok)));
    const std::error_code stale = ResultCode::RevisionStale;
    CHECK(stale);
    CHECK(stale.value() == 401);
}
