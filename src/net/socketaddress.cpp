#include "cyclamencross/net/socketaddress.h"

#include <charconv>

#include <arpa/inet.h>

namespace Cyclamen
{

std::optional<SocketAddress> parseAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    SocketAddress address{text.substr(0, colon), 0};
    const char *begin = text.data() + colon + 1;
    const char *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(begin, end, address.port);
    in_addr parsed{};
    if (error != std::errc() || rest != end || inet_pton(AF_INET, address.ip.c_str(), &parsed) != 1) {
        return std::nullopt;
    }
    return address;
}

}
