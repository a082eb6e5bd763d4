#pragma once

/// @file
/// Tables for people.

#include <iosfwd>
#include <string>
#include <vector>

namespace bergamotroute {

/// Rows of text in aligned columns.
class Table {
public:
    explicit Table(std::vector<std::string> header);

    /// Adds a row; it has as many cells as the header.
    void add(std::vector<std::string> row);

    /// Writes header and rows; columns are separated by two blanks and lines have no blanks at their end.
    void print(std::ostream& out) const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

/// Joins the elements of a container with commas; "-" if it is empty.
template <typename Container> std::string joined(const Container& parts)
{
    std::string text;
    for (const auto& part : parts) {
        if (!text.empty())
            text += ',';
        if constexpr (requires { std::to_string(part); })
            text += std::to_string(part);
        else
            text += part;
    }
    return text.empty() ? "-" : text;
}

}
