#include "cyclamencross/gateway/headerlist.h"

#include <algorithm>
#include <array>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace Cyclamen
{

namespace
{

// Hop-by-hop headers, and the length, which is set anew for each message.
constexpr std::array<std::string_view, 10> ConnectionHeaders{
    "Connection", "Keep-Alive",        "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE",
    "Trailer",    "Transfer-Encoding", "Upgrade",          "Content-Length"};

}

void HeaderList::add(std::string name, std::string value)
{
    this->headers.emplace_back(std::move(name), std::move(value));
}

void HeaderList::set(std::string_view name, std::string value)
{
    this->remove(name);
    this->add(std::string(name), std::move(value));
}

void HeaderList::remove(std::string_view name)
{
    std::erase_if(this->headers, [name](const auto &header) { return boost::beast::iequals(header.first, name); });
}

std::string_view HeaderList::find(std::string_view name) const
{
    const auto it = std::find_if(this->headers.begin(), this->headers.end(),
                                 [name](const auto &header) { return boost::beast::iequals(header.first, name); });
    return it == this->headers.end() ? std::string_view() : std::string_view(it->second);
}

bool HeaderList::contains(std::string_view name) const
{
    return this->count(name) > 0;
}

std::size_t HeaderList::count(std::string_view name) const
{
    return std::size_t(std::count_if(this->headers.begin(), this->headers.end(),
                                     [name](const auto &header) { return boost::beast::iequals(header.first, name); }));
}

void HeaderList::removeConnectionHeaders()
{
    std::vector<std::string> listed;
    for (const auto &[name, value] : this->headers) {
        if (boost::beast::iequals(name, "Connection")) {
            for (const auto token : boost::beast::http::token_list(value)) {
                listed.emplace_back(token);
            }
        }
    }
    for (const std::string &name : listed) {
        this->remove(name);
    }
    for (const std::string_view name : ConnectionHeaders) {
        this->remove(name);
    }
}

std::string HeaderList::text() const
{
    std::string lines;
    for (const auto &[name, value] : this->headers) {
        lines += name;
        lines += ": ";
        lines += value;
        lines += "\r\n";
    }
    return lines;
}

}
