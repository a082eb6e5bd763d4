#include "libbergamotio/log_line.h"

#include <algorithm>
#include <json/json.h>

namespace bergamotroute {

namespace {

    bool needsEscape(char character)
    {
        constexpr char firstPrintable = 0x20;
        constexpr char lastPrintable = 0x7e;
        return character < firstPrintable || character > lastPrintable || character == '"' || character == '\\';
    }

    std::string escape(std::string_view value)
    {
        Json::StreamWriterBuilder builder;
        builder["indentation"] = "";
        return Json::writeString(builder, Json::Value(value.data(), value.data() + value.size()));
    }

}

void LogLine::addKey(std::string_view key)
{
    if (!m_pairs.empty())
        m_pairs += ',';
    m_pairs += '"';
    m_pairs += key;
    m_pairs += "\":";
}

void LogLine::add(std::string_view key, std::string_view value)
{
    addKey(key);
    if (std::any_of(value.begin(), value.end(), needsEscape)) {
        m_pairs += escape(value);
        return;
    }
    m_pairs += '"';
    m_pairs += value;
    m_pairs += '"';
}

void LogLine::add(std::string_view key, std::uint64_t value)
{
    addKey(key);
    m_pairs += std::to_string(value);
}

void LogLine::addPairs(std::string_view pairs)
{
    if (!m_pairs.empty() && !pairs.empty())
        m_pairs += ',';
    m_pairs += pairs;
}

}
