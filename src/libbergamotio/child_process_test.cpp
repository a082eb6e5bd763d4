/// @file
/// Guards against the failure in which a program that could not be started led to a signal to every process of the
/// user: kill(-1) from the destructor of a child that never existed.

#include "libbergamotio/child_process.h"

#include "bergamotroute/result_code.h"

#include <csignal>
#include <doctest/doctest.h>
#include <vector>

using namespace bergamotroute;

TEST_CASE("a program that cannot be started gives an error and no process to signal")
{
    std::error_code error;
    const std::vector<std::string> noArguments;
    // This process is the first that a signal to everybody would reach.
    for (const std::string& program : { std::string(), std::string("/nonexistent/program") }) {
        const std::unique_ptr<ChildProcess> child = ChildProcess::start(program, noArguments, error);
        CHECK(child == nullptr);
        CHECK(error == ResultCode::ProcessStartFailed);
    }
}

TEST_CASE("a child process ends with its object and gets no signal after its end")
{
    std::error_code error;
    const std::vector<std::string> arguments { "60" };
    std::unique_ptr<ChildProcess> child = ChildProcess::start("/bin/sleep", arguments, error);
    REQUIRE(child != nullptr);
    CHECK(child->id() > 0);
    CHECK(child->isRunning());
    child->kill();
    CHECK_FALSE(child->isRunning());
    child->signal(SIGTERM);
    child->kill();
    child.reset();
}
