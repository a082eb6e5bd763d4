#include "standins/load/answer_reader.h"

#include <algorithm>
#include <charconv>
#include <strings.h>
#include <utility>

namespace bergamotroute {

namespace {

    constexpr std::string_view lineEnd = "\r\n";
    constexpr std::size_t statusOffset = 9;
    constexpr std::size_t statusDigits = 3;

    bool equalNames(std::string_view a, std::string_view b)
    {
        return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
    }

    template <typename Number> bool parseNumber(std::string_view text, Number& value, int base = 10)
    {
        const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), value, base);
        return status == std::errc() && end == text.data() + text.size();
    }

}

bool AnswerReader::add(std::string_view data)
{
    m_input += data;
    if (!hasHeaders() && !readHeaders())
        return false;
    if (!hasHeaders())
        return true;
    if (m_isChunked)
        return readChunks();
    readSizedBody();
    return true;
}

std::string AnswerReader::takeBody() { return std::exchange(m_body, {}); }

bool AnswerReader::readHeaders()
{
    const std::size_t end = m_input.find("\r\n\r\n");
    if (end == std::string::npos)
        return true;
    if (!m_input.starts_with("HTTP/1.1 ") || !parseNumber(m_input.substr(statusOffset, statusDigits), m_status))
        return false;
    std::size_t begin = m_input.find(lineEnd) + lineEnd.size();
    while (begin < end) {
        const std::size_t lineStop = std::min(m_input.find(lineEnd, begin), end);
        if (!readHeaderLine(std::string_view(m_input).substr(begin, lineStop - begin)))
            return false;
        begin = lineStop + lineEnd.size();
    }
    m_input.erase(0, end + 2 * lineEnd.size());
    return true;
}

bool AnswerReader::readHeaderLine(std::string_view line)
{
    const std::size_t colon = line.find(": ");
    if (colon == std::string_view::npos)
        return false;
    const std::string_view name = line.substr(0, colon);
    const std::string_view value = line.substr(colon + 2);
    if (equalNames(name, "Content-Length"))
        return parseNumber(value, m_rest);
    if (equalNames(name, "Transfer-Encoding"))
        m_isChunked = equalNames(value, "chunked");
    if (equalNames(name, "Bergamot-Backend"))
        m_backend = value;
    return true;
}

void AnswerReader::readSizedBody()
{
    const std::size_t count = std::min(m_rest, m_input.size());
    m_body.append(m_input, 0, count);
    m_input.erase(0, count);
    m_rest -= count;
    m_whole = m_rest == 0;
}

bool AnswerReader::readChunks()
{
    while (!m_whole) {
        const std::size_t lineStop = m_input.find(lineEnd);
        std::size_t size = 0;
        if (lineStop == std::string::npos)
            return true;
        if (!parseNumber(std::string_view(m_input).substr(0, lineStop), size, 16))
            return false;
        const std::size_t begin = lineStop + lineEnd.size();
        if (m_input.size() < begin + size + lineEnd.size())
            return true;
        m_body.append(m_input, begin, size);
        m_input.erase(0, begin + size + lineEnd.size());
        m_whole = size == 0;
    }
    return true;
}

}
