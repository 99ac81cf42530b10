#pragma once

#include <map>
#include <string>

namespace Cyclamen
{

/// An HTTP request between the system's processes or from an operator, independent of the HTTP library.
struct HttpRequest
{
    std::string method;
    std::string path; ///< With the query.
    std::map<std::string, std::string> headers;
    std::string body;

    bool operator==(const HttpRequest &) const = default;
};

}
