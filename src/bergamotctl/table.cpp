#include "bergamotctl/table.h"

#include <algorithm>
#include <ostream>

namespace bergamotroute {

Table::Table(std::vector<std::string> header)
    : m_rows({ std::move(header) })
{
}

void Table::add(std::vector<std::string> row) { m_rows.push_back(std::move(row)); }

void Table::print(std::ostream& out) const
{
    std::vector<std::size_t> widths(m_rows.front().size());
    for (const auto& row : m_rows) {
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    for (const auto& row : m_rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i) {
            line += row[i];
            if (i + 1 < row.size())
                line.append(widths[i] - row[i].size() + 2, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        out << line << '\n';
    }
}

}
