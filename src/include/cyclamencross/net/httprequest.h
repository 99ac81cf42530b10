#pragma once

#include <map>
#include <string>

namespace Cyclamen
{

/// An HTTP request from another process of the system or from an operator, independent of the HTTP library.
struct HttpRequest
{
    std::string method;
    std::string path; ///< Including the query.
    std::map<std::string, std::string> headers;
    std::string body;

    bool operator==(const HttpRequest &) const = default;
};

}
