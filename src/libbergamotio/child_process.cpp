#include "libbergamotio/child_process.h"

#include "bergamotroute/result_code.h"

#include <cassert>
#include <csignal>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

namespace bergamotroute {

std::unique_ptr<ChildProcess> ChildProcess::start(
    const std::string& program, std::span<const std::string> arguments, std::error_code& error)
{
    std::vector<std::string> words { program };
    words.insert(words.end(), arguments.begin(), arguments.end());
    std::vector<char*> pointers;
    pointers.reserve(words.size() + 1);
    for (std::string& word : words)
        pointers.push_back(word.data());
    pointers.push_back(nullptr);
    pid_t id = 0;
    error.clear();
    if (posix_spawn(&id, program.c_str(), nullptr, nullptr, pointers.data(), environ) == 0 && id > 0)
        return std::unique_ptr<ChildProcess>(new ChildProcess(id));
    error = ResultCode::ProcessStartFailed;
    return nullptr;
}

std::unique_ptr<ChildProcess> ChildProcess::fork(const std::function<void()>& body, std::error_code& error)
{
    error.clear();
    const pid_t id = ::fork();
    if (id == 0) {
        body();
        _exit(0);
    }
    if (id > 0)
        return std::unique_ptr<ChildProcess>(new ChildProcess(id));
    error = ResultCode::ProcessStartFailed;
    return nullptr;
}

ChildProcess::ChildProcess(pid_t id)
    : m_id(id)
{
    assert(id > 0);
}

ChildProcess::~ChildProcess() { kill(); }

void ChildProcess::signal(int number)
{
    if (isRunning())
        ::kill(m_id, number);
}

bool ChildProcess::isRunning()
{
    if (!m_ended)
        m_ended = ::waitpid(m_id, nullptr, WNOHANG) != 0;
    return !m_ended;
}

void ChildProcess::kill()
{
    if (m_ended)
        return;
    ::kill(m_id, SIGKILL);
    ::waitpid(m_id, nullptr, 0);
    m_ended = true;
}

double ChildProcess::processorSeconds() const
{
    // User and system time are the 12th and 13th field after the program name (proc(5)).
    constexpr int fieldsBefore = 11;
    std::ifstream file("/proc/" + std::to_string(m_id) + "/stat");
    std::string line;
    if (!std::getline(file, line))
        return 0;
    std::istringstream fields(line.substr(line.rfind(')') + 2));
    std::string skipped;
    for (int i = 0; i < fieldsBefore; ++i)
        fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

}
