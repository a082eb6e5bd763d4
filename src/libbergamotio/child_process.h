#pragma once

/// @file
/// Child processes of benchmarks, tests and the soak. This is the only place of the project that signals a process by
/// its number.

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <sys/types.h>
#include <system_error>

namespace bergamotroute {

/// A running child process. An object exists only for a process that was started, so that its number is never one
/// that kill(2) takes for a group or for all processes. The process is killed with the object.
class ChildProcess {
public:
    /// Starts a program.
    /// @param program path of the executable file.
    /// @param arguments without the program's name.
    /// @param[out] error ResultCode::ProcessStartFailed if the program cannot be started.
    /// @return the process, or null after an error.
    static std::unique_ptr<ChildProcess> start(
        const std::string& program, std::span<const std::string> arguments, std::error_code& error);

    /// Runs a function in a copy of this process; the copy ends when the function returns.
    /// @param[out] error ResultCode::ProcessStartFailed if the system refuses another process.
    /// @return the process, or null after an error.
    static std::unique_ptr<ChildProcess> fork(const std::function<void()>& body, std::error_code& error);

    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    /// Sends a signal such as SIGTERM; does nothing once the process has ended.
    void signal(int number);

    /// @return true until the process has ended.
    bool isRunning();

    /// Kills the process and waits for its end.
    void kill();

    /// @return processor time used so far in seconds; zero once the process has ended.
    double processorSeconds() const;

    pid_t id() const { return m_id; }

private:
    explicit ChildProcess(pid_t id);

    const pid_t m_id;
    bool m_ended = false;
};

}
