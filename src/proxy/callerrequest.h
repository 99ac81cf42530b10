#pragma once

#include <map>
#include <string>
#include <string_view>

namespace Cyclamen
{

/// Compares header names case-insensitively.
struct HeaderLess
{
    bool operator()(const std::string &left, const std::string &right) const;
};

/// A caller's HTTP request, independent of the HTTP library.
struct CallerRequest
{
    using Headers = std::multimap<std::string, std::string, HeaderLess>;

    std::string method;
    std::string target; ///< Path and query, not decoded.
    std::string path; ///< Without the query, not decoded.
    std::map<std::string, std::string> parameters; ///< Decoded query parameters; the first value of each name.
    Headers headers;
    std::string body;

    /// Returns the first value of header @p name, or @p defaultValue if it is absent.
    std::string header(const std::string &name, const std::string &defaultValue = "") const;

    bool operator==(const CallerRequest &) const = default;
};

}
