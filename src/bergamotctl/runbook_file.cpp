#include "bergamotctl/runbook_file.h"

#include "libbergamotio/json_schema.h"

#include <cerrno>
#include <cstdio>
#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

namespace bergamotroute {

namespace {

    std::error_code lastError() { return { errno, std::generic_category() }; }

    std::error_code writeSynced(const std::string& path, const std::string& text)
    {
        const int descriptor = ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
        if (descriptor < 0)
            return lastError();
        std::error_code error;
        if (::write(descriptor, text.data(), text.size()) != static_cast<ssize_t>(text.size()))
            error = errno != 0 ? lastError() : std::make_error_code(std::errc::no_space_on_device);
        else if (::fsync(descriptor) != 0)
            error = lastError();
        ::close(descriptor);
        return error;
    }

    std::error_code syncFolder(const std::string& path)
    {
        const std::size_t slash = path.rfind('/');
        const std::string folder = slash == std::string::npos ? "." : path.substr(0, slash + 1);
        const int descriptor = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
        if (descriptor < 0)
            return lastError();
        const std::error_code error = ::fsync(descriptor) != 0 ? lastError() : std::error_code();
        ::close(descriptor);
        return error;
    }

}

RunbookLock::RunbookLock(const std::string& path)
    : m_descriptor(::open(path.c_str(), O_RDONLY | O_CLOEXEC))
    , m_isHeld(m_descriptor >= 0 && ::flock(m_descriptor, LOCK_EX | LOCK_NB) == 0)
{
}

RunbookLock::~RunbookLock()
{
    if (m_descriptor >= 0)
        ::close(m_descriptor);
}

std::error_code storeProgress(const std::string& path, const schema::RunbookProgress& progress)
{
    const std::string unfinished = path + ".new";
    errno = 0;
    if (const std::error_code error = writeSynced(unfinished, toJson(progress, true)))
        return error;
    if (std::rename(unfinished.c_str(), path.c_str()) != 0)
        return lastError();
    return syncFolder(path);
}

}
