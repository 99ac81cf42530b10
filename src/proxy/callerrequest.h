#pragma once

#include <map>
#include <string>
#include <string_view>

namespace Cyclamen
{

/// Orders header names without regard to case.
struct HeaderLess
{
    bool operator()(const std::string &left, const std::string &right) const;
};

/// A caller's request as it arrived, independent of the HTTP library.
struct CallerRequest
{
    using Headers = std::multimap<std::string, std::string, HeaderLess>;

    std::string method;
    std::string target; ///< Path and query, not decoded.
    std::string path; ///< Without the query, not decoded.
    std::map<std::string, std::string> parameters; ///< Query parameters, decoded; the first of each name.
    Headers headers;
    std::string body;

    /// Returns the header's first value, or @p otherwise.
    std::string header(const std::string &name, const std::string &otherwise = "") const;

    bool operator==(const CallerRequest &) const = default;
};

}
