#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Cyclamen
{

/// The headers of one HTTP message, in order. Names are case-insensitive.
class HeaderList
{
public:
    void add(std::string name, std::string value);
    /// Removes all headers called @p name and adds one.
    void set(std::string_view name, std::string value);
    void remove(std::string_view name);
    /// Returns the value of the first header called @p name, or an empty string. Valid until the list changes.
    std::string_view find(std::string_view name) const;
    bool contains(std::string_view name) const;
    /// Returns how many headers are called @p name.
    std::size_t count(std::string_view name) const;
    /// Removes the hop-by-hop headers, including those listed in Connection, and Content-Length.
    void removeConnectionHeaders();
    /// Returns the headers as lines that end with CRLF.
    std::string text() const;

    bool operator==(const HeaderList &) const = default;

private:
    std::vector<std::pair<std::string, std::string>> headers;
};

}
