#include "libbergamotio/durable_file.h"

#include <array>
#include <cerrno>
#include <cstdio>
#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace bergamotroute {

namespace {

    constexpr mode_t ownerOnly = 0600;
    constexpr std::size_t readChunkBytes = 65'536;

    std::error_code lastError() { return { errno, std::generic_category() }; }

}

FileDescriptor::~FileDescriptor()
{
    if (m_descriptor >= 0)
        ::close(m_descriptor);
}

FileDescriptor::FileDescriptor(FileDescriptor&& other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1))
{
}

FileDescriptor& FileDescriptor::operator=(FileDescriptor&& other) noexcept
{
    std::swap(m_descriptor, other.m_descriptor);
    return *this;
}

std::error_code readFile(const std::string& path, std::string& content, bool& exists)
{
    content.clear();
    const FileDescriptor file(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
    exists = file.isOpen();
    if (!exists)
        return errno == ENOENT ? std::error_code() : lastError();
    std::array<char, readChunkBytes> chunk {};
    for (;;) {
        const ssize_t length = ::read(file.get(), chunk.data(), chunk.size());
        if (length < 0 && errno == EINTR)
            continue;
        if (length < 0)
            return lastError();
        if (length == 0)
            return {};
        content.append(chunk.data(), static_cast<std::size_t>(length));
    }
}

std::error_code writeAll(int descriptor, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t written = ::write(descriptor, bytes.data(), bytes.size());
        if (written < 0 && errno == EINTR)
            continue;
        if (written < 0)
            return lastError();
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return {};
}

std::error_code syncFolder(const std::string& folder)
{
    const FileDescriptor opened(::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (!opened.isOpen() || ::fsync(opened.get()) != 0)
        return lastError();
    return {};
}

std::error_code replaceFile(const std::string& folder, const std::string& name, std::string_view content)
{
    const std::string path = folder + '/' + name;
    const std::string temporary = path + ".new";
    {
        const FileDescriptor file(::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, ownerOnly));
        if (!file.isOpen())
            return lastError();
        if (const std::error_code error = writeAll(file.get(), content))
            return error;
        if (::fsync(file.get()) != 0)
            return lastError();
    }
    if (std::rename(temporary.c_str(), path.c_str()) != 0)
        return lastError();
    return syncFolder(folder);
}

}
