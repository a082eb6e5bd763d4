#include "libbergamotio/log_output.h"

#include <cerrno>
#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace bergamotroute {

LogOutput::LogOutput(int descriptor, std::size_t capacity)
    : m_descriptor(descriptor)
    , m_capacity(capacity)
{
    const int flags = ::fcntl(descriptor, F_GETFL);
    if (flags >= 0)
        ::fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
}

bool LogOutput::add(std::string_view line)
{
    if (m_buffer.size() + line.size() + 1 > m_capacity)
        flush();
    if (m_buffer.size() + line.size() + 1 > m_capacity) {
        ++m_dropped;
        return false;
    }
    const bool wasEmpty = m_buffer.empty();
    m_buffer.append(line);
    m_buffer.push_back('\n');
    return wasEmpty;
}

void LogOutput::flush()
{
    std::size_t written = 0;
    while (written < m_buffer.size()) {
        const ssize_t count = ::write(m_descriptor, m_buffer.data() + written, m_buffer.size() - written);
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            break;
        if (count <= 0) {
            // Nobody reads any more; keeping the lines would only fill the buffer.
            written = m_buffer.size();
            break;
        }
        written += static_cast<std::size_t>(count);
    }
    m_buffer.erase(0, written);
}

std::uint64_t LogOutput::takeDropped() { return m_dropped - std::exchange(m_reported, m_dropped); }

}
