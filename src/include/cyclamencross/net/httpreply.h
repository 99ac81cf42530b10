#pragma once

#include <map>
#include <string>

namespace Cyclamen
{

/// An HTTP response, independent of the HTTP library.
struct HttpReply
{
    int status = 200;
    std::map<std::string, std::string> headers;
    std::string body;

    bool operator==(const HttpReply &) const = default;
};

}
