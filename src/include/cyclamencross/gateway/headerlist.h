#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Cyclamen
{

/// The headers of one HTTP message, in order. Names compare without regard to case.
class HeaderList
{
public:
    void add(std::string name, std::string value);
    /// Removes all headers called @p name and adds one.
    void set(std::string_view name, std::string value);
    void remove(std::string_view name);
    /// Returns the first value of @p name, or an empty text.
    std::string_view find(std::string_view name) const;
    bool contains(std::string_view name) const;
    /// Returns how many headers are called @p name.
    std::size_t count(std::string_view name) const;
    /// Removes the headers that concern a single connection, among them those that Connection lists, and the length.
    void removeConnectionHeaders();
    /// Returns the headers as lines that end with CRLF.
    std::string text() const;

    bool operator==(const HeaderList &) const = default;

private:
    std::vector<std::pair<std::string, std::string>> headers;
};

}
