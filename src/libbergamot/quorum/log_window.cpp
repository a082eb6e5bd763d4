#include "quorum/log_window.h"

namespace bergamotroute {

void LogWindow::reset(std::uint64_t baseIndex, std::uint64_t baseTerm)
{
    m_entries.clear();
    m_baseIndex = baseIndex;
    m_baseTerm = baseTerm;
}

std::optional<std::uint64_t> LogWindow::termAt(std::uint64_t index) const
{
    if (index == m_baseIndex)
        return m_baseTerm;
    if (index < m_baseIndex || index > lastIndex())
        return std::nullopt;
    return at(index).term();
}

void LogWindow::append(schema::LogEntry entry) { m_entries.push_back(std::move(entry)); }

void LogWindow::truncateFrom(std::uint64_t index)
{
    while (!m_entries.empty() && lastIndex() >= index)
        m_entries.pop_back();
}

void LogWindow::compact(std::uint64_t index)
{
    const std::optional<std::uint64_t> term = termAt(index);
    if (!term || index == m_baseIndex)
        return;
    m_entries.erase(m_entries.begin(), m_entries.begin() + static_cast<std::ptrdiff_t>(index - m_baseIndex));
    m_baseIndex = index;
    m_baseTerm = *term;
}

}
